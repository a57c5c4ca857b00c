"""Checks of the system's invariants over a recorded history."""

import collections
import itertools
import math

import attrs

from tools.history import expected
from tools.history import record

__all__ = ["Violation", "check"]

# Time in which entries stop sending to a leaving endpoint or to a version
# that was rolled back.
_STOP_SENDING_LIMIT_S = 3.0
# Time in which instances activate an accepted configuration version.
_ACTIVATION_LIMIT_S = 7.0
# Longest time between two readings of an instance that answers continuously.
_MAX_READING_GAP_S = 2.0
_MAX_CRASHES_PER_REQUEST = 2
# A call may be lost if sent up to this long after its entry instance ended.
_LOSS_ALLOWED_AFTER_END_S = 15.0
_NOT_RUN = "not run"
_EXECUTION_STATUSES = (_NOT_RUN, "outcome unknown", "partly run")
_FINAL_STATES = ("done", "rolled_back")


@attrs.frozen
class Violation:
    """One violation of an invariant.

    Parameters
    ----------
    rule : str
        Name of the invariant.
    message : str
        Which events violate the invariant.
    """

    rule: str
    message: str


@attrs.frozen
class _History:
    """Events in order of time, with access by type and by call.

    Parameters
    ----------
    events : list
        Events, sorted by time.
    versions : tuple of str
        Versions that may have answered where an answer names none.
    """

    events: list
    versions: tuple

    def list_events_of(self, event_type):
        """Return the events of a type, in order of time."""
        return [
            event for event in self.events if isinstance(event, event_type)
        ]

    def list_runs(self):
        """Return the ledger entries of requests that ran."""
        steps = self.list_events_of(record.EndpointStep)
        return [step for step in steps if step.step == "ran"]

    def list_calls(self):
        """Return pairs of Sent and Answered, or None for a missing answer."""
        answers = {
            answer.call: answer
            for answer in self.list_events_of(record.Answered)
        }
        return [
            (sent, answers.get(sent.call))
            for sent in self.list_events_of(record.Sent)
        ]

    def list_answered(self, outcome):
        """Return the pairs of Sent and Answered with an outcome."""
        return [
            (sent, answer)
            for sent, answer in self.list_calls()
            if answer and answer.outcome == outcome
        ]


def check(events, versions=("1",)):
    """Return every violation in a history.

    Parameters
    ----------
    events : list
        Events of ``tools.history.record``, in any order.
    versions : tuple of str
        Versions that may have answered where an answer names none.

    Returns
    -------
    list of Violation
        Empty when every invariant holds.
    """
    ordered = sorted(events, key=lambda event: event.at_s)
    history = _History(ordered, tuple(versions))
    checks = (
        _check_every_call_ended,
        _check_typed_answers,
        _check_lost_calls,
        _check_bookings_run_once,
        _check_booking_answers,
        _check_not_run,
        _check_request_ids,
        _check_complete_answers,
        _check_leaving_endpoints,
        _check_configuration_order,
        _check_configuration_in_time,
        _check_store_revisions,
        _check_moves,
        _check_rolled_back,
        _check_planned_stops,
        _check_crashes,
    )
    violations = (each(history) for each in checks)
    return list(itertools.chain.from_iterable(violations))


def _check_every_call_ended(history):
    """Check that each call that was sent has an answer or a failure."""
    return [
        Violation("every call ends", f"{sent.call} has no end")
        for sent, answer in history.list_calls()
        if answer is None
    ]


def _check_typed_answers(history):
    """Check that answers are typed and refusals state the execution status."""
    malformed = history.list_answered("malformed")
    untyped = [
        (sent, answer)
        for sent, answer in history.list_answered("refused")
        if answer.ran not in _EXECUTION_STATUSES
    ]
    return [
        Violation(
            "typed answer",
            f"{sent.call} got {answer.outcome} {answer.detail}"
            f" {answer.ran!r} from {sent.entry}",
        )
        for sent, answer in malformed + untyped
    ]


def _check_lost_calls(history):
    """Check that calls are lost only at entry instances that ended.

    The end must come while the call is open or at most
    `_LOSS_ALLOWED_AFTER_END_S` before the call is sent.
    """
    ends = history.list_events_of(record.Killed) + history.list_events_of(
        record.StopPlanned
    )
    return [
        Violation(
            "no loss",
            f"{sent.call} was lost at {sent.entry}, which had not ended"
            f" ({answer.detail})",
        )
        for sent, answer in history.list_answered("lost")
        if not any(
            end.instance == sent.entry
            and sent.at_s - _LOSS_ALLOWED_AFTER_END_S < end.at_s < answer.at_s
            for end in ends
        )
    ]


def _group_runs_by_key(history):
    """Return the booking runs by idempotency key."""
    runs = collections.defaultdict(list)
    for run in history.list_runs():
        if run.kind == "booking":
            runs[run.key].append(run)
    return runs


def _check_bookings_run_once(history):
    """Check that each idempotency key ran at most once on all endpoints."""
    return [
        Violation(
            "at most once",
            f"key {key} ran {len(runs)} times, at "
            + ", ".join(f"{run.endpoint} as {run.request_id}" for run in runs),
        )
        for key, runs in _group_runs_by_key(history).items()
        if len(runs) > 1
    ]


def _check_booking_answers(history):
    """Check that each successful booking names a run of its key and slot."""
    runs = _group_runs_by_key(history)
    return [
        Violation(
            "booking as asked",
            f"{sent.call} with key {sent.key} was answered"
            f" {answer.content}, which is no run of it",
        )
        for sent, answer in history.list_answered("done")
        if sent.kind == "booking"
        and (answer.content, sent.text)
        not in {(run.booking_id, run.slot) for run in runs[sent.key]}
    ]


def _check_not_run(history):
    """Check that a request that was refused as "not run" did not run.

    No run may have its request id, and no run may have its idempotency key
    and be earlier than the refusal.
    """
    ran_ids = {run.request_id for run in history.list_runs()}
    first_run_s = {
        key: min(run.at_s for run in runs)
        for key, runs in _group_runs_by_key(history).items()
    }
    refused = [
        (sent, answer)
        for sent, answer in history.list_answered("refused")
        if answer.ran == _NOT_RUN
    ]
    by_id = [
        Violation(
            "not run",
            f"{sent.call} was refused as not run ({answer.detail}),"
            f" but request {answer.request_id} ran",
        )
        for sent, answer in refused
        if answer.request_id
        and any(_is_attempt(ran_id, answer.request_id) for ran_id in ran_ids)
    ]
    by_key = [
        Violation(
            "not run after a send",
            f"{sent.call} was refused as not run ({answer.detail}),"
            f" but key {sent.key} ran before",
        )
        for sent, answer in refused
        if sent.key and first_run_s.get(sent.key, answer.at_s) < answer.at_s
    ]
    return by_id + by_key


def _is_attempt(attempt_id, request_id):
    """Return whether an id is that of a request or of an attempt at it."""
    rest = attempt_id.removeprefix(request_id)
    return rest != attempt_id and not rest[:1].isalnum()


def _check_request_ids(history):
    """Check that calls share a request id only if they share a key."""
    owners = collections.defaultdict(set)
    for sent, answer in history.list_calls():
        if answer and answer.request_id:
            owners[answer.request_id].add(sent.key or sent.call)
    return [
        Violation(
            "own answer", f"request id {request_id} is shared by {calls}"
        )
        for request_id, calls in owners.items()
        if len(calls) > 1
    ]


def _check_complete_answers(history):
    """Check that each answer is complete and belongs to its request."""
    return [
        Violation(
            "whole answer",
            f"{sent.call} ({sent.kind}) was answered {answer.content[:80]!r}"
            f" with {answer.tokens} of {sent.max_tokens} tokens",
        )
        for sent, answer in history.list_answered("done")
        if sent.kind != "booking" and not _is_complete(history, sent, answer)
    ]


def _is_complete(history, sent, answer):
    """Return whether an answer is the complete answer of a version."""
    versions = (answer.version,) if answer.version else history.versions
    if sent.kind == "lookup":
        wanted = {
            expected.make_result(version, sent.text) for version in versions
        }
        return answer.content in wanted
    wanted = {
        expected.make_text(version, sent.text, sent.max_tokens)
        for version in versions
    }
    return answer.content in wanted and answer.tokens == sent.max_tokens


def _check_leaving_endpoints(history):
    """Check that no request arrives at an endpoint long after its notice."""
    notice_s = {}
    for notice in history.list_events_of(record.LeavingNotice):
        for endpoint in notice.endpoints:
            notice_s.setdefault(endpoint, notice.at_s)
    return [
        Violation(
            "leaving endpoint",
            f"{step.endpoint} accepted {step.request_id}"
            f" {step.at_s - notice_s[step.endpoint]:.2f} s after its notice",
        )
        for step in history.list_events_of(record.EndpointStep)
        if step.step == "arrived"
        and step.endpoint in notice_s
        and step.at_s > notice_s[step.endpoint] + _STOP_SENDING_LIMIT_S
    ]


def _check_configuration_order(history):
    """Check that no instance returns to a lower configuration version."""
    seen = collections.defaultdict(list)
    for event in history.list_events_of(record.ConfigurationSeen):
        seen[event.instance, event.environment].append(event.version)
    return [
        Violation(
            "configuration",
            f"{instance} went from version {before} of {environment}"
            f" back to {after}",
        )
        for (instance, environment), versions in seen.items()
        for before, after in itertools.pairwise(versions)
        if after < before
    ]


def _check_configuration_in_time(history):
    """Check that answering instances soon activate an accepted version."""
    published = history.list_events_of(record.Published)
    return [
        Violation(
            "configuration in time",
            f"{event.instance} had version {event.version} active"
            f" {event.at_s - newer.at_s:.2f} s after {newer.version} was"
            " accepted",
        )
        for event, answering_since_s in _list_readings(history)
        for newer in published
        if newer.environment == event.environment
        and newer.version > event.version
        and event.at_s
        > max(newer.at_s, answering_since_s) + _ACTIVATION_LIMIT_S
    ]


def _list_readings(history):
    """Return each reading with the time since when its instance answers.

    A gap of more than `_MAX_READING_GAP_S` between two readings starts a
    new period.
    """
    seen = []
    last_s, answering_since_s = {}, {}
    for event in history.list_events_of(record.ConfigurationSeen):
        name = event.instance
        if event.at_s - last_s.get(name, -math.inf) > _MAX_READING_GAP_S:
            answering_since_s[name] = event.at_s
        last_s[name] = event.at_s
        seen.append((event, answering_since_s[name]))
    return seen


def _check_store_revisions(history):
    """Check that the revision of each object never decreases."""
    seen = collections.defaultdict(list)
    for event in history.list_events_of(record.StoreRevision):
        seen[event.kind, event.name].append(event.revision)
    return [
        Violation(
            "store revision",
            f"{kind}/{name} went from revision {before} back to {after}",
        )
        for (kind, name), revisions in seen.items()
        for before, after in itertools.pairwise(revisions)
        if after < before
    ]


def _check_moves(history):
    """Check that each move ends by its deadline, in one final state."""
    moves = collections.defaultdict(list)
    for event in history.list_events_of(record.MoveSeen):
        moves[event.move].append(event)
    end_s = history.events[-1].at_s if history.events else 0.0
    violations = (
        _check_move(move, seen, end_s) for move, seen in moves.items()
    )
    return list(itertools.chain.from_iterable(violations))


def _check_move(move, seen, end_s):
    """Yield the violations of one move in a history up to a time."""
    final = next((e for e in seen if e.state in _FINAL_STATES), None)
    ended_s = end_s if final is None else final.at_s
    if ended_s > seen[0].deadline_s:
        yield Violation("move ends", f"{move} had not ended by its deadline")
    if final is None:
        return
    for event in seen[seen.index(final) :]:
        if event.state != final.state:
            yield Violation(
                "move ends",
                f"{move} ended as {final.state}, then was {event.state}",
            )


def _check_rolled_back(history):
    """Check that no request goes to a version long after its rollback."""
    ends = [
        event
        for event in history.list_events_of(record.MoveSeen)
        if event.state == "rolled_back" and event.to_version
    ]
    return [
        Violation(
            "taken back",
            f"{sent.call} was answered by {answer.version}"
            f" {sent.at_s - end.at_s:.2f} s after {end.move} was rolled back",
        )
        for sent, answer in history.list_answered("done")
        for end in ends
        if answer.version == end.to_version
        and sent.at_s > end.at_s + _STOP_SENDING_LIMIT_S
    ]


def _check_planned_stops(history):
    """Check that a planned stop loses no call that was sent before.

    Calls that are lost after the instance was killed do not count.
    """
    killed_s = {}
    for event in history.list_events_of(record.Killed):
        killed_s.setdefault(event.instance, event.at_s)
    stops = history.list_events_of(record.StopPlanned)
    return [
        Violation(
            "planned stop",
            f"{sent.call} was lost in the planned stop of {stop.instance}"
            f" ({answer.detail})",
        )
        for sent, answer in history.list_answered("lost")
        for stop in stops
        if sent.entry == stop.instance
        and sent.at_s < stop.at_s < answer.at_s
        and killed_s.get(stop.instance, answer.at_s) >= answer.at_s
    ]


def _check_crashes(history):
    """Check that no request crashes more endpoints than allowed."""
    crashes = collections.Counter(
        event.text for event in history.list_events_of(record.Crashed)
    )
    return [
        Violation("quarantine", f"{text!r} crashed {count} endpoints")
        for text, count in crashes.items()
        if count > _MAX_CRASHES_PER_REQUEST
    ]
