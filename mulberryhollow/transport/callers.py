"""HTTP server for callers: a WSGI application on waitress."""

import contextlib
import hashlib
import json
import logging
import math
import re

import attrs

from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.protocol import callers as messages
from mulberryhollow.state import environment as environment_module
from mulberryhollow.transport import http_server
from mulberryhollow.transport import intake as intakes
from mulberryhollow.transport import served_connections

__all__ = ["CallerApp", "IntakeCodec", "is_idle", "make_server"]

IDLE_AFTER_S = 0.25
"""Time without a byte after which a connection is idle, in seconds."""

_SPARE_CONNECTIONS = 100
_LISTEN_BACKLOG = 1024
_SERVICE_PATH = re.compile(r"/v1/services/([A-Za-z0-9._-]+)/([a-z]+)")
_SLOWEST_CLASS = environment_module.RequestClass.PATIENT
_BOOKING_CLASS = environment_module.RequestClass.BOOKING.value
_KINDS_BEFORE_LOOKUP = (
    errors.RefusalKind.NO_CAPACITY,
    errors.RefusalKind.LEAVING,
)
_REQUEST_PATH = re.compile(r"/v1/requests/([A-Za-z0-9._-]+)")

INTERNAL_ERROR = events.declare(
    2001,
    logging.ERROR,
    "a request failed with an internal error",
    "report the error with the surrounding log lines",
)


class CallerApp:
    """WSGI application that answers callers.

    Parameters
    ----------
    gateway : Gateway
        Accepts and answers the requests.
    pages : dict
        Path to a function that returns (status, JSON-ready value), for
        status pages.
    """

    def __init__(self, gateway, pages):
        self._gateway = gateway
        self._pages = pages

    @property
    def instance(self):
        """Id of this instance."""
        return self._gateway.instance

    def __call__(self, environ, start_response):
        """Answer one request."""
        exchange = _Exchange(self._gateway, environ, start_response)
        page = self._pages.get(environ["PATH_INFO"])
        if page is not None:
            status, value = page()
            reply = http_server.Reply(status, (), json.dumps(value).encode())
            return exchange.send(reply)
        return exchange.answer()


class _Exchange:
    """One request of a caller and its HTTP response."""

    def __init__(self, gateway, environ, start_response):
        self._gateway = gateway
        self._environ = environ
        self._start_response = start_response
        self._request_id = messages.make_request_id(gateway.instance)
        self._resources = contextlib.ExitStack()

    def answer(self):
        """Send the response head; return the response body."""
        try:
            return self._route()
        except errors.RefusedError as error:
            self._resources.close()
            return self._send_refusal(self._adjust_refusal(error.refusal))
        except errors.AnswerMovedError:
            self._resources.close()
            return self._send_redirect()
        except errors.CallerDisconnectedError:
            self._resources.close()
            return self._send_refusal(_INTERNAL_REFUSAL)
        except Exception as error:  # noqa: BLE001
            self._resources.close()
            events.log(INTERNAL_ERROR, error=repr(error))
            return self._send_refusal(_INTERNAL_REFUSAL)

    def _adjust_refusal(self, refusal):
        """Change "not run" to "outcome unknown" for a resent booking.

        Notes
        -----
        An instance that is leaving or has no configuration document refuses
        a booking without looking up whether an earlier send has run.
        """
        service_match = _SERVICE_PATH.fullmatch(self._environ["PATH_INFO"])
        is_booking = (
            service_match is not None
            and service_match.group(2) == _BOOKING_CLASS
        )
        is_first = self._get_header("X-Send-Number") == "1"
        if (
            is_booking
            and not is_first
            and refusal.kind in _KINDS_BEFORE_LOOKUP
        ):
            return messages.mark_execution_unknown(refusal)
        return refusal

    def send(self, reply):
        """Send a complete response."""
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(reply.body))),
            *self._make_headers(),
            *reply.headers,
        ]
        self._start_response(http_server.format_status(reply.status), headers)
        return [reply.body]

    def _route(self):
        """Dispatch the request by method and path."""
        method = self._environ["REQUEST_METHOD"]
        path = self._environ["PATH_INFO"]
        account = self._gateway.find_account(self._read_api_key())
        service_match = _SERVICE_PATH.fullmatch(path)
        if service_match and method == "POST":
            return self._call_service(account, *service_match.groups())
        request_match = _REQUEST_PATH.fullmatch(path)
        if request_match and method == "GET":
            return self._resume(account, request_match.group(1))
        raise messages.refuse(
            errors.RefusalKind.UNKNOWN_PATH,
            f"there is no operation {method} {path}",
            "use POST /v1/services/SERVICE/CLASS",
        )

    def _read_api_key(self):
        """Return the API key of the request; empty when it has none."""
        kind, _, key = self._get_header("Authorization").partition(" ")
        return key.strip() if kind.lower() == "bearer" else ""

    def _call_service(self, account, service, class_name):
        """Answer a request that names a service and a request class."""
        request = self._parse(account, service, class_name)
        match request.body:
            case messages.GenerateRequest():
                answering = self._gateway.generate(request)
                return self._send_answer(
                    self._resources.enter_context(answering)
                )
            case messages.LookupRequest():
                answer, endpoint_id = self._gateway.look_up(request)
                fields = {"result": answer.result, "version": answer.version}
                return self._send_fields(200, fields, endpoint_id)
            case messages.BookingRequest():
                answer = self._gateway.book(request)
                fields = attrs.asdict(answer)
                fields["attempt_id"] = fields.pop("request_id")
                return self._send_fields(201, fields)

    def _parse(self, account, service, class_name):
        """Return the validated CallerRequest."""
        try:
            request_class = environment_module.RequestClass(class_name)
        except ValueError as error:
            raise messages.refuse(
                errors.RefusalKind.UNKNOWN_PATH,
                f"there is no request class {class_name}",
                "use chat, lookup, booking or patient",
            ) from error
        self._gateway.check_service(account, service, request_class)
        timeout_s = messages.parse_timeout(
            self._get_header("X-Timeout-S"), request_class
        )
        return messages.CallerRequest(
            request_id=self._request_id,
            account=account.name,
            service=service,
            request_class=request_class,
            deadline_s=self._gateway.compute_deadline(timeout_s),
            body=messages.parse_body(self._read_body(), request_class),
            key_text=self._get_header("Idempotency-Key"),
            is_first_send=self._get_header("X-Send-Number") == "1",
        )

    def _read_body(self):
        """Return the request body, which the server has received whole."""
        length = int(self._environ.get("CONTENT_LENGTH") or 0)
        return self._environ["wsgi.input"].read(length)

    def _resume(self, account, request_id):
        """Resume a stream after the last event that the caller received."""
        self._request_id = request_id
        answering = self._gateway.attach(
            account, request_id, self._parse_last_event_id()
        )
        return self._send_answer(self._resources.enter_context(answering))

    def _parse_last_event_id(self):
        """Return the id of the last event that the caller received, or -1.

        The id is the sequence number of a token.
        """
        text = self._get_header("Last-Event-ID")
        if not text:
            return -1
        if not text.isdecimal():
            raise messages.refuse(
                errors.RefusalKind.MALFORMED,
                "Last-Event-ID is not a number",
                "send the id of the last event received",
            )
        return int(text)

    def _send_answer(self, answer):
        """Send an answer as an event stream or as one JSON body."""
        if answer.relay.request.body.stream:
            return self._send_stream(answer)
        for _ in answer.relay.run():
            self._check_connected()
        self._resources.close()
        fields = {
            "text": "".join(answer.relay.tokens),
            "tokens": len(answer.relay.tokens),
            "version": answer.relay.version,
        }
        return self._send_fields(200, fields, answer.relay.served_by)

    def _send_stream(self, answer):
        """Send the head once the first token is there; return the stream."""
        batches = answer.relay.run()
        missed_tokens = answer.relay.tokens[answer.known :]
        first = missed_tokens or next(batches, [])
        headers = [
            ("Content-Type", "text/event-stream"),
            ("Cache-Control", "no-store"),
            ("X-Served-By", answer.relay.served_by),
            ("X-Version", answer.relay.version),
            *self._make_headers(),
        ]
        self._start_response(http_server.format_status(200), headers)
        return _EventStream(answer, first, batches, self._resources)

    def _check_connected(self):
        """Raise CallerDisconnectedError when the caller has disconnected."""
        is_gone = self._environ.get("waitress.client_disconnected")
        if is_gone is not None and is_gone():
            raise errors.CallerDisconnectedError

    def _send_fields(self, status, fields, endpoint_id=""):
        """Send a JSON response that contains the request id."""
        body = json.dumps({"request_id": self._request_id, **fields})
        headers = (("X-Served-By", endpoint_id),) if endpoint_id else ()
        return self.send(http_server.Reply(status, headers, body.encode()))

    def _send_refusal(self, refusal):
        """Send a refusal as the response."""
        body = messages.encode_refusal(refusal, self._request_id)
        headers = _make_retry_after(refusal)
        return self.send(
            http_server.Reply(refusal.kind.http_status, headers, body)
        )

    def _send_redirect(self):
        """Redirect the caller to the URL that resumes the answer.

        Any instance can serve this URL.
        """
        path = f"/v1/requests/{self._request_id}"
        headers = (("Location", path), ("Retry-After", "0"))
        return self.send(http_server.Reply(303, headers, b"{}"))

    def _make_headers(self):
        """Return the headers that every response has."""
        return [
            ("X-Request-Id", self._request_id),
            ("X-Instance", self._gateway.instance),
        ]

    def _get_header(self, name):
        """Return a request header; empty when absent."""
        key = "HTTP_" + name.upper().replace("-", "_")
        return self._environ.get(key, "")


class _EventStream:
    """Server-sent events of one answer.

    Waitress calls `close` on every exit path, also after an exception.
    """

    def __init__(self, answer, first, batches, resources):
        self._relay = answer.relay
        self._next_seq = answer.known
        self._resources = resources
        self._chunks = self._make_chunks(first, batches)

    def __iter__(self):
        return self._chunks

    def close(self):
        """End the relay; an incomplete answer is kept as a detached answer."""
        self._chunks.close()
        self._resources.close()

    def _make_chunks(self, first, batches):
        """Yield the encoded events; a fault is sent as the last event."""
        with self._resources:
            try:
                yield self._encode(first)
                for tokens in batches:
                    yield self._encode(tokens)
            except errors.RefusedError as error:
                yield self._encode_error(error.refusal)
                return
            except errors.AnswerMovedError:
                self._resources.close()
                yield self._encode_moved()
                return
            yield self._encode_end()

    def _encode(self, tokens):
        """Return the tokens encoded as one event each."""
        start = self._next_seq
        self._next_seq += len(tokens)
        return b"".join(
            b"id: %d\ndata: %s\n\n"
            % (seq, json.dumps({"token": token}).encode())
            for seq, token in enumerate(tokens, start)
        )

    def _encode_end(self):
        """Return the end event, with token count and digest of the answer."""
        text = "".join(self._relay.tokens)
        fields = {
            "request_id": self._relay.request.request_id,
            "tokens": len(self._relay.tokens),
            "digest": hashlib.sha256(text.encode()).hexdigest(),
            "served_by": self._relay.served_by,
            "version": self._relay.version,
        }
        return _encode_event(b"end", json.dumps(fields).encode())

    def _encode_moved(self):
        """Return the event that names the URL where the answer resumes."""
        request_id = self._relay.request.request_id
        fields = {
            "request_id": request_id,
            "location": f"/v1/requests/{request_id}",
        }
        data = json.dumps(fields).encode()
        return b"retry: 0\n" + _encode_event(b"moved", data)

    def _encode_error(self, refusal):
        """Return the event that reports a failed answer."""
        body = messages.encode_refusal(refusal, self._relay.request.request_id)
        return _encode_event(b"error", body)


def _encode_event(name, data):
    """Return one encoded server-sent event with a name."""
    return b"event: %s\ndata: %s\n\n" % (name, data)


_INTERNAL_REFUSAL = errors.Refusal(
    errors.RefusalKind.INTERNAL,
    "the request failed with an internal error",
    "resend the request; a booking only with the same idempotency key",
    errors.ExecutionStatus.UNKNOWN,
    1.0,
)


class IntakeCodec:
    """Codec of refusals of requests that have not arrived completely.

    Parameters
    ----------
    instance : str
        Id of this instance.
    """

    def __init__(self, instance):
        self._instance = instance

    def encode_refusal(self, refusal):
        """Return the Reply for a refusal."""
        request_id = messages.make_request_id(self._instance)
        headers = (
            ("Content-Type", "application/json"),
            ("X-Request-Id", request_id),
            ("X-Instance", self._instance),
            *_make_retry_after(refusal),
        )
        body = messages.encode_refusal(refusal, request_id)
        return http_server.Reply(refusal.kind.http_status, headers, body)

    def get_wait_s(self, headers):
        """Return how long the caller of a request waits, in seconds.

        None if the request does not tell, or not as a timeout.
        """
        text = headers.get("X_TIMEOUT_S", "")
        with contextlib.suppress(errors.RefusedError):
            return messages.parse_timeout(text, _SLOWEST_CLASS)
        return None


def _make_retry_after(refusal):
    """Return the headers that tell when to send a refused request again."""
    if refusal.retry_after_s is None:
        return ()
    return (("Retry-After", str(math.ceil(refusal.retry_after_s))),)


def make_server(app, host, port, threads, shares, **options):
    """Return a waitress server that buffers requests in memory only.

    Parameters
    ----------
    app : CallerApp
        The application.
    host : str
        Address to listen on.
    port : int
        Port; 0 picks a free one.
    threads : int
        Number of worker threads: requests answered concurrently.
    shares : MemoryShares
        Memory of the servers of the process.
    **options
        Passed to `Intake`.
    """
    intake = http_server.make_caller_intake(
        shares,
        2 * threads + _SPARE_CONNECTIONS,
        IntakeCodec(app.instance),
        **options,
    )
    intake.apply(
        intakes.IntakeLimits(
            body_bytes=messages.MAX_BODY_BYTES,
            body_timeout_s=messages.MAX_TIMEOUT_S,
        )
    )
    return served_connections.create_server(
        app,
        intake,
        f"{host}:{port}",
        threads=threads,
        backlog=_LISTEN_BACKLOG,
        clear_untrusted_proxy_headers=True,
    )


def is_idle(server, now_s):
    """Return whether every connection has been idle for IDLE_AFTER_S.

    A connection whose caller has just connected and sent nothing yet
    doesn't count as idle, nor does one whose request has arrived in part or
    whose answer is not yet sent.

    Parameters
    ----------
    server : waitress server
        A running server.
    now_s : float
        Wall-clock time, in Unix seconds.
    """
    return not any(
        not channel.is_idle
        or now_s - channel.last_activity < IDLE_AFTER_S
        or http_server.is_awaiting_first_request(channel, now_s)
        for channel in list(server.active_channels.values())
    )
