"""The daemon of the users' platform: ``python -m mulberryhollow.platform``."""

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
"""Variable that holds the path of the settings file."""

EXIT_SETTINGS = 2
"""Exit code for settings that cannot be used."""

STARTED = events.declare(
    1011, logging.INFO, "the instance takes callers on the platform"
)
STOPPING = events.declare(
    1012, logging.INFO, "the instance is leaving the platform"
)
STOPPED = events.declare(
    1013, logging.INFO, "the instance has left the platform"
)


def main():
    """Run one instance until SIGTERM; return the exit code."""
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        text = path.read_text(encoding="utf-8")
        settings = settings_module.decode_settings(text)
    except (OSError, errors.SettingsError) as error:
        print(f"mulberryhollow: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    events.set_up(settings.instance, sys.stdout)
    logging.getLogger("waitress").setLevel(logging.CRITICAL)
    logging.getLogger("urllib3").setLevel(logging.CRITICAL)
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    daemon = daemons.PlatformDaemon(settings, clocks.SystemClock())
    daemon.start()
    events.log(STARTED, address=settings.callers_address)
    stopped.wait()
    events.log(STOPPING)
    daemon.stop()
    events.log(STOPPED)
    return 0


if __name__ == "__main__":
    code = main()
    sys.stdout.flush()
    os._exit(code)
