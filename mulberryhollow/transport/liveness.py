"""Test whether the process of an endpoint has ended."""

__all__ = ["has_ended"]

RECHECK_DELAY_S = 0.05
"""Time until an endpoint that accepts connections is tested once more."""


def has_ended(is_alive, address, clock):
    """Return whether an endpoint accepts no connections after a fault.

    Parameters
    ----------
    is_alive : callable
        Returns whether the endpoint with an address accepts a connection.
    address : str
        ``host:port`` of the endpoint.
    clock : Clock
        Source of time.

    Notes
    -----
    An ending process may still accept a connection for a moment, so the
    endpoint is tried twice, with a short pause in between.
    """
    if not is_alive(address):
        return True
    clock.sleep(RECHECK_DELAY_S)
    return not is_alive(address)
