"""Relays the token stream of a model engine, with retries."""

import dataclasses
import threading

import attrs

from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow.protocol import callers
from mulberryhollow.protocol import endpoints as messages
from mulberryhollow.serving import attempts
from mulberryhollow.state import environment as environment_module

__all__ = ["Relay", "RelayDependencies"]

INACTIVITY_TIMEOUT_S = {
    environment_module.RequestClass.CHAT: 5.0,
    environment_module.RequestClass.PATIENT: 60.0,
}
"""Inactivity timeout of an engine by request class, in seconds."""

ENGINE_PRIORITY = {
    environment_module.RequestClass.CHAT: 0,
    environment_module.RequestClass.PATIENT: 10,
}
"""Scheduling priority at the engine by request class; 0 is most urgent."""

MIGRATION_RETRY_S = 0.5
"""Time between searches for an engine that replaces a reclaimed one, in s."""

# Weight of a new sample in the smoothed time between tokens.
_INTERVAL_SMOOTHING = 0.2


@attrs.frozen
class RelayDependencies:
    """Dependencies shared by all relays of an instance.

    Parameters
    ----------
    dispatcher : Dispatcher
        Chooses endpoints.
    endpoints : EndpointClient
        Client of the endpoints.
    clock : Clock
        Source of time.
    observer : Observer
        Records token counts and latencies.
    notices : Notices
        Reclaim times of the endpoints.
    """

    dispatcher: object
    endpoints: object
    clock: object
    observer: object
    notices: object


class Relay:
    """Relay of one answer to a caller.

    Parameters
    ----------
    dependencies : RelayDependencies
        Dependencies shared by all relays.
    request : CallerRequest
        The request, with a GenerateRequest as its body.
    fingerprint : str
        Fingerprint of the request, checked by the quarantine.
    tokens : iterable of str
        Tokens that the caller already has.
    may_have_run : bool
        Whether another instance may have run the request.

    Attributes
    ----------
    served_by : str
        Id of the endpoint of the latest attempt; empty before the first.
    version : str
        Version that this endpoint runs.
    is_refused : bool
        Whether the relay ended with a refusal.

    Notes
    -----
    `run` yields lists of tokens and ends once the answer is complete. The
    caller has every token in `tokens`; `stop` ends the relay between two
    lists, so that another instance can resume the answer.
    """

    def __init__(
        self, dependencies, request, fingerprint, tokens=(), may_have_run=False
    ):
        self.request = request
        self.fingerprint = fingerprint
        self.served_by = ""
        self.version = ""
        self._dependencies = dependencies
        self._assembly = streams.Assembly(tokens)
        self._excluded = set()
        self._stopped = threading.Event()
        self._interval_s = 0.0
        self._cache_source = None
        self._next_route = None
        self._next_search_s = dependencies.clock.now_s()
        self._may_have_run = may_have_run
        self._sent_attempts = 0
        self._first_byte_s = None
        self._begin_s = dependencies.clock.now_s()
        self.is_refused = False

    @property
    def tokens(self):
        """Tokens of the answer so far."""
        return self._assembly.tokens

    @property
    def is_complete(self):
        """Whether the answer is complete."""
        return self._assembly.is_complete

    def stop(self):
        """Make the relay end after the current list of tokens."""
        self._stopped.set()

    def run(self):
        """Yield lists of tokens until the answer is complete.

        Raises
        ------
        RefusedError
            When no further attempt is allowed.
        AnswerMovedError
            When the relay was stopped.
        """
        try:
            yield from self._run_attempts()
        except errors.RefusedError:
            self.is_refused = True
            raise
        finally:
            self._release_next()

    def _run_attempts(self):
        """Yield lists of tokens from one attempt after another."""
        attempt = 0
        while not self.is_complete:
            attempt += 1
            self._check_stopped()
            route = self._choose()
            fault, is_sent = None, True
            try:
                yield from self._run_attempt(route, attempt)
            except errors.EndpointLeftError:
                is_sent = False
            except errors.EndpointError as error:
                fault = error.fault
            finally:
                kind = self._end_attempt(route, fault, is_sent)
            if fault is not None:
                self._pause(kind)

    def _choose(self):
        """Choose the route of the next attempt, if it is not chosen yet."""
        route, self._next_route = self._next_route, None
        if route is not None:
            return route
        try:
            return attempts.choose_with_fallback(
                self._dependencies.dispatcher,
                self.request,
                self._excluded,
                keeps_version=bool(self.tokens),
            )
        except errors.RefusedError as error:
            raise self._mark_partly_run(error) from error

    def _run_attempt(self, route, attempt):
        """Yield the tokens of one attempt, until its answer ends or moves."""
        attempt_id = self._make_attempt_id(attempt)
        self.served_by = route.endpoint_id
        self.version = route.version
        self._import_cache(route, attempt_id)
        self._assembly.start(attempt_id)
        call = messages.GenerateCall(
            attempt_id,
            route.version,
            self.request.body.prompt,
            self.request.body.max_tokens,
            ENGINE_PRIORITY[self.request.request_class],
            tuple(self.tokens),
        )
        timeout_s = self._compute_timeout()
        self._dependencies.dispatcher.check_send(route)
        lines = self._dependencies.endpoints.generate(
            route.address, call, timeout_s
        )
        try:
            yield from self._stream_lines(lines, route, attempt)
        finally:
            lines.close()
            if not self.is_complete and self._cache_source is None:
                self._dependencies.endpoints.cancel(route.address, attempt_id)

    def _stream_lines(self, lines, route, attempt):
        """Yield the tokens of each batch of lines."""
        last_s = self._dependencies.clock.now_s()
        begin_s = last_s
        self._first_byte_s = None
        for batch in lines:
            before = len(self.tokens)
            fault = self._append_batch(batch)
            new_tokens = self.tokens[before:]
            last_s = self._update_interval(last_s, len(new_tokens))
            if new_tokens and not before:
                self._dependencies.observer.record_first(
                    self.request, last_s - self._begin_s
                )
            if new_tokens and self._first_byte_s is None:
                self._first_byte_s = last_s - begin_s
            if new_tokens:
                yield new_tokens
            if fault is not None:
                raise errors.EndpointError(fault)
            if self.is_complete:
                return
            self._check_stopped()
            self._compute_timeout()
            if self._must_migrate(route) and self._choose_next(route):
                self._cache_source = (
                    route.address,
                    self._make_attempt_id(attempt),
                )
                self._excluded.add(route.endpoint_id)
                return
        fault = self._assembly.finish()
        if fault is not None:
            raise errors.EndpointError(fault)

    def _compute_timeout(self):
        """Return the inactivity timeout, bounded by the deadline.

        Raises
        ------
        RefusedError
            When the deadline has passed.
        """
        remaining_s = (
            self.request.deadline_s - self._dependencies.clock.wall_s()
        )
        if remaining_s <= 0:
            raise callers.refuse(
                errors.RefusalKind.DEADLINE_PASSED,
                "the deadline passed before the answer was complete",
                "send a longer X-Timeout-S",
                ran=errors.ExecutionStatus.PARTLY,
            )
        limit_s = INACTIVITY_TIMEOUT_S[self.request.request_class]
        return min(limit_s, remaining_s)

    def _append_batch(self, batch):
        """Append a batch of lines to the answer; return a fault or None."""
        for line in batch:
            fault = self._assembly.add_line(line)
            if fault is not None:
                return fault
            if isinstance(line, streams.End):
                self._dependencies.observer.count_prompt(
                    line.computed_prompt_tokens, line.cached_prompt_tokens
                )
        return None

    def _end_attempt(self, route, fault, is_sent):
        """Report the result of an attempt; return its FailureKind or None."""
        if not is_sent:
            self._excluded.add(route.endpoint_id)
            self._dependencies.dispatcher.withdraw(route)
            return None
        if fault is None:
            self._dependencies.dispatcher.finish(
                route,
                fingerprint=self.fingerprint if self.is_complete else "",
                first_byte_s=self._first_byte_s,
            )
            return None
        self._excluded.add(route.endpoint_id)
        if streams.may_have_run(fault):
            self._may_have_run = True
            self._sent_attempts += 1
        self._dependencies.observer.count_recomputed(
            streams.get_recomputation_cause(fault), len(self.tokens)
        )
        failure = attempts.report_fault(
            self._dependencies.dispatcher,
            self._dependencies.endpoints,
            route,
            fault,
            self.fingerprint,
            self._first_byte_s is not None,
        )
        if failure.is_quarantined:
            raise attempts.refuse_quarantined()
        return failure.kind

    def _pause(self, kind):
        """Wait before the next attempt, or raise when none is allowed."""
        try:
            decision = self._dependencies.dispatcher.decide_retry(
                max(1, self._sent_attempts),
                kind,
                True,
                self.request.deadline_s,
                self._may_have_run,
            )
        except errors.RefusedError as error:
            raise self._mark_partly_run(error) from error
        self._dependencies.clock.wait(self._stopped, decision.delay_s)

    def _mark_partly_run(self, error):
        """Mark a refusal as partly run when the request may have run."""
        if not self.tokens and not self._may_have_run:
            return error
        refusal = dataclasses.replace(
            error.refusal, ran=errors.ExecutionStatus.PARTLY
        )
        return errors.RefusedError(refusal)

    def _must_migrate(self, route):
        """Return whether the answer cannot finish before the reclaim."""
        reclaim_at_s = self._dependencies.notices.get_reclaim_at(
            route.endpoint_id
        )
        remaining_tokens = self.request.body.max_tokens - len(self.tokens)
        return streams.must_migrate(
            remaining_tokens,
            self._interval_s,
            reclaim_at_s,
            self._dependencies.clock.wall_s(),
        )

    def _choose_next(self, route):
        """Choose an engine that replaces a working one; return if there is.

        Until an engine accepts the answer, the present one goes on.
        """
        now_s = self._dependencies.clock.now_s()
        if now_s < self._next_search_s:
            return False
        self._next_search_s = now_s + MIGRATION_RETRY_S
        try:
            self._next_route = self._dependencies.dispatcher.choose(
                self.request,
                self._excluded | {route.endpoint_id},
                True,
                bool(self.tokens),
            )
        except errors.RefusedError:
            return False
        return True

    def _release_next(self):
        """Release the route of an attempt that has not begun."""
        route, self._next_route = self._next_route, None
        if route is not None:
            self._dependencies.dispatcher.withdraw(route)

    def _import_cache(self, route, attempt_id):
        """Transfer the KV cache of an attempt from a leaving endpoint."""
        if self._cache_source is None:
            return
        source_address, source_id = self._cache_source
        self._cache_source = None
        is_moved = self._dependencies.endpoints.copy_cache(
            source_address, source_id, route.address, attempt_id
        )
        self._dependencies.endpoints.cancel(source_address, source_id)
        if not is_moved:
            self._dependencies.observer.count_recomputed(
                "endpoint_leaving", len(self.tokens)
            )

    def _update_interval(self, last_s, count):
        """Update the smoothed time between tokens; return the time now."""
        now_s = self._dependencies.clock.now_s()
        if count:
            sample_s = (now_s - last_s) / count
            self._interval_s += _INTERVAL_SMOOTHING * (
                sample_s - self._interval_s
            )
        return now_s

    def _check_stopped(self):
        """Raise AnswerMovedError when the relay was stopped."""
        if self._stopped.is_set():
            raise errors.AnswerMovedError

    def _make_attempt_id(self, attempt):
        """Return the id of an attempt, unique across all instances."""
        return f"{self.request.request_id}~{len(self.tokens)}.{attempt}"
