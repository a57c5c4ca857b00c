"""An instance that follows the endpoints while its path to the store is cut.

Time passes on a paused clock only where a call takes time or a loop waits.
"""

import itertools
import json
from unittest import mock

import attrs

from mulberryhollow import clock as clocks
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.platform import daemon
from mulberryhollow.platform import records
from mulberryhollow.serving import fleet_watcher
from mulberryhollow.serving import pollers
from mulberryhollow.serving import watch
from mulberryhollow.state import objects
from tests import leaving_fleet

ANSWER_S = 0.004
"""Time that the store takes for an answer, in seconds."""

STEP_S = 0.01
"""Longest time that passes at once, in seconds."""


@attrs.frozen
class Cut:
    """Span in which calls of the instance are not answered, in seconds.

    A connection on which a call waits at its beginning stays silent for good.
    """

    start_s: float
    end_s: float

    def covers(self, at_s):
        return self.start_s <= at_s < self.end_s


def make_entry(name, revision, state="ready", is_deleted=False):
    """Return the stored entry of an endpoint."""
    fields = leaving_fleet.FIELDS | {"state": state}
    return objects.StoredObject(
        "servers", name, revision, json.dumps(fields).encode(), "", is_deleted
    )


class Store:
    """The store as one instance reaches it, with two endpoints e1 and e2."""

    era = None

    def __init__(self, site, cut):
        self._site = site
        self._cut = cut
        self.changes = []

    def list_objects(self, kind):
        self._begin()
        left = {each.name for _, each in self._list_changes(0)}
        items = [make_entry(e, 1) for e in ("e1", "e2") if e not in left]
        items += [
            each for _, each in self._list_changes(0) if not each.is_deleted
        ]
        return self._get_revision(), items

    def watch(self, kind, after, wait_s):
        self._begin()
        end_s = self._site.clock.now_s() + wait_s
        while not (found := self._list_changes(after)):
            now_s = self._site.clock.now_s()
            if self._cut.covers(now_s):
                # The answer, which comes in time, is lost.
                self._fail(end_s + daemon.STORE_TIMEOUT_S - now_s)
            if now_s >= end_s:
                break
            self._site.advance(min(STEP_S, end_s - now_s))
        return self._get_revision(), [each for _, each in found]

    def _list_changes(self, after):
        now_s = self._site.clock.now_s()
        return [
            (at_s, each)
            for at_s, each in self.changes
            if at_s <= now_s and each.version > after
        ]

    def _get_revision(self):
        return max((e.version for _, e in self._list_changes(0)), default=1)

    def _begin(self):
        if self._cut.covers(self._site.clock.now_s()):
            self._fail(daemon.STORE_TIMEOUT_S)
        self._site.advance(ANSWER_S)

    def _fail(self, after_s):
        self._site.advance(after_s)
        raise errors.StoreUnavailableError("no answer", "wait")


class Site:
    """The instance, its loops and its store.

    Parameters
    ----------
    bounds : ChangeBounds
        Bounds in force.
    cut : Cut
        When the store does not answer, in seconds from now.
    phase_s : float
        Time at which the loop that drops expired entries begins, in seconds.
    """

    def __init__(self, bounds, cut, phase_s=0.0):
        self.clock = clocks.ManualClock()
        self.start_s = self.clock.now_s()
        self.cut = Cut(self.start_s + cut.start_s, self.start_s + cut.end_s)
        self.store = Store(self, self.cut)
        self._expiry_s = self.start_s + phase_s
        self.last_used_s = self.start_s
        self.watcher = fleet_watcher.FleetWatcher(
            records.decode_listing, mock.Mock(), self.clock, mock.Mock()
        )
        self.follower = make_follower(
            self.store, self.clock, self.watcher, bounds
        )

    def leave(self, at_s, state):
        """Let e1 leave at a time, by its entry's state or its removal."""
        entry = make_entry("e1", 2, state, is_deleted=state == "removed")
        self.store.changes.append((self.start_s + at_s, entry))

    def advance(self, by_s):
        """Let time pass; drop expired entries and see whether e1 is used."""
        end_s = self.clock.now_s() + by_s
        while self._expiry_s <= end_s:
            self.clock.advance(max(0.0, self._expiry_s - self.clock.now_s()))
            self.watcher.expire(self.follower.last_contact_s)
            self._expiry_s += daemon.EXPIRY_INTERVAL_S
            self._observe()
        self.clock.advance(max(0.0, end_s - self.clock.now_s()))
        self._observe()

    def run(self, until_s):
        """Follow the endpoints in the loop of the daemon."""
        loop = pollers.Loop(
            "endpoints",
            self.clock,
            daemon.FOLLOW_INTERVAL_S,
            self.follower.read,
            daemon.MAX_FOLLOW_INTERVAL_S,
        )
        while self.clock.now_s() < self.start_s + until_s:
            self.advance(loop.call_once())

    def _observe(self):
        used = {
            each.identity
            for each in self.watcher.listings
            if not each.is_leaving
        }
        if "e1" in used:
            self.last_used_s = self.clock.now_s()


def make_follower(store, clock, watcher, bounds):
    """Return the ObjectFollower of the endpoints, as the daemon makes it."""
    return watch.ObjectFollower(
        store, "servers", clock, watcher, lambda: bounds
    )


@mock.patch.object(events, "log", new=mock.Mock())
def measure_uses_after_cut(bounds, length_s, state, phases, after_s=None):
    """Return how long e1 is used after a cut around whose end it leaves.

    Parameters
    ----------
    bounds : ChangeBounds
        Bounds in force.
    length_s : float
        Length of the cut, in seconds.
    state : str
        Word in the entry of e1, or ``removed``.
    phases : int
        Number of beginnings of the cut, over the time of three watches.
    after_s : float or None
        Time from the end of the cut until the end of e1 is confirmed, in
        seconds; None for so soon that only the time until the instance counts
        as in touch is left.

    Returns
    -------
    list of float
        Time of each phase, in seconds.
    """
    if after_s is None:
        after_s = 0.8 * (bounds.contact_s - bounds.drain_s)
    starts_s = [0.5 + 9.0 * phase / phases for phase in range(phases)]
    expiry_phases_s = itertools.cycle([0.0, 0.05, 0.1, 0.15, 0.2])
    return [
        _measure_use(
            Site(bounds, Cut(start_s, start_s + length_s), expiry_s),
            start_s + length_s + after_s,
            state,
            start_s + length_s + 2.0 * bounds.contact_s,
        )
        for start_s, expiry_s in zip(starts_s, expiry_phases_s, strict=False)
    ]


def _measure_use(site, leave_s, state, until_s):
    """Return how long e1, which leaves at a time, is used after the cut."""
    site.leave(leave_s, state)
    site.run(until_s)
    return site.last_used_s - site.cut.end_s
