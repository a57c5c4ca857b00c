"""Complete responses of HTTP servers, made by this instance."""

import http

import attrs

__all__ = ["Reply", "encode_reply", "format_status"]


@attrs.frozen
class Reply:
    """A complete response made by this instance, not by an endpoint.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Response headers without Content-Length.
    body : bytes
        Response body.
    """

    status: int
    headers: tuple = ()
    body: bytes = b""


def format_status(status):
    """Return status code and reason phrase for a status code."""
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


def encode_reply(reply):
    """Return the bytes of a response after which the connection is closed."""
    fields = [
        *reply.headers,
        ("Content-Length", str(len(reply.body))),
        ("Connection", "close"),
    ]
    lines = [f"HTTP/1.1 {format_status(reply.status)}"]
    lines += [f"{name}: {value}" for name, value in fields]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + reply.body
