"""Connection pool whose responses have a limit in size and time."""

import urllib3

from mulberryhollow.transport import bounded_reader

__all__ = ["BoundedPool", "fetch"]


class _BoundedConnection(urllib3.connection.HTTPConnection):
    """Connection whose responses are `BoundedResponse` objects."""

    response_class = bounded_reader.BoundedResponse


class BoundedPool(urllib3.HTTPConnectionPool):
    """Pool for a server that may send bytes without an end.

    The read timeout of a request limits the whole response, and its size is
    limited by `BoundedResponse.max_bytes`. Either limit, and a head that ends
    with the connection, raises `urllib3.exceptions.HTTPError`.
    """

    ConnectionCls = _BoundedConnection


def fetch(host, port, path, timeout_s):
    """Return the response to a GET request on a connection of its own.

    Parameters
    ----------
    host : str
        Host of the server.
    port : int
        Port of the server.
    path : str
        Path of the resource.
    timeout_s : float
        Timeout of handshake and response together, in seconds.

    Raises
    ------
    urllib3.exceptions.HTTPError
        As for `BoundedPool`.
    """
    with BoundedPool(host, port, maxsize=1, retries=False) as pool:
        timeout = urllib3.Timeout(total=timeout_s)
        return pool.request("GET", path, timeout=timeout)
