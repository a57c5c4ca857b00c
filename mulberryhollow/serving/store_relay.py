"""Relays what collectors read in the store to the other instances."""

import contextlib
import logging
import math
import threading

from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.protocol import relays
from mulberryhollow.serving import watch
from mulberryhollow.state import change_bounds
from mulberryhollow.state import objects

__all__ = ["StoreRelay"]

ANSWER_AGE_RATIO = 0.6
"""Age of a collector's latest answer above which the store is read directly.

As a ratio of the time in which a change has to take effect; the rest is for
the read.
"""

RELAYED_INTERVAL_S = 0.5
"""Interval between checks whether the relayed objects are recent, in s."""

MALFORMED = events.declare(
    9010,
    logging.WARNING,
    "the stored objects that a peer relayed cannot be decoded",
    "check the version of the peer's program",
)
DIRECT = events.declare(
    9011,
    logging.INFO,
    "a kind of stored objects is read directly from the store",
)
RELAYED = events.declare(
    9012,
    logging.INFO,
    "a kind of stored objects is received through a collector",
)


class StoreRelay:
    """Relays stored objects with the aggregate reports between instances.

    The collectors of a failure domain read the store. The other instances
    ask them for changes, and read the store themselves when the relayed
    state becomes too old. A collector that the store does not answer asks
    the other collectors.

    Parameters
    ----------
    followers : iterable of ObjectFollower
        The kinds that are relayed.
    clock : Clock
        Source of time.
    is_collector : callable
        Returns whether this instance reads the store for others.
    get_bounds : callable
        Returns the ChangeBounds in force.
    is_relayed : callable
        Returns whether instances follow the store through collectors.

    Notes
    -----
    Every instance keeps the objects, so any of them can answer. An answer
    says how long ago the store confirmed the state, whichever way it came.
    """

    def __init__(
        self,
        followers,
        clock,
        is_collector,
        get_bounds=change_bounds.ChangeBounds,
        is_relayed=lambda: True,
    ):
        self._followers = {each.kind: each for each in followers}
        self._clock = clock
        self._is_collector = is_collector
        self._get_bounds = get_bounds
        self._is_relayed = is_relayed
        self._answered_s = dict.fromkeys(self._followers, -math.inf)
        self._relayed_kinds = set()

    def read(self, follower):
        """Read one kind from the store unless it is relayed.

        Returns
        -------
        float or None
            Time until the next call, in seconds; None for the usual one.
        """
        left_s = self._measure_left(follower)
        is_relayed = not self._is_collector() and left_s > 0.0
        if is_relayed != (follower.kind in self._relayed_kinds):
            self._relayed_kinds ^= {follower.kind}
            events.log(RELAYED if is_relayed else DIRECT, kind=follower.kind)
        if is_relayed:
            return min(RELAYED_INTERVAL_S, left_s)
        return follower.read()

    def refresh(self):
        """Start to list each kind that is from before the last known restore.

        A watch of a kind may wait for seconds on a connection that the
        restore has left without an answer.
        """
        for follower in self._followers.values():
            if follower.revision is not None and follower.is_outdated:
                threading.Thread(
                    target=_refresh,
                    args=(follower,),
                    name=f"refresh {follower.kind}",
                    daemon=True,
                ).start()

    def ask(self):
        """Return the revision by kind to ask a collector for."""
        return relays.encode_question(
            {
                kind: follower.revision
                for kind, follower in self._followers.items()
                if not self._is_collector() or not self._is_recent(follower)
            }
        )

    def answer(self, question):
        """Return the relayed kinds for the question of another instance.

        Parameters
        ----------
        question : dict
            Kind to the revision that the other instance has.
        """
        now_s = self._clock.now_s()
        describe = (
            watch.ObjectFollower.describe
            if relays.knows_eras(question)
            else _describe_plainly
        )
        return {
            kind: relays.encode_relayed(
                describe(self._followers[kind], revision), now_s
            )
            for kind, revision in question.items()
            if kind in self._followers
            and self._followers[kind].revision is not None
        }

    def accept(self, answer):
        """Apply the relayed kinds that another instance answered."""
        now_s = self._clock.now_s()
        kinds = answer.keys() & self._followers.keys()
        for kind in kinds:
            try:
                state = relays.decode_relayed(answer[kind], now_s)
            except ValueError as error:
                events.log(MALFORMED, kind=kind, reason=str(error))
                continue
            if self._followers[kind].accept(state):
                self._answered_s[kind] = now_s
        for kind in kinds:
            self._followers[kind].report_era()

    def list_counts(self):
        """Return the values of this relay's counters by name."""
        return {
            f"store_history_lost.{kind}": follower.reads.lost_count
            for kind, follower in self._followers.items()
        }

    def list_gauges(self):
        """Return the age of the last own read of each kind by name."""
        now_s = self._clock.now_s()
        return {
            f"store_read_age_seconds.{kind}": now_s - follower.reads.answered_s
            for kind, follower in self._followers.items()
            if follower.reads.answered_s is not None
        }

    def _measure_left(self, follower):
        """Return the time until a kind is read directly, in seconds.

        It is not read as long as collectors answer that the store answers.
        """
        max_age_s = ANSWER_AGE_RATIO * self._get_bounds().change_s
        age_s = self._clock.now_s() - self._answered_s[follower.kind]
        return min(max_age_s - age_s, self._measure_contact_left(follower))

    def _measure_contact_left(self, follower):
        """Return the time until the state of a kind is too old, in seconds."""
        if follower.revision is None or follower.is_outdated:
            return -math.inf
        max_age_s = self._get_bounds().get_max_contact_age(self._is_relayed())
        age_s = self._clock.now_s() - follower.last_contact_s
        return max_age_s - age_s

    def _is_recent(self, follower):
        """Return whether the store confirmed a kind's state recently."""
        return self._measure_contact_left(follower) >= 0.0


def _describe_plainly(follower, revision):
    """Return what a follower knows, for a reader whose build has no eras."""
    if revision is not None:
        era = objects.get_era(follower.revision)
        revision = objects.make_version(era, objects.get_revision(revision))
    return relays.remove_eras(follower.describe(revision))


def _refresh(follower):
    """List one kind again; its loop repeats and logs what fails."""
    with contextlib.suppress(errors.MulberryError):
        follower.refresh()
