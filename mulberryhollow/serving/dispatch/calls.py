"""Calls of request threads into the dispatcher's actor."""

import attrs

from mulberryhollow import errors

__all__ = ["ActorCalls", "Change", "Query"]


@attrs.frozen
class Change:
    """A function that changes the actor's state; its caller does not wait."""

    apply: object


@attrs.frozen
class Query:
    """A function whose result the caller waits for."""

    apply: object


class ActorCalls:
    """Thread-safe calls into a running DispatchActor.

    Parameters
    ----------
    actor : pykka.ActorRef
        A running DispatchActor.
    clock : Clock
        Source of time, the same as the actor's.
    """

    def __init__(self, actor, clock):
        self._actor = actor
        self._clock = clock

    def change(self, apply):
        """Run a function of (actor, now_s) in the actor, without waiting."""
        self._actor.tell(Change(apply))

    def read(self, query):
        """Run a function of (actor, now_s) in the actor; return its result."""
        return self._actor.ask(Query(query))

    def _ask(self, message):
        """Return the actor's answer; raise RefusedError for a Refusal."""
        answer = self._actor.ask(message)
        if isinstance(answer, errors.Refusal):
            raise errors.RefusedError(answer)
        return answer

    def _to_monotonic(self, wall_s):
        """Convert a wall-clock time to monotonic time, in seconds."""
        return wall_s - self._clock.wall_s() + self._clock.now_s()
