"""Connection pool whose responses have a limit in size and time."""

import urllib3

from mulberryhollow.transport import bounded_reader

__all__ = ["BoundedPool", "fetch"]

MIN_REFUSAL_STATUS = 400
"""Lowest status of a response that refuses a request."""


class _BoundedConnection(urllib3.connection.HTTPConnection):
    """Connection whose responses are `BoundedResponse` objects.

    A request that could not be sent to its end gets a response only if that
    is a whole refusal. The pool ignores the error of the send. The socket
    reports a reset only once, so a body that ends with the connection would
    look complete afterwards. A success is no answer to a part of a request.
    """

    response_class = bounded_reader.BoundedResponse

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._send_error = None

    def request(self, *args, **kwargs):
        """Send a request; keep the error if it is not sent to its end."""
        self._send_error = None
        try:
            super().request(*args, **kwargs)
        except OSError as error:
            self._send_error = error
            raise

    def getresponse(self):
        """Return the response.

        Raises
        ------
        urllib3.exceptions.ProtocolError
            If the request was not sent to its end, and the response is a
            success or has no end of its own.
        """
        response = super().getresponse()
        if self._send_error is None:
            return response
        has_end = response.chunked or response.length_remaining is not None
        if response.status < MIN_REFUSAL_STATUS or not has_end:
            self.close()
            raise urllib3.exceptions.ProtocolError(
                "the connection was reset while the request was sent",
                self._send_error,
            )
        return response


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
