"""Test whether the process of an endpoint still accepts connections."""

from mulberryhollow import errors

__all__ = ["accepts_connections"]

RECHECK_DELAY_S = 0.05
"""Time until an endpoint that accepts connections is tested once more."""


def accepts_connections(connect, clock):
    """Return whether an endpoint accepts connections after a fault.

    Parameters
    ----------
    connect : callable
        Opens a connection and closes it, or raises EndpointError.
    clock : Clock
        Source of time.

    Notes
    -----
    An ending process may still accept a connection for a moment, so the
    endpoint is tried twice, with a short pause in between.
    """
    try:
        connect()
        clock.sleep(RECHECK_DELAY_S)
        connect()
    except errors.EndpointError:
        return False
    return True
