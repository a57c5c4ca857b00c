"""Forwards requests to endpoints and streams back their answers."""

import dataclasses
import functools
import itertools
import random
import threading

import attrs

from mulberryhollow.coordination import forwarding as decisions
from mulberryhollow.coordination import room
from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow.protocol import peer_requests
from mulberryhollow.serving import answers
from mulberryhollow.serving import attempt_ends
from mulberryhollow.serving import attempts
from mulberryhollow.serving import drawn_retry
from mulberryhollow.serving import forward_log
from mulberryhollow.serving import kept_attempt
from mulberryhollow.serving.observer import Outcome
from mulberryhollow.serving import peer_forwarding
from mulberryhollow.serving import route_choice
from mulberryhollow.serving import stop_deadline
from mulberryhollow.state import endpoints
from mulberryhollow.transport import forwarding as transport

__all__ = ["ForwardDependencies", "Forwarder", "Forwarding"]

_MIN_SERVER_ERROR_STATUS = 500


class _SupersededError(errors.EndpointError):
    """Another endpoint has taken over the request."""


class _GoesOnError(Exception):
    """The endpoint that another one was to replace goes on."""


@attrs.define(eq=False)
class _CurrentAttempt:
    """An attempt in progress, and what it holds until it is released.

    Parameters
    ----------
    route : Route, PeerRoute or None
        Route of the attempt; None before it is chosen and once it is
        released.
    chosen : Chosen or None
        The endpoint; None if a peer chooses it.
    peer : str
        Instance id of the peer; empty for none.
    channel : EndpointChannel or None
        Connection of the attempt, while it may be aborted.
    answer : OpenAnswer or None
        The answer, once its head has arrived.
    has_answered : bool
        Whether a head has arrived, also once the answer is closed.
    """

    route: object = None
    chosen: object = None
    peer: str = ""
    channel: object = None
    answer: object = None
    has_answered: bool = False


@attrs.frozen
class ForwardDependencies:
    """Dependencies shared by all forwardings.

    Parameters
    ----------
    dispatcher : Dispatcher
        Chooses endpoints and owns the retry budget.
    client : ForwardClient
        Sends requests to endpoints.
    codec : object
        ``encode_call(request, chosen, remaining_s, last_event_id)`` returns
        the EndpointCall of an attempt.
    clock : Clock
        Source of time.
    watch : CallerWatch
        Detects callers that disconnect.
    recorder : object
        ``record_begun(request)``, ``record_first(request, elapsed_s)``
        and ``record_end(request, outcome, elapsed_s)`` update counters
        and latencies.
    buffers : AnswerBuffers
        Budget of the memory for answers that are not streams.
    peers : PeerForwarding or NoPeers
        Peers that forward while this instance reaches no endpoint.
    stop : StopDeadline
        Time that a stopping instance has left.
    """

    dispatcher: object
    client: object
    codec: object
    clock: object
    watch: object
    recorder: object
    buffers: answers.AnswerBuffers = attrs.field(factory=answers.AnswerBuffers)
    peers: object = attrs.field(factory=peer_forwarding.NoPeers)
    stop: stop_deadline.StopDeadline = attrs.field(
        factory=stop_deadline.StopDeadline
    )


class Forwarder:
    """Starts the forwarding of requests.

    Parameters
    ----------
    dependencies : ForwardDependencies
        Dependencies shared by all forwardings.
    """

    def __init__(self, dependencies):
        self._dependencies = dependencies

    def forward(self, request, is_gone=lambda: False):
        """Forward a request; return once its answer has begun.

        Parameters
        ----------
        request : ForwardRequest
            The request.
        is_gone : callable
            Returns whether the caller has disconnected.

        Returns
        -------
        Forwarding
            The caller of this method must close it in any case.

        Raises
        ------
        RefusedError
            When no attempt succeeds and none may follow.
        CallerDisconnectedError
            When the caller has disconnected.
        """
        forwarding = Forwarding(self._dependencies, request, is_gone)
        try:
            forwarding.begin()
        except BaseException:
            forwarding.close()
            raise
        return forwarding


class Forwarding:
    """One forwarded request and its answer, over one or more attempts.

    Parameters
    ----------
    dependencies : ForwardDependencies
        Dependencies shared by all forwardings.
    request : ForwardRequest
        The request.
    is_gone : callable
        Returns whether the caller has disconnected.

    Attributes
    ----------
    head : AnswerHead or None
        Head of the answer, once it has begun.
    body : bytes or None
        The complete body; None when `iterate` yields it in pieces.
    """

    def __init__(self, dependencies, request, is_gone):
        self.head = None
        self.body = None
        self._dependencies = dependencies
        self._request = request
        self._is_gone = is_gone
        self._choice = route_choice.RouteChoice(dependencies, request.permit)
        self._attempts = self._choice.attempts
        self._retry = drawn_retry.DrawnRetry(
            dependencies.dispatcher, request.service
        )
        self._current = _CurrentAttempt()
        # Attempt that goes on until another endpoint has taken over.
        self._kept = None
        # What has been read before its endpoint took over.
        self._next_piece = None
        self._first_piece = b""
        self._failed_answer = None
        self._reader = answers.AnswerReader(
            request,
            dependencies.clock,
            dependencies.recorder,
            dependencies.buffers,
        )
        self._channel_lock = threading.Lock()
        self._is_aborted = False
        self._is_complete = False
        self._has_server_error = False
        self._outcome = Outcome.LEFT
        self._first_token_s = 0.0
        dependencies.watch.add(self, is_gone, self._abort)

    def begin(self):
        """Make attempts until an answer has begun.

        Raises
        ------
        RefusedError, CallerDisconnectedError
            As for `Forwarder.forward`.
        """
        try:
            while self.head is None:
                self._make_attempt(self._begin_answer)
        except errors.RefusedError as error:
            if self._failed_answer is None:
                raise self._refuse(error.refusal) from error
            self.head, self.body = self._failed_answer
            self._outcome = Outcome.FAILED

    def iterate(self):
        """Yield the pieces of the answer until it is complete.

        Raises
        ------
        EndpointError
            When the answer ends early and cannot be resumed.
        CallerDisconnectedError
            When the caller has disconnected.
        """
        first, self._first_piece = self._first_piece, b""
        if first:
            yield first
        while not self._is_complete:
            self._check_deadline()
            try:
                piece = self._read_events()
            except errors.EndpointError as error:
                self._resume(error.fault)
                continue
            if piece:
                yield piece

    @property
    def request_id(self):
        """Id of the request."""
        return self._request.request_id

    @property
    def endpoint_id(self):
        """Id of the endpoint that was chosen last; empty for none."""
        chosen = self._current.chosen
        return chosen.endpoint_id if chosen else ""

    def expire(self):
        """End the attempt in progress once the stop deadline has passed.

        Called in another thread. What has not begun to be answered is
        refused, and an answer that has begun is broken off.
        """
        with self._channel_lock:
            self._abort_channels()

    def close(self):
        """Release all resources and record the outcome."""
        dependencies = self._dependencies
        dependencies.watch.remove(self)
        self._close_answer()
        self._release_route()
        self._retry.give_back()
        self._reader.close()
        elapsed_s = dependencies.clock.now_s() - self._request.arrived_s
        dependencies.recorder.record_end(
            self._request, self._outcome, elapsed_s
        )
        forward_log.log_end(
            self._request,
            self._outcome,
            self.head,
            self._current.chosen,
            self._reader,
            elapsed_s,
            self._current.peer,
            self._get_stopping_s(),
        )

    def _make_attempt(self, run):
        """Make one attempt; after a fault, raise unless a retry is allowed."""
        self._check_caller()
        self._check_stop()
        route = self._choose()
        try:
            run(route)
        except errors.EndpointLeftError:
            self._withdraw()
        except errors.EndpointError as error:
            route = self._current.route
            self._fail(error.fault)
            self._check_caller()
            self._require_retry(route, error.fault)

    def _choose(self):
        """Choose the route of the next attempt, which is then the current."""
        route = self._choice.choose(self._request)
        if isinstance(route, peer_forwarding.PeerRoute):
            self._current = _CurrentAttempt(route, peer=route.name)
        else:
            self._current = _CurrentAttempt(route, route.chosen)
        return route

    def _begin_answer(self, route):
        """Send an attempt and read the head or the whole of its answer.

        For a repeatable request, a server error counts as a fault, so that
        another endpoint is tried. The last such answer is kept, and passed
        on to the caller when no attempt succeeds.
        """
        answer = self._open(route)
        head = answer.head
        is_success = 200 <= head.status < 300
        if is_success and self._request.kind.is_stream:
            head, self._first_piece = self._read_first()
            self._dependencies.dispatcher.report_begun(self._request.parts)
            self.head = head
            return
        body = self._take_next_piece()
        if body is None:
            body = self._reader.read_whole(answer)
        if is_success:
            self._dependencies.dispatcher.report_begun(self._request.parts)
        is_failure = head.status >= _MIN_SERVER_ERROR_STATUS
        if is_failure and self._request.kind.is_repeatable:
            self._failed_answer = head, body
            raise errors.EndpointError(streams.Failed(head.status))
        self._has_server_error = is_failure
        self._finish()
        self.head, self.body = head, body

    def _continue_stream(self, route):
        """Send an attempt that resumes a stream."""
        answer = self._open(route)
        if answer.head.status != self.head.status:
            raise errors.EndpointError(streams.Failed(answer.head.status))

    def _open(self, route, await_head=None):
        """Send the request; return an OpenAnswer if the endpoint runs it.

        Parameters
        ----------
        route : Route or PeerRoute
            Route of the attempt.
        await_head : callable or None
            Waits for the head, as for `ForwardClient.open`; None to let
            another endpoint take over when it is late.
        """
        await_head = await_head or self._await_head
        try:
            if isinstance(route, peer_forwarding.PeerRoute):
                return self._open_at_peer(route, await_head)
            return self._open_at_endpoint(route, await_head)
        except _SupersededError:
            return self._current.answer

    def _open_at_endpoint(self, route, await_head):
        """Send the request to an endpoint; return its OpenAnswer."""
        request = self._request
        now_s = self._dependencies.clock.now_s()
        call = self._dependencies.codec.encode_call(
            request,
            route.chosen,
            request.deadline_s - now_s,
            self._reader.assembly.last_id,
        )
        attempt = transport.Attempt(
            route.address,
            call,
            decisions.get_head_timeout_s(request, self._attempts.runs, now_s),
            is_fresh=not request.kind.is_repeatable,
            connect_s=decisions.get_connect_limit_s(request, now_s),
        )
        peers = self._dependencies.peers
        try:
            answer = self._send(
                self._dependencies.client,
                attempt,
                self._prepare_send,
                await_head,
            )
        except errors.EndpointError as error:
            peers.record_failure(route, error.fault)
            raise
        peers.record_answer(route, answer.is_new_connection)
        self._dependencies.dispatcher.report_load(route, answer.head.load)
        if answer.head.is_leaving:
            self._dependencies.dispatcher.report_leaving(route.endpoint_id)
        if answer.head.pause_s:
            self._dependencies.dispatcher.report_pause(
                route.endpoint_id, answer.head.pause_s
            )
        if not answer.head.is_other_endpoint:
            self._dependencies.dispatcher.report_rate(
                route, answer.head.rate_limit
            )
            self._dependencies.dispatcher.report_brittle(
                route, answer.head.brittle_rejections
            )
        self._begin_reading(answer)
        if answer.head.has_not_run:
            self._reader.drain(answer)
            self._close_answer()
            raise errors.EndpointError(_classify_refusal(answer.head))
        if answer.head.flaw:
            raise errors.EndpointError(streams.Crossed(answer.head.flaw))
        return answer

    def _open_at_peer(self, route, await_head):
        """Send the request to a peer, which forwards it to an endpoint.

        Raises
        ------
        RefusedError
            With the refusal of the peer.
        """
        request = self._request
        now_s = self._dependencies.clock.now_s()
        timeout_s = decisions.get_head_timeout_s(
            request, self._attempts.runs, now_s
        )
        attempt = transport.Attempt(
            route.address,
            peer_requests.encode_call(
                request,
                request.deadline_s - now_s,
                self._reader.assembly.last_id,
            ),
            timeout_s,
            is_fresh=not request.kind.is_repeatable,
            connect_s=decisions.get_connect_limit_s(request, now_s),
        )
        peers = self._dependencies.peers
        answer = self._send(
            peers.client, attempt, self._set_channel, await_head
        )
        self._begin_reading(answer)
        head = answer.head
        if head.refusal is not None:
            self._reader.drain(answer)
            self._close_answer()
            if head.refusal.kind is errors.RefusalKind.LEAVING:
                fault = streams.NotSent(head.refusal.message)
                raise errors.EndpointError(fault)
            if head.refusal.ran is not errors.ExecutionStatus.NOT_RUN:
                fault = streams.Broken(head.refusal.message)
                self._choice.record(fault, route.endpoint_id)
            raise errors.RefusedError(head.refusal)
        self._report_passed_on(head)
        return answer

    def _send(self, client, attempt, prepare, await_head):
        """Return the OpenAnswer of an attempt.

        Its retry is used up unless nothing has been sent.
        """

        def await_sent(channel):
            self._retry.use()
            return await_head(channel)

        try:
            answer = client.open(attempt, prepare, await_sent)
        except errors.EndpointError as error:
            if not isinstance(error.fault, streams.NotSent):
                self._retry.use()
            raise
        self._retry.use()
        return answer

    def _begin_reading(self, answer):
        """Begin to read an answer whose head has arrived."""
        self._current.answer = answer
        self._current.has_answered = True
        self._reader.begin_answer(answer, self.head is not None)

    def _report_passed_on(self, head):
        """Report what an endpoint says to the caller through a peer."""
        dispatcher = self._dependencies.dispatcher
        if head.is_leaving:
            dispatcher.report_leaving(head.endpoint_id)
        if head.rate_limit is not None:
            dispatcher.report_named_rate(head.endpoint_id, head.rate_limit)

    def _set_channel(self, channel):
        """Store the channel of the attempt, so that `_abort` can close it."""
        with self._channel_lock:
            self._current.channel = channel
            if self._is_aborted or self._has_stopped():
                channel.abort()

    def _prepare_send(self, channel):
        """Store the channel and check that its endpoint has not left."""
        self._set_channel(channel)
        self._dependencies.dispatcher.check_send(self._current.route)

    def _draw_retry(self, is_speculative=False):
        """Draw the retry of the next attempt.

        Raises
        ------
        RefusedError
            When none is left.
        """
        if not self._retry.draw(is_speculative):
            raise errors.RefusedError(
                self._choice.refuse_no_capacity(self._request)
            )

    def _abort(self):
        """Abort the attempt in progress; called in another thread."""
        with self._channel_lock:
            self._is_aborted = True
            self._abort_channels()

    def _abort_channels(self):
        """Abort all attempts in progress; the caller holds the lock."""
        for each in (self._current, self._kept):
            if each is not None and each.channel is not None:
                each.channel.abort()

    def _read_first(self):
        """Return head and first events of a stream, and report their time."""
        piece = b""
        while not (piece or self._is_complete):
            self._check_deadline()
            # Another endpoint may take over before the first event.
            head = self._current.answer.head
            piece = self._read_events()
        now_s = self._dependencies.clock.now_s()
        route = self._current.route
        if isinstance(route, attempts.Route):
            self._first_token_s = now_s - route.work.started_at_s
            self._dependencies.dispatcher.report_first_token(
                route, self._first_token_s
            )
        return head, piece

    def _read_events(self):
        """Return the next complete events; empty while none is complete."""
        piece = self._take_next_piece()
        if piece is not None:
            return piece
        answer, runs = self._current.answer, self._attempts.runs
        if not self._reader.wait(answer, runs):
            if self._dependencies.clock.now_s() < self._request.deadline_s:
                fault = streams.Silent(self._reader.waited_s)
                count = self._reader.assembly.event_count
                is_replaced = self._seek_successor(fault)
                if not is_replaced and (
                    self._reader.assembly.event_count == count
                ):
                    self._reader.restart_wait()
            return b""
        piece = self._reader.read_events(answer, runs)
        if piece is None:
            self._finish()
            return self._reader.assembly.rest
        return piece

    def _take_next_piece(self):
        """Return what was read before its endpoint took over; None for none.

        It is the first events of a stream, and the whole of any other answer.
        """
        piece, self._next_piece = self._next_piece, None
        return piece

    def _finish(self):
        """Mark the answer as complete and release its route."""
        self._report_served()
        self._is_complete = True
        self._outcome = Outcome.DONE
        self._close_answer()
        self._release_route()

    def _report_served(self):
        """Report the times of an answer that one endpoint gave in full."""
        route, answer = self._current.route, self._current.answer
        is_first = isinstance(route, attempts.Route) and self._choice.is_first
        if not (is_first and answer and 200 <= answer.head.status < 300):
            return
        now_s = self._dependencies.clock.now_s()
        total_s = now_s - route.work.started_at_s
        is_stream = self._request.kind.is_stream
        reader = self._reader
        self._dependencies.dispatcher.report_served(
            route,
            attempts.AnswerTimes(
                self._first_token_s if is_stream else total_s,
                total_s,
                reader.median_gap_s,
                reader.assembly.count if is_stream else 0,
                answer.head.load,
            ),
        )

    def _check_deadline(self):
        """Raise when the deadline of the request has passed."""
        now_s = self._dependencies.clock.now_s()
        if now_s >= self._request.deadline_s:
            if self.head is not None:
                self._record_broken_off(
                    self._current.route, "the deadline has passed"
                )
            fault = streams.Silent(now_s - self._request.arrived_s)
            raise errors.EndpointError(fault)

    def _record_broken_off(self, route, fault, reason=""):
        """Record and log that the answer ends before it is complete."""
        self._outcome = Outcome.BROKEN_OFF
        count = self._reader.assembly.count
        forward_log.log_broken_off(
            self._request,
            route.endpoint_id,
            fault,
            count,
            reason,
            self._get_stopping_s(),
        )

    def _resume(self, fault):
        """Resume a broken stream at another endpoint, or raise."""
        route = self._current.route
        try:
            self._fail(fault, is_answering=True)
            self._check_caller()
            if not (
                self._request.kind.is_repeatable and self._reader.is_resumable
            ):
                raise errors.EndpointError(fault)
            self._require_retry(route, fault)
            while self._current.answer is None:
                self._make_attempt(self._continue_stream)
        except (errors.RefusedError, errors.EndpointError) as error:
            self._record_broken_off(route, fault, error.message)
            raise errors.EndpointError(fault) from error

    def _fail(self, fault, is_answering=False):
        """Release a failed attempt and report its fault."""
        self._close_answer()
        self._next_piece = None
        route = self._current.route
        if isinstance(route, peer_forwarding.PeerRoute):
            is_silent = isinstance(fault, streams.NotSent | streams.Silent)
            is_ended_here = self._is_aborted or self._has_stopped()
            self._release_route(has_failed=is_silent and not is_ended_here)
            self._choice.record(fault, route.endpoint_id)
            self._check_stop()
            return
        self._current.route = None
        self._choice.record(fault, route.endpoint_id)
        if self._is_aborted:
            self._report_left(route)
            raise errors.CallerDisconnectedError
        if self._has_stopped():
            # The fault may come from `expire` and not from the endpoint.
            self._report_left(route)
            raise errors.RefusedError(
                decisions.refuse_stopping(self._attempts)
            )
        failure = self._report_fault(route, fault, is_answering)
        if failure.kind is endpoints.FailureKind.CRASHED:
            forward_log.log_crash(
                self._request,
                route.endpoint_id,
                is_answering,
                failure.is_quarantined,
            )
        if failure.is_quarantined:
            raise attempts.refuse_quarantined()

    def _await_head(self, channel):
        """Wait for a head; while it is late, another endpoint may take over.

        Returns
        -------
        float
            Time until the head has to be whole, in seconds.

        Raises
        ------
        EndpointError
            Silent at the deadline, or when another endpoint has taken over.
        """
        request = self._request
        began_s = self._dependencies.clock.now_s()
        for rounds in itertools.count():
            now_s = self._dependencies.clock.now_s()
            timeout_s = decisions.get_head_timeout_s(
                request, self._attempts.runs, now_s, rounds
            )
            is_ready = transport.wait_readable((channel,), timeout_s)
            now_s = self._dependencies.clock.now_s()
            if is_ready:
                return decisions.get_head_timeout_s(
                    request, self._attempts.runs, now_s
                )
            fault = streams.Silent(now_s - began_s)
            if now_s >= request.deadline_s:
                raise errors.EndpointError(fault)
            if self._seek_successor(fault):
                raise _SupersededError(fault)

    def _seek_successor(self, fault):
        """Let another endpoint take over from the current one, which is late.

        The current one is left once another one has answered. If none does,
        it goes on: that it is silent does not mean that it has stopped.

        Parameters
        ----------
        fault : Silent
            Fault of the current attempt.

        Returns
        -------
        bool
            Whether the current attempt is one at another endpoint now.

        Raises
        ------
        EndpointError
            When the current one has failed meanwhile.
        """
        earlier = self._kept = self._current
        kept = kept_attempt.KeptAttempt(earlier, self._reader)
        before = self._choice.begin_trial(earlier.route.endpoint_id)
        is_replaced = False
        try:
            while not is_replaced and self._may_be_replaced(fault):
                is_replaced = self._try_successor(kept)
                if is_replaced or kept.is_decided:
                    break
                if transport.wait_readable((kept.channel,), 0.0):
                    kept.receive()
                if kept.is_decided:
                    break
        except errors.RefusedError as error:
            forward_log.log_not_replaced(
                self._request, earlier.route, fault, error.message
            )
        finally:
            with self._channel_lock:
                if not is_replaced:
                    self._current = earlier
                self._kept = None
            self._choice.end_trial(None if is_replaced else before)
            self._retry.give_back()
        if is_replaced:
            self._next_piece = kept.piece + self._next_piece
            self._retire(kept, fault)
        elif kept.fault is not None:
            raise errors.EndpointError(kept.fault)
        elif kept.piece:
            self._next_piece = kept.piece
            self._reader.record_event_times()
        return is_replaced

    def _may_be_replaced(self, fault):
        """Return whether one more endpoint may run the request."""
        if not self._reader.is_repeatable:
            return False
        counted = attrs.evolve(self._attempts)
        counted.record(fault)
        now_s = self._dependencies.clock.now_s()
        decision = decisions.decide_next(
            self._request, counted, fault, now_s, random.random()
        )
        return isinstance(decision, decisions.TryNextEndpoint)

    def _try_successor(self, kept):
        """Return whether an endpoint has taken over.

        Parameters
        ----------
        kept : KeptAttempt
            The attempt that goes on otherwise.

        Raises
        ------
        RefusedError
            When no other endpoint is to be tried.
        """
        self._check_caller()
        self._check_stop()
        reader = self._reader
        route = self._choose()
        self._reader = reader.fork()
        is_accepted = False
        try:
            self._draw_retry(is_speculative=True)
            answer = self._open(
                route,
                lambda channel: self._await_successor(kept, channel),
            )
            self._next_piece = self._check_successor(answer, kept)
            is_accepted = True
        except errors.EndpointLeftError:
            self._withdraw()
        except errors.EndpointError as error:
            self._fail(error.fault)
        except _GoesOnError:
            # It may have run at the other endpoint as well.
            self._choice.record(streams.Silent(0.0), route.endpoint_id)
            self._abandon(is_sent=True)
        finally:
            replaced = reader if is_accepted else self._reader
            replaced.close()
            if not is_accepted:
                self._reader = reader
                self._abandon()
        return is_accepted

    def _abandon(self, is_sent=False):
        """Release an attempt that says nothing about its endpoint."""
        self._close_answer()
        route, self._current.route = self._current.route, None
        match route:
            case peer_forwarding.PeerRoute():
                self._dependencies.peers.withdraw(route)
            case attempts.Route() if is_sent:
                self._dependencies.dispatcher.finish(
                    route, is_abandoned=True, is_sound=False
                )
            case attempts.Route():
                self._dependencies.dispatcher.withdraw(route)

    def _await_successor(self, kept, channel):
        """Wait for a head at another endpoint, or for the kept attempt.

        Returns
        -------
        float
            Time until the head has to be whole, in seconds.

        Raises
        ------
        EndpointError
            Silent when neither answers.
        _GoesOnError
            When the kept attempt goes on.
        """
        clock = self._dependencies.clock
        runs = self._attempts.runs + 1
        timeout_s = decisions.get_head_timeout_s(
            self._request, runs, clock.now_s()
        )
        self._await_either(kept, channel, timeout_s)
        channel.await_input = self._watch(kept, channel)
        return decisions.get_head_timeout_s(self._request, runs, clock.now_s())

    def _watch(self, kept, channel):
        """Return what waits for more of an answer, or the kept attempt."""
        return functools.partial(
            self._await_either, kept, transport.SocketInput(channel.sock)
        )

    def _await_either(self, kept, channel, timeout_s):
        """Wait until another endpoint can be read, or the kept one goes on.

        Raises
        ------
        EndpointError, _GoesOnError
            As for `_await_successor`.
        """
        clock = self._dependencies.clock
        end_s = clock.now_s() + timeout_s
        is_over = False
        while not is_over:
            watched = () if kept.has_failed else (kept.channel,)
            left_s = max(0.0, end_s - clock.now_s())
            found = transport.wait_readable((*watched, channel), left_s)
            is_over = found is None
            if found is kept.channel:
                kept.receive()
                if kept.goes_on:
                    raise _GoesOnError
                # More of the kept attempt must not hide the other one.
                found = transport.wait_readable((channel,), 0.0)
                is_over = clock.now_s() >= end_s
            if found is channel:
                return
        raise errors.EndpointError(streams.Silent(timeout_s))

    def _check_successor(self, answer, kept):
        """Return the first events of an answer that is to take over.

        Of an answer that is not a stream, all of it is returned. An endpoint
        that runs a stream may still end without an event.

        Raises
        ------
        EndpointError
            When the answer does not continue the kept one, or fails.
        _GoesOnError
            As for `_await_successor`.
        """
        status = answer.head.status
        begun = kept.attempt.answer
        head = self.head or (begun and begun.head)
        if head is None:
            is_usable = status < _MIN_SERVER_ERROR_STATUS
        else:
            is_usable = status == head.status
        if not is_usable:
            raise errors.EndpointError(streams.Failed(status))

        channel = self._current.channel
        channel.await_input = self._watch(kept, channel)
        try:
            if self._request.kind.is_stream and 200 <= status < 300:
                runs = self._attempts.runs + 1
                return self._reader.read_first_event(answer, runs)
            return self._reader.read_whole(answer)
        finally:
            channel.await_input = None

    def _retire(self, kept, fault):
        """Release the attempt that another endpoint has taken over."""
        earlier = kept.attempt
        route, earlier.route = earlier.route, None
        with self._channel_lock:
            channel, earlier.channel = earlier.channel, None
        channel.abort()
        if kept.fault is not None:
            fault = kept.fault
        elif channel.has_broken_off:
            fault = streams.Broken("it ended while another one was asked")
        if earlier.answer is not None:
            earlier.answer.close()
        self._choice.record(fault, route.endpoint_id)
        forward_log.log_replaced(
            self._request, route, fault, self._current.route
        )
        if isinstance(route, peer_forwarding.PeerRoute):
            self._dependencies.peers.release(route, has_failed=True)
            return
        self._report_fault(route, fault, is_answering=self.head is not None)

    def _report_fault(self, route, fault, is_answering):
        """Report the fault of an own attempt; return what it is counted as."""
        return attempts.report_fault(
            self._dependencies.dispatcher,
            self._dependencies.client,
            route,
            fault,
            self._request.fingerprint,
            is_answering,
            self._request.parts,
        )

    def _withdraw(self):
        """Take back an attempt of which nothing was sent.

        It counts neither as an offer nor as a retry, and the endpoint is not
        at fault.
        """
        self._choice.exclude(self._current.route.endpoint_id)
        self._abandon()

    def _require_retry(self, route, fault):
        """Return when another attempt may follow; raise otherwise."""
        now_s = self._dependencies.clock.now_s()
        decision = decisions.decide_next(
            self._request, self._attempts, fault, now_s, random.random()
        )
        match decision:
            case decisions.FailRequest(refusal):
                if not self._choice.require_peer():
                    raise errors.RefusedError(refusal)
            case decisions.TryNextEndpoint(draws_budget=True):
                self._draw_retry()
        forward_log.log_retried(self._request, route, fault, self._attempts)

    def _refuse(self, refusal):
        """Log a final refusal and return its error."""
        if (
            self._attempts.runs
            and refusal.ran is errors.ExecutionStatus.NOT_RUN
        ):
            refusal = dataclasses.replace(
                refusal, ran=errors.ExecutionStatus.UNKNOWN
            )
        if self._request.is_admitted_by_room and refusal.retry_after_s:
            refusal = self._limit_retry_after(refusal)
        self._outcome = Outcome.REFUSED
        forward_log.log_request_failed(
            self._request, refusal, self._attempts, self._current.chosen
        )
        return errors.RefusedError(refusal)

    def _limit_retry_after(self, refusal):
        """Return a refusal whose caller can still return in time.

        A longer Retry-After than a part of the remaining time is not
        honoured, and the caller is lost.
        """
        left_s = self._request.deadline_s - self._dependencies.clock.now_s()
        latest_s = room.MAX_RETRY_FRACTION * max(0.0, left_s)
        retry_after_s = min(refusal.retry_after_s, latest_s)
        return dataclasses.replace(refusal, retry_after_s=retry_after_s)

    def _check_caller(self):
        """Raise CallerDisconnectedError when the caller has disconnected."""
        if self._is_aborted or self._is_gone():
            raise errors.CallerDisconnectedError

    def _has_stopped(self):
        """Return whether the stop deadline of the instance has passed."""
        now_s = self._dependencies.clock.now_s()
        return self._dependencies.stop.has_passed(now_s)

    def _get_stopping_s(self):
        """Return the time since the instance began to stop, or None."""
        now_s = self._dependencies.clock.now_s()
        return self._dependencies.stop.get_elapsed_s(now_s)

    def _check_stop(self):
        """Limit the request to the time that a stopping instance has left.

        Raises
        ------
        RefusedError
            When another attempt would not end in that time.
        """
        stop = self._dependencies.stop
        now_s = self._dependencies.clock.now_s()
        if self._has_stopped() or not stop.can_hold(self._request, now_s):
            raise errors.RefusedError(
                decisions.refuse_stopping(self._attempts)
            )
        self._request = stop.limit(self._request)

    def _close_answer(self):
        """Close the answer, and so release its connection."""
        with self._channel_lock:
            # Once released, the connection may carry another request.
            self._current.channel = None
        answer, self._current.answer = self._current.answer, None
        if answer is not None:
            answer.close()

    def _release_route(self, has_failed=False):
        """Release the route of an attempt that ended, or of a peer's."""
        route, self._current.route = self._current.route, None
        match route:
            case peer_forwarding.PeerRoute():
                self._dependencies.peers.release(route, has_failed)
            case attempts.Route() if self._is_complete:
                is_sound = not self._has_server_error
                self._dependencies.dispatcher.finish(
                    route,
                    fingerprint=self._request.fingerprint if is_sound else "",
                    has_failed=not is_sound,
                    is_sound=is_sound,
                )
            case attempts.Route() if self._outcome is Outcome.BROKEN_OFF:
                attempt_ends.report_overdue(
                    self._dependencies.dispatcher,
                    self._dependencies.client,
                    self._request,
                    route,
                    self._reader.silence_s,
                    self._reader.event_age_s,
                )
            case attempts.Route():
                self._report_left(route)

    def _report_left(self, route):
        """Release the route of an attempt that nobody waits for."""
        has_answered = self._current.has_answered
        attempt_ends.report_left(
            self._dependencies.dispatcher,
            self._request,
            route,
            self._reader.event_age_s if has_answered else None,
        )


def _classify_refusal(head):
    """Return the fault of an attempt that the endpoint did not run.

    A reply of another endpoint, which has taken over the address, counts as
    not sent.
    """
    if head.is_other_endpoint:
        return streams.NotSent("the address now belongs to another endpoint")
    return streams.RefusedByEndpoint(f"status {head.status}")
