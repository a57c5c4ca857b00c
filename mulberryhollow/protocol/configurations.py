"""Decoders of configurations, declared by the adapters of platforms.

A command reads a platform's configuration through this registry, since the
command line and the adapters do not import each other.
"""

__all__ = ["declare_decoder", "find_decoder"]

_DECODERS = {}


def declare_decoder(notation, decode):
    """Declare the decoder of a notation and return it.

    Parameters
    ----------
    notation : str
        Name of the notation, for example ``json``.
    decode : callable
        ``decode(data, version)`` returns a `state.catalogue.Catalogue`, or
        raises ConfigurationError.
    """
    _DECODERS[notation] = decode
    return decode


def find_decoder(notation):
    """Return the decoder of a notation, or None."""
    return _DECODERS.get(notation)
