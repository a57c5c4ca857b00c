"""Catalogues of what modules declare: events, metrics, settings, decoders.

Each module declares its own; importing all modules fills the registries.
"""

import importlib
import pkgutil

import mulberryhollow
from mulberryhollow import events
from mulberryhollow import metrics
from mulberryhollow.protocol import configurations
from mulberryhollow import settings

__all__ = ["find_decoder", "list_events", "list_metrics", "list_settings"]

_GENERATED = "mulberryhollow.protocol.gen"


def find_decoder(notation):
    """Return the decoder of a platform's configuration, or None."""
    _import_modules()
    return configurations.find_decoder(notation)


def list_events():
    """Return every event of the library, sorted by number."""
    _import_modules()
    return events.list_declared()


def list_metrics():
    """Return every metric of the library, sorted by name."""
    _import_modules()
    return metrics.list_declared()


def list_settings():
    """Return every setting of the library, sorted by section and key."""
    _import_modules()
    return settings.list_declared()


def _import_modules():
    """Import every module, so that the registries are complete."""
    found = pkgutil.walk_packages(mulberryhollow.__path__, "mulberryhollow.")
    names = [module.name for module in found]
    for name in names:
        if not name.startswith(_GENERATED):
            importlib.import_module(name)
