"""Daemon for the users' platform: ``python -m mulberryhollow.platform``."""

import logging
import os
import pathlib
import signal
import sys
import threading

from mulberryhollow import clock as clocks
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.platform import daemon as daemons
from mulberryhollow.platform import settings as settings_module

SETTINGS_VARIABLE = "MULBERRYHOLLOW_BOOT"
"""Environment variable that holds the path of the settings file."""

EXIT_SETTINGS = 2
"""Exit code if the settings file is unreadable or malformed."""

STARTED = events.declare(
    1011, logging.INFO, "the instance accepts callers on the platform"
)
STOPPING = events.declare(
    1012, logging.INFO, "the instance is leaving the platform"
)
STOPPED = events.declare(
    1013, logging.INFO, "the instance has left the platform"
)


RELOADED = events.declare(
    1014, logging.INFO, "the changed settings file was read"
)
NOT_RELOADED = events.declare(
    1015,
    logging.ERROR,
    "the changed settings file cannot be used; the previous settings stay "
    "active",
    "correct the error given as the reason",
)

SETTINGS_POLL_INTERVAL_S = 1.0
"""Interval between reads of the settings file, in seconds."""


def main():
    """Run one instance until SIGTERM; return the exit code."""
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        known = path.read_bytes()
        settings = settings_module.decode_settings(known)
    except (OSError, errors.SettingsError) as error:
        print(f"mulberryhollow: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    listener = events.set_up(settings.instance, sys.stdout)
    for name in ("waitress", "urllib3"):
        logging.getLogger(name).setLevel(logging.CRITICAL)
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    # SIGHUP needs no action, because the file is polled: it may also change
    # without a signal. The handler keeps SIGHUP from ending the process.
    signal.signal(signal.SIGHUP, lambda *_: None)
    daemon = daemons.PlatformDaemon(settings, clocks.SystemClock())
    daemon.start()
    events.log(STARTED, address=settings.callers_address)
    while not stopped.wait(SETTINGS_POLL_INTERVAL_S):
        known = _reload(daemon, path, known)
    events.log(STOPPING)
    daemon.stop()
    events.log(STOPPED)
    listener.stop()
    return 0


def _reload(daemon, path, known):
    """Apply the settings file if it has changed since the last call.

    Returns
    -------
    bytes or str
        What was found, for the next call: the content, or the reason for
        which it cannot be read.
    """
    try:
        found = path.read_bytes()
    except OSError as error:
        found = str(error)
    if found == known:
        return known
    if isinstance(found, str):
        events.log(NOT_RELOADED, reason=found)
        return found
    try:
        daemon.apply_settings(settings_module.decode_settings(found))
    except errors.SettingsError as error:
        events.log(NOT_RELOADED, reason=str(error))
    else:
        events.log(RELOADED)
    return found


if __name__ == "__main__":
    code = main()
    sys.stdout.flush()
    os._exit(code)
