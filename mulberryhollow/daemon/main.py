"""The entry daemon: ``mulberryhollow-entry SETTINGS``."""

import argparse
import logging
import pathlib
import signal
import sys
import threading

import mulberryhollow
from mulberryhollow import clock as clocks
from mulberryhollow.daemon import entry
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow import settings as settings_module

__all__ = ["main"]

EXIT_INVALID_SETTINGS = 2
"""Exit code when the settings are unreadable or invalid."""

STARTED = events.declare(1001, logging.INFO, "the instance accepts callers")
STOPPING = events.declare(1002, logging.INFO, "the instance is shutting down")
STOPPED = events.declare(1003, logging.INFO, "the instance has shut down")


def main(arguments=None):
    """Run one entry instance until SIGTERM or SIGINT.

    Parameters
    ----------
    arguments : list of str or None
        The command line; None for that of the process.

    Returns
    -------
    int
        Exit code of the process.
    """
    parsed = _make_parser().parse_args(arguments)
    try:
        text = parsed.settings.read_text(encoding="utf-8")
        settings = settings_module.load(text)
    except (OSError, errors.SettingsError) as error:
        print(f"mulberryhollow-entry: {error}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    daemon = entry.EntryDaemon(settings, clocks.SystemClock())
    events.set_up(daemon.instance)
    stopped = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stopped.set())
    daemon.start()
    print(f"listening {daemon.address}", flush=True)
    events.log(STARTED, address=daemon.address)
    stopped.wait()
    events.log(STOPPING)
    daemon.stop()
    events.log(STOPPED)
    return 0


def _make_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="mulberryhollow-entry",
        description="Serve callers on one entry instance.",
        epilog="Example: mulberryhollow-entry /etc/mulberryhollow/entry.ini",
    )
    parser.add_argument("settings", type=pathlib.Path, help="INI file")
    parser.add_argument(
        "--version", action="version", version=mulberryhollow.__version__
    )
    return parser


if __name__ == "__main__":
    sys.exit(main())
