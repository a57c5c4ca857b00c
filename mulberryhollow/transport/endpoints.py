"""Client of model engines and plain services."""

import contextlib
import http.client
import json

import urllib3

from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow.protocol import endpoints as messages
from mulberryhollow.state import decoding
from mulberryhollow.transport import connection as connections
from mulberryhollow.transport import liveness

__all__ = ["EndpointClient"]

_OK = (200, 201)
_REFUSED = 409
_NOT_FOUND = 404
POOLED_TIMEOUT_S = 0.25
"""Timeout of a look-up on a pooled connection, in seconds."""

_SHORT_TIMEOUT_S = 1.0
_MAX_CLOCK_SKEW_S = 5.0
_JSON_HEADERS = {"Content-Type": "application/json"}
_TRANSFER_ERRORS = (
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
    OSError,
    ValueError,
)


class EndpointClient:
    """Sends calls to endpoints; raises each fault as an EndpointError.

    Parameters
    ----------
    clock : Clock
        Source of time, for the idle age of connections.

    Notes
    -----
    Prompts and bookings are sent on new connections: a pooled connection
    may have died unnoticed, and a request on it then waits for its whole
    inactivity timeout. A look-up first tries a pooled connection with a
    short timeout, then a new one. Load reports, cache events, orders,
    cancellations and cache copies use pooled connections.
    """

    def __init__(self, clock):
        self._clock = clock
        self._pool = connections.ConnectionPool(clock, is_usable=_is_silent)

    def generate(self, address, call, timeout_s):
        """Run one attempt on a model engine; yield its lines.

        Parameters
        ----------
        address : str
            ``host:port`` of the engine.
        call : GenerateCall
            The attempt.
        timeout_s : float
            Inactivity timeout, in seconds.

        Yields
        ------
        list of TokenLine or End
            The lines that arrived in one read.

        Raises
        ------
        EndpointError
            NotSent, RefusedByEndpoint, Failed, Broken or Silent.
        """
        body = messages.encode_generate(call)
        connection = connections.open_fresh(address, timeout_s)
        with contextlib.closing(connection):
            response = _send(
                connection, "POST", "/v1/generate", body, timeout_s
            )
            self._check_status(response)
            yield from _read_lines(response, timeout_s)

    def look_up(self, address, request_id, query, timeout_s):
        """Send a look-up to a plain service; return its LookupAnswer.

        Raises
        ------
        EndpointError
            As for `generate`; also Crossed when the answer belongs to
            another request.
        """
        body = json.dumps({"request_id": request_id, "query": query}).encode()
        data = self._exchange(
            address, "POST", "/v1/lookup", body, timeout_s, POOLED_TIMEOUT_S
        )
        return _check_request_id(
            request_id, _decode(messages.decode_lookup, data)
        )

    def book(self, address, request_id, key, booking, timeout_s):
        """Send a booking on a new connection.

        Parameters
        ----------
        address : str
            ``host:port`` of the endpoint.
        request_id : str
            Id of the attempt.
        key : str
            Idempotency key of the caller.
        booking : BookingRequest
            Slot and details of the booking.
        timeout_s : float
            Inactivity timeout, in seconds.

        Returns
        -------
        BookingAnswer

        Raises
        ------
        EndpointError
            NotSent or RefusedByEndpoint when the booking has not run; any
            other fault when it may have run.
        """
        fields = {
            "request_id": request_id,
            "key": key,
            "slot": booking.slot,
            "details": booking.details,
        }
        body = json.dumps(fields).encode()
        connection = connections.open_fresh(address, timeout_s)
        with contextlib.closing(connection):
            response = _send(connection, "POST", "/v1/book", body, timeout_s)
            self._check_status(response, request_id)
            data = _read_all(response, timeout_s)
        return _check_request_id(
            request_id, _decode(messages.decode_booking, data)
        )

    def find_booking(self, address, request_id, claimed_s):
        """Look up the outcome of a booking attempt at its endpoint.

        Parameters
        ----------
        address : str
            ``host:port`` of the endpoint.
        request_id : str
            Id of the attempt.
        claimed_s : float
            When the attempt was claimed, in Unix seconds: an endpoint
            whose ledger began later cannot know its outcome.

        Returns
        -------
        BookingAnswer or None
            None when the attempt has not run at the endpoint and never
            will.

        Raises
        ------
        EndpointError
            When the endpoint gives no usable response.
        """
        path = f"/v1/bookings/{request_id}"
        connection = connections.open_fresh(address, _SHORT_TIMEOUT_S)
        with contextlib.closing(connection):
            response = _send(connection, "GET", path, None, _SHORT_TIMEOUT_S)
            if response.status == _NOT_FOUND:
                data = _read_all(response, _SHORT_TIMEOUT_S)
                return _check_ledger_start(data, claimed_s)
            self._check_status(response, request_id)
            data = _read_all(response, _SHORT_TIMEOUT_S)
        return _check_request_id(
            request_id, _decode(messages.decode_booking, data)
        )

    def cancel(self, address, attempt_id):
        """Cancel an attempt at an engine, ignoring faults."""
        body = json.dumps({"request_id": attempt_id}).encode()
        with contextlib.suppress(errors.EndpointError):
            self._exchange(
                address, "POST", "/v1/cancel", body, _SHORT_TIMEOUT_S
            )

    def is_alive(self, address):
        """Return whether an endpoint accepts a new connection."""
        try:
            connections.open_fresh(address, _SHORT_TIMEOUT_S).close()
        except errors.EndpointError:
            return False
        return True

    def has_ended(self, address):
        """Return whether the process of an endpoint is gone after a fault."""
        return liveness.has_ended(self.is_alive, address, self._clock)

    def get_load(self, address, timeout_s=_SHORT_TIMEOUT_S):
        """Return the LoadReport of an endpoint.

        Raises
        ------
        EndpointError
            When the endpoint gives no usable response.
        """
        data = self._exchange(address, "GET", "/v1/load", None, timeout_s)
        return _decode(messages.decode_load, data)

    def get_cache_events(self, address, after, timeout_s=_SHORT_TIMEOUT_S):
        """Return the cache events of an engine with a number above `after`.

        Raises
        ------
        EndpointError
            When the endpoint gives no usable response.
        """
        path = f"/v1/cache-events?after={after}"
        data = self._exchange(address, "GET", path, None, timeout_s)
        return _decode(messages.decode_cache_events, data)

    def send_order(self, address, order, timeout_s=_SHORT_TIMEOUT_S):
        """Send an engine the order to load or unload a version.

        Parameters
        ----------
        address : str
            ``host:port`` of the engine.
        order : LoadOrder
            The order with its fencing token.
        timeout_s : float
            Inactivity timeout, in seconds.

        Raises
        ------
        EndpointError
            RefusedByEndpoint when the fencing token is outdated.
        """
        body = messages.encode_order(order)
        self._exchange(address, "POST", "/v1/orders", body, timeout_s)

    def copy_cache(self, source, source_id, target, target_id):
        """Copy the KV cache of an attempt to another engine.

        Parameters
        ----------
        source, target : str
            ``host:port`` of both engines.
        source_id, target_id : str
            Id of the attempt at each engine.

        Returns
        -------
        bool
            Whether the target engine accepted the copy.
        """
        try:
            data = self._exchange(
                source, "GET", f"/v1/kv/{source_id}", None, _SHORT_TIMEOUT_S
            )
            self._exchange(
                target, "PUT", f"/v1/kv/{target_id}", data, _SHORT_TIMEOUT_S
            )
        except errors.EndpointError:
            return False
        return True

    def _exchange(
        self, address, method, path, body, timeout_s, pooled_timeout_s=None
    ):
        """Send an idempotent request; return the response body.

        A pooled connection may be dead: after a transfer fault on one, the
        request is sent again on a new connection, and only a fault of that
        attempt is raised. A refusal or an error status is raised at once.
        """
        connection, is_fresh = self._pool.acquire(
            address, timeout_s, pooled_timeout_s or timeout_s
        )
        try:
            return self._exchange_on(
                connection, address, method, path, body, timeout_s
            )
        except errors.EndpointError as error:
            is_final = isinstance(
                error.fault, streams.RefusedByEndpoint | streams.Failed
            )
            if is_fresh or is_final:
                raise
        self._pool.close_idle(address)
        connection = connections.open_fresh(address, timeout_s)
        return self._exchange_on(
            connection, address, method, path, body, timeout_s
        )

    def _exchange_on(self, connection, address, method, path, body, timeout_s):
        """Send a request on one connection; return the response body."""
        try:
            response = _send(connection, method, path, body, timeout_s)
            self._check_status(response)
            data = _read_all(response, timeout_s)
        except errors.EndpointError:
            connection.close()
            raise
        self._pool.release(address, connection)
        return data

    @staticmethod
    def _check_status(response, request_id=None):
        """Raise the fault for a response status other than 200 and 201."""
        if response.status in _OK:
            return
        if response.status != _REFUSED:
            raise errors.EndpointError(streams.Failed(response.status))
        reason = _read_reason(response, request_id)
        raise errors.EndpointError(streams.RefusedByEndpoint(reason))


def _is_silent(connection):
    """Return whether nothing waits to be read on an idle connection."""
    return not urllib3.util.wait_for_read(connection.sock, timeout=0.0)


def _send(connection, method, path, body, timeout_s):
    """Send a request; return the response once its head has arrived."""
    try:
        connection.request(
            method,
            path,
            body=body,
            headers=_JSON_HEADERS,
            preload_content=False,
        )
        return connection.getresponse()
    except TimeoutError as error:
        raise errors.EndpointError(streams.Silent(timeout_s)) from error
    except _TRANSFER_ERRORS as error:
        raise errors.EndpointError(streams.Broken(str(error))) from error


def _read_all(response, timeout_s):
    """Return the complete body of a response."""
    try:
        return response.read()
    except urllib3.exceptions.ReadTimeoutError as error:
        raise errors.EndpointError(streams.Silent(timeout_s)) from error
    except _TRANSFER_ERRORS as error:
        raise errors.EndpointError(streams.Broken(str(error))) from error


def _read_lines(response, timeout_s):
    """Yield lists of decoded lines, one list per read."""
    rest = b""
    try:
        for data in response.stream(None):
            whole, newline, rest = (rest + data).rpartition(b"\n")
            if newline:
                yield [
                    messages.decode_line(each) for each in whole.split(b"\n")
                ]
    except urllib3.exceptions.ReadTimeoutError as error:
        raise errors.EndpointError(streams.Silent(timeout_s)) from error
    except _TRANSFER_ERRORS as error:
        raise errors.EndpointError(streams.Broken(str(error))) from error


def _read_reason(response, request_id):
    """Return the reason given in a refusal.

    Raises Crossed when the refusal names a request other than
    `request_id`, since it then doesn't refer to this request. No check is
    made when `request_id` is None or the refusal names no request.
    """
    try:
        fields = decoding.decode_json(response.read())
        named = fields.get("request_id", request_id)
        reason = str(fields.get("reason", ""))
    except (*_TRANSFER_ERRORS, AttributeError) as error:
        raise errors.EndpointError(streams.Broken(str(error))) from error
    if request_id is not None and named != request_id:
        raise errors.EndpointError(
            streams.Crossed(f"refusal of request {named}")
        )
    return reason


def _decode(decode, data):
    """Return a decoded response body, or raise Broken."""
    try:
        return decode(data)
    except ValueError as error:
        raise errors.EndpointError(streams.Broken(str(error))) from error


def _check_ledger_start(data, claimed_s):
    """Raise Failed when the ledger may have begun after the claim."""
    since_s = _decode(messages.decode_ledger_start, data)
    if since_s > claimed_s - _MAX_CLOCK_SKEW_S:
        raise errors.EndpointError(streams.Failed(_NOT_FOUND))


def _check_request_id(request_id, answer):
    """Return an answer to the given request, or raise Crossed."""
    if answer.request_id != request_id:
        fault = streams.Crossed(f"answer to request {answer.request_id}")
        raise errors.EndpointError(fault)
    return answer
