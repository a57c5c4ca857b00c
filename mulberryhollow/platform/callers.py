"""Codec of callers' requests (WSGI environments) and of refusals."""

import contextlib
import math

import xxhash

from mulberryhollow.coordination import routing
from mulberryhollow import errors
from mulberryhollow.platform import headers as header_names
from mulberryhollow.protocol import forwarding as messages
from mulberryhollow.serving import ingress
from mulberryhollow.state import decoding
from mulberryhollow.transport import http_server

__all__ = ["CallerCodec"]

_MS_PER_S = 1000.0
_HEADER_PREFIX = "HTTP_"

MAX_TOKENS = 10**9
"""Largest number of tokens that a header may state.

It is far above the memory of an endpoint, and any sum of such numbers can be
computed with.
"""


class CallerCodec:
    """Decodes callers' requests and encodes refusals."""

    def decode(self, environ):
        """Return the IngressRequest decoded from a WSGI environment.

        Raises
        ------
        RefusedError
            With the kind MALFORMED and a message that names the header.
        """
        target = environ.get("REQUEST_URI") or environ["PATH_INFO"]
        request_id = _get_header(environ, header_names.REQUEST_ID)
        if not request_id:
            raise _malformed(header_names.REQUEST_ID, "it is missing")
        length = int(environ.get("CONTENT_LENGTH") or 0)
        parts = _read_prompt_parts(environ)
        return ingress.IngressRequest(
            request_id=request_id,
            host=environ.get("HTTP_HOST", ""),
            path=target.partition("?")[0],
            key=_get_header(environ, header_names.API_KEY),
            timeout_s=_read_timeout_s(environ),
            payload=messages.Payload(
                environ["REQUEST_METHOD"],
                target,
                tuple(_iter_forwarded_headers(environ)),
                environ["wsgi.input"].read(length) if length else b"",
            ),
            chain=_make_prompt_chain(environ, parts),
            tokens=_read_tokens(environ),
            last_event_id=_get_header(environ, header_names.LAST_EVENT_ID),
            part_ids=tuple(part_id for part_id, _ in parts[:-1]),
        )

    def encode_refusal(self, refusal):
        """Return the HTTP Reply for a refusal.

        Notes
        -----
        Statuses 429 and 503 guarantee that the request has not run and
        will not run; 502 and 504 guarantee nothing.
        """
        headers = []
        if refusal.retry_after_s is not None:
            # The platform allows fractions of a second here, unlike HTTP.
            seconds = f"{max(0.0, refusal.retry_after_s):.3f}"
            headers.append(("Retry-After", seconds))
        status = _choose_status(refusal)
        body = f"{refusal.message}; {refusal.remedy}\n".encode()
        headers.append(("Content-Type", "text/plain; charset=utf-8"))
        return http_server.Reply(status, tuple(headers), body)

    def get_wait_s(self, headers):
        """Return how long the caller of a request waits, in seconds.

        Parameters
        ----------
        headers : dict
            Header fields as waitress names them.

        Returns
        -------
        float or None
            None if the request does not tell, or not as a number.
        """
        name = header_names.REMAINING_TIME.upper().replace("-", "_")
        with contextlib.suppress(errors.RefusedError):
            return _read_timeout_s(
                {_HEADER_PREFIX + name: headers.get(name, "")}
            )
        return None


def _choose_status(refusal):
    """Return the HTTP status of a refusal."""
    match refusal.kind:
        case (
            errors.RefusalKind.MALFORMED
            | errors.RefusalKind.UNAUTHENTICATED
            | errors.RefusalKind.UNKNOWN_PATH
            | errors.RefusalKind.OVERSIZE
        ):
            return refusal.kind.http_status
    if refusal.ran is errors.ExecutionStatus.NOT_RUN:
        is_over_quota = refusal.kind is errors.RefusalKind.OVER_SHARE
        return 429 if is_over_quota else 503
    is_expired = refusal.kind is errors.RefusalKind.DEADLINE_PASSED
    return 504 if is_expired else 502


def _get_header(environ, name):
    """Return the value of a header; empty if the header is absent."""
    return environ.get(
        _HEADER_PREFIX + name.upper().replace("-", "_"), ""
    ).strip()


def _iter_forwarded_headers(environ):
    """Yield the (name, value) of each header to forward to endpoints."""
    connection = environ.get("HTTP_CONNECTION", "")
    dropped = {each.strip().lower() for each in connection.split(",")}
    dropped |= header_names.CONNECTION_HEADERS | header_names.SYSTEM_HEADERS
    for key, value in environ.items():
        if key.startswith(_HEADER_PREFIX):
            name = key[len(_HEADER_PREFIX) :].replace("_", "-").title()
            if name.lower() not in dropped:
                yield name, value
    if environ.get("CONTENT_TYPE"):
        yield "Content-Type", environ["CONTENT_TYPE"]


def _read_timeout_s(environ):
    """Return how long the caller waits, in seconds; None if unknown."""
    text = _get_header(environ, header_names.REMAINING_TIME)
    if not text:
        return None
    with contextlib.suppress(ValueError):
        timeout_s = float(text) / _MS_PER_S
        if not math.isnan(timeout_s):
            return max(0.0, timeout_s)
    raise _malformed(header_names.REMAINING_TIME, "the value is not a number")


def _read_tokens(environ):
    """Return the sum of the prompt's and the answer's maximum tokens.

    None if the header is absent.
    """
    text = _get_header(environ, header_names.PROMPT_SIZE)
    if not text:
        return None
    sizes = list(map(_parse_tokens, text.split(",")))
    if None in sizes:
        raise _malformed(
            header_names.PROMPT_SIZE, "the value is not a list of sizes"
        )
    return float(sum(sizes))


def _read_prompt_parts(environ):
    """Return the (id, tokens) of each part of the prompt.

    The last part is specific to this request and not shared with others.
    """
    text = _get_header(environ, header_names.PROMPT_PARTS)
    if not text:
        return []
    pairs = [part.strip().partition(":") for part in text.split(",")]
    parts = [(part_id, _parse_tokens(size)) for part_id, _, size in pairs]
    if any(size is None for _, size in parts):
        raise _malformed(header_names.PROMPT_PARTS, "a part is not ID:TOKENS")
    return parts


def _parse_tokens(text):
    """Return a number of tokens; None if the text cannot be one."""
    tokens = decoding.parse_count(text)
    return None if tokens is None or tokens > MAX_TOKENS else tokens


def _make_prompt_chain(environ, parts):
    """Return the PromptChain of a model request; None without parts.

    Notes
    -----
    The hashes start with the model's name, because endpoints cache each
    part of a prompt separately for each model.
    """
    if not parts:
        return None
    state = xxhash.xxh3_64(_get_header(environ, "Model").encode())
    hashes, ends, tokens = [], [], 0
    for part_id, size in parts:
        tokens += size
        state.update(f"/{part_id}".encode())
        hashes.append(state.intdigest())
        ends.append(tokens)
    return routing.PromptChain(
        tuple(hashes), tuple(ends), tokens, len(hashes) - 1
    )


def _malformed(name, fault):
    """Return the error for a missing or malformed header."""
    return errors.RefusedError(
        errors.Refusal(
            errors.RefusalKind.MALFORMED,
            f"the header {name} cannot be used: {fault}",
            "correct the header",
        )
    )
