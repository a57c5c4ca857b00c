"""Adapters to model engines and plain services."""

import contextlib
import json

import urllib3

from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow.protocol import endpoints as messages
from mulberryhollow.transport import connection as connections

__all__ = ["EndpointClient"]

_OK = (200, 201)
_REFUSED = 409
_NOT_FOUND = 404
POOLED_TIMEOUT_S = 0.25
"""Longest wait for a look-up on a pooled connection, in seconds."""

_SHORT_TIMEOUT_S = 1.0
_CLOCK_SKEW_S = 5.0
_ENDING_TIME_S = 0.05
_JSON = {"Content-Type": "application/json"}
_TRANSFER_FAULTS = (urllib3.exceptions.HTTPError, OSError, ValueError)


class EndpointClient:
    """Calls to endpoints; each fault is raised as an EndpointError.

    Parameters
    ----------
    clock : Clock
        Source of time, for the idle age of connections.

    Notes
    -----
    Prompts and bookings go out on fresh connections: a pooled one can be
    silently dead, which costs a request its whole inactivity timeout.
    Look-ups take a pooled one for a short time, then a fresh one. Reads
    of load and orders use the pool.
    """

    def __init__(self, clock):
        self._clock = clock
        self._pool = connections.ConnectionPool(clock)

    def generate(self, address, call, timeout_s):
        """Run one attempt at a model engine.

        Parameters
        ----------
        address : str
            ``host:port`` of the engine.
        call : GenerateCall
            The attempt.
        timeout_s : float
            Longest time without a byte, in seconds.

        Yields
        ------
        list of TokenLine or End
            The lines that arrived together.

        Raises
        ------
        EndpointError
            NotSent, RefusedByEndpoint, Failed, Broken or Silent.
        """
        body = messages.encode_generate(call)
        held = connections.open_fresh(address, timeout_s)
        with contextlib.closing(held):
            answer = _send(held, "POST", "/v1/generate", body, timeout_s)
            self._check(answer)
            yield from _read_lines(answer, timeout_s)

    def look_up(self, address, request_id, query, timeout_s):
        """Ask a plain service; return its LookupAnswer.

        Raises
        ------
        EndpointError
            As for generate; Crossed for another request's answer.
        """
        body = json.dumps({"request_id": request_id, "query": query}).encode()
        data = self._exchange(
            address, "POST", "/v1/lookup", body, timeout_s, POOLED_TIMEOUT_S
        )
        return _match(request_id, _decode(messages.decode_lookup, data))

    def book(self, address, request_id, key, booking, timeout_s):
        """Make a booking on a connection with a handshake just done.

        Parameters
        ----------
        address : str
            ``host:port`` of the endpoint.
        request_id : str
            Id of the attempt.
        key : str
            Idempotency key of the caller.
        booking : BookingRequest
            What is booked.
        timeout_s : float
            Longest time without a byte, in seconds.

        Returns
        -------
        BookingAnswer

        Raises
        ------
        EndpointError
            NotSent and RefusedByEndpoint when it has not run; any other
            fault when it may have run.
        """
        fields = {
            "request_id": request_id,
            "key": key,
            "slot": booking.slot,
            "details": booking.details,
        }
        body = json.dumps(fields).encode()
        held = connections.open_fresh(address, timeout_s)
        with contextlib.closing(held):
            answer = _send(held, "POST", "/v1/book", body, timeout_s)
            self._check(answer, request_id)
            data = _read_all(answer, timeout_s)
        return _match(request_id, _decode(messages.decode_booking, data))

    def find_booking(self, address, request_id, claimed_s):
        """Settle an attempt of unknown outcome at its endpoint.

        Parameters
        ----------
        address : str
            ``host:port`` of the endpoint.
        request_id : str
            Id of the attempt.
        claimed_s : float
            When the attempt was claimed, in Unix seconds: an endpoint
            whose ledger began later cannot know what became of it.

        Returns
        -------
        BookingAnswer or None
            None when the attempt has not run there and never will.

        Raises
        ------
        EndpointError
            When the endpoint gives no usable answer.
        """
        path = f"/v1/bookings/{request_id}"
        held = connections.open_fresh(address, _SHORT_TIMEOUT_S)
        with contextlib.closing(held):
            answer = _send(held, "GET", path, None, _SHORT_TIMEOUT_S)
            if answer.status == _NOT_FOUND:
                data = _read_all(answer, _SHORT_TIMEOUT_S)
                return _check_ledger(data, claimed_s)
            self._check(answer, request_id)
            data = _read_all(answer, _SHORT_TIMEOUT_S)
        return _match(request_id, _decode(messages.decode_booking, data))

    def cancel(self, address, attempt_id):
        """Tell an engine that nobody waits for an attempt any more."""
        body = json.dumps({"request_id": attempt_id}).encode()
        with contextlib.suppress(errors.EndpointError):
            self._exchange(
                address, "POST", "/v1/cancel", body, _SHORT_TIMEOUT_S
            )

    def is_alive(self, address):
        """Return whether an endpoint accepts connections after a fault.

        Notes
        -----
        A process that is just ending may still accept one, so that it
        is asked twice.
        """
        if not self._is_reachable(address):
            return False
        self._clock.sleep(_ENDING_TIME_S)
        return self._is_reachable(address)

    def _is_reachable(self, address):
        """Return whether an endpoint accepts a fresh connection."""
        try:
            connections.open_fresh(address, _SHORT_TIMEOUT_S).close()
        except errors.EndpointError:
            return False
        return True

    def get_load(self, address, timeout_s=_SHORT_TIMEOUT_S):
        """Return the LoadReport of an endpoint.

        Raises
        ------
        EndpointError
            When the endpoint gives no usable answer.
        """
        data = self._exchange(address, "GET", "/v1/load", None, timeout_s)
        return _decode(messages.decode_load, data)

    def get_cache_events(self, address, after, timeout_s=_SHORT_TIMEOUT_S):
        """Return the cache events of an engine later than a number.

        Raises
        ------
        EndpointError
            When the endpoint gives no usable answer.
        """
        path = f"/v1/cache-events?after={after}"
        data = self._exchange(address, "GET", path, None, timeout_s)
        return _decode(messages.decode_cache_events, data)

    def order(self, address, order, timeout_s=_SHORT_TIMEOUT_S):
        """Give an engine an order to load or unload a version.

        Parameters
        ----------
        address : str
            ``host:port`` of the engine.
        order : LoadOrder
            The order with its fencing number.
        timeout_s : float
            Longest time without a byte, in seconds.

        Raises
        ------
        EndpointError
            RefusedByEndpoint for an old fencing number.
        """
        body = messages.encode_order(order)
        self._exchange(address, "POST", "/v1/orders", body, timeout_s)

    def move_cache(self, source, source_id, target, target_id):
        """Copy the cache of an attempt to another engine.

        Parameters
        ----------
        source, target : str
            ``host:port`` of both engines.
        source_id, target_id : str
            Attempt at either engine.

        Returns
        -------
        bool
            Whether the copy was taken in.
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
        """Send an idempotent request; return the body of the answer.

        A pooled connection may be dead: its fault is judged only after
        a fresh connection has failed as well.
        """
        held, is_fresh = self._pool.take(
            address, timeout_s, pooled_timeout_s or timeout_s
        )
        try:
            return self._exchange_on(
                held, address, method, path, body, timeout_s
            )
        except errors.EndpointError as error:
            is_final = isinstance(
                error.fault, streams.RefusedByEndpoint | streams.Failed
            )
            if is_fresh or is_final:
                raise
        self._pool.discard(address)
        held = connections.open_fresh(address, timeout_s)
        return self._exchange_on(held, address, method, path, body, timeout_s)

    def _exchange_on(self, held, address, method, path, body, timeout_s):
        """Send a request on one connection and read the whole answer."""
        try:
            answer = _send(held, method, path, body, timeout_s)
            self._check(answer)
            data = _read_all(answer, timeout_s)
        except errors.EndpointError:
            held.close()
            raise
        self._pool.give_back(address, held)
        return data

    @staticmethod
    def _check(answer, request_id=None):
        """Raise the fault that an answer's status stands for."""
        if answer.status in _OK:
            return
        if answer.status != _REFUSED:
            raise errors.EndpointError(streams.Failed(answer.status))
        reason = _read_reason(answer, request_id)
        raise errors.EndpointError(streams.RefusedByEndpoint(reason))


def _send(connection, method, path, body, timeout_s):
    """Send a request and return the answer once its head is there."""
    try:
        connection.request(
            method, path, body=body, headers=_JSON, preload_content=False
        )
        return connection.getresponse()
    except TimeoutError as error:
        raise errors.EndpointError(streams.Silent(timeout_s)) from error
    except _TRANSFER_FAULTS as error:
        raise errors.EndpointError(streams.Broken(str(error))) from error


def _read_all(answer, timeout_s):
    """Return the whole body of an answer."""
    try:
        return answer.read()
    except urllib3.exceptions.ReadTimeoutError as error:
        raise errors.EndpointError(streams.Silent(timeout_s)) from error
    except _TRANSFER_FAULTS as error:
        raise errors.EndpointError(streams.Broken(str(error))) from error


def _read_lines(answer, timeout_s):
    """Yield the lines that arrive together, decoded."""
    rest = b""
    try:
        for data in answer.stream(None):
            whole, newline, rest = (rest + data).rpartition(b"\n")
            if newline:
                yield [
                    messages.decode_line(each) for each in whole.split(b"\n")
                ]
    except urllib3.exceptions.ReadTimeoutError as error:
        raise errors.EndpointError(streams.Silent(timeout_s)) from error
    except _TRANSFER_FAULTS as error:
        raise errors.EndpointError(streams.Broken(str(error))) from error


def _read_reason(answer, request_id):
    """Return the reason in a refusal that names the request, if asked.

    A refusal with another request's id refuses nothing: it is crossed.
    """
    try:
        fields = json.loads(answer.read())
        named = fields.get("request_id", request_id)
        reason = str(fields.get("reason", ""))
    except (*_TRANSFER_FAULTS, AttributeError) as error:
        raise errors.EndpointError(streams.Broken(str(error))) from error
    if request_id is not None and named != request_id:
        raise errors.EndpointError(streams.Crossed(f"refusal of {named}"))
    return reason


def _decode(decode, data):
    """Return a decoded answer, or raise Broken."""
    try:
        return decode(data)
    except ValueError as error:
        raise errors.EndpointError(streams.Broken(str(error))) from error


def _check_ledger(data, claimed_s):
    """Return None, or raise when the ledger began after the claim."""
    since_s = _decode(messages.decode_ledger_start, data)
    if since_s > claimed_s - _CLOCK_SKEW_S:
        raise errors.EndpointError(streams.Failed(_NOT_FOUND))


def _match(request_id, answer):
    """Return an answer that belongs to a request, or raise Crossed."""
    if answer.request_id != request_id:
        fault = streams.Crossed(f"answer of {answer.request_id}")
        raise errors.EndpointError(fault)
    return answer
