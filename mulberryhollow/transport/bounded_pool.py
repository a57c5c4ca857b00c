"""Connection pool whose responses have a limit in size and time."""

import urllib3

from mulberryhollow.transport import bounded_reader

__all__ = ["BoundedPool"]


class _BoundedConnection(urllib3.connection.HTTPConnection):
    """Connection whose responses are `BoundedResponse` objects."""

    response_class = bounded_reader.BoundedResponse


class BoundedPool(urllib3.HTTPConnectionPool):
    """Pool for a server that may send bytes without an end.

    The read timeout of a request limits the whole response, and its size is
    limited by `BoundedResponse.max_bytes`. Either limit raises
    `urllib3.exceptions.HTTPError`.
    """

    ConnectionCls = _BoundedConnection
