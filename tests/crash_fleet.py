"""Crash records of many instances, with facts that take time to spread."""

import collections
import heapq
import itertools
import random
import types

import attrs

from mulberryhollow.serving.dispatch import crash_records

GOSSIP_S = 1.0
"""Time until a fact has reached all instances, in seconds."""

DOWN_S = 4.5
LONG_ANSWER_S = 8.0
LOOK_UP_S = 0.1


@attrs.define
class Answer:
    """An answer under way: its request, and where it is."""

    fingerprint: str
    instance: int
    endpoint: int
    ends_s: float

    @property
    def is_answering(self):
        """Whether a part of it was received; a look-up comes at once."""
        return self.fingerprint != "look-up"


class CrashFleet:
    """Instances that judge the requests at endpoints that crash.

    Parameters
    ----------
    count, endpoints : int
        Number of instances and of endpoints.
    others : int
        Number of long answers at each endpoint at a time.
    """

    def __init__(self, count, endpoints, others):
        self.now_s = 0.0
        self.tells_load = True
        self.records = [crash_records.CrashRecords() for _ in range(count)]
        self.at_crash = set()
        self.crashes = 0
        self._rng = random.Random(7)
        self._endpoints = endpoints
        self._back_s = collections.Counter()
        self._numbers = itertools.count()
        self._events = []
        self._answers = []
        for endpoint, _ in itertools.product(range(endpoints), range(others)):
            self._begin(f"other{next(self._numbers)}", endpoint)

    def list_up(self):
        """Return the endpoints that are up."""
        return [
            endpoint
            for endpoint in range(self._endpoints)
            if self._back_s[endpoint] <= self.now_s
        ]

    def run_until(self, end_s):
        """Handle what happens until a time."""
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, apply = heapq.heappop(self._events)
            apply()
        self.now_s = end_s

    def is_refused(self, instance, fingerprint):
        """Return whether an instance refuses a request."""
        return self.records[instance].check(fingerprint) is not None

    def send_deadly(self, instance, is_answering):
        """Send a request that crashes its endpoint; return if it was sent."""
        if self.is_refused(instance, "deadly"):
            return False
        endpoint = self._rng.choice(self.list_up())
        self.crash(endpoint, [("deadly", instance, is_answering)])
        return True

    def look_up(self):
        """Send one of equal look-ups; return whether it was accepted."""
        instance = self._rng.randrange(len(self.records))
        if self.is_refused(instance, "look-up"):
            return False
        up = self.list_up()
        if up:
            self._begin("look-up", self._rng.choice(up), instance)
        return True

    def crash(self, endpoint, also=()):
        """Crash an endpoint with its answers and further requests."""
        self.crashes += 1
        lost = [each for each in self._answers if each.endpoint == endpoint]
        for each in lost:
            self._answers.remove(each)
        self._back_s[endpoint] = self.now_s + DOWN_S
        process = f"e{endpoint}-{self.crashes}"
        running = [
            *also,
            *(
                (each.fingerprint, each.instance, each.is_answering)
                for each in lost
            ),
        ]
        load = collections.Counter(instance for _, instance, _ in running)
        for fingerprint, instance, is_answering in running:
            known = load.total() if self.tells_load else load[instance]
            self._attribute(
                instance, fingerprint, process, is_answering, known - 1
            )
        for each in lost:
            if each.fingerprint.startswith("other"):
                self.at_crash.add(each.fingerprint)
                self._send_again(each.fingerprint)

    def _send_again(self, fingerprint):
        """Send a request that was at a crash to any instance once more."""
        instance = self._rng.randrange(len(self.records))
        if not self.is_refused(instance, fingerprint):
            endpoint = self._rng.choice(self.list_up())
            self._begin(fingerprint, endpoint, instance)

    def _attribute(self, instance, fingerprint, process, is_answering, others):
        """Let an instance judge a crash, and tell the others."""
        verdict = self.records[instance].attribute(
            crash_records.Crash(process, fingerprint, is_answering, ()),
            types.SimpleNamespace(is_leaving=False, load=float(others)),
            self.now_s,
        )
        if verdict.crash is not None:
            self._spread(verdict.crash)

    def _spread(self, fact):
        """Tell all instances a fact after some time."""

        def merge():
            for each in self.records:
                each.quarantine.merge([fact])

        self._at(self.now_s + GOSSIP_S, merge)

    def _begin(self, fingerprint, endpoint, instance=None):
        """Begin an answer, which ends after its time unless it is lost."""
        if instance is None:
            instance = self._rng.randrange(len(self.records))
        length_s = LONG_ANSWER_S
        if fingerprint == "look-up":
            length_s = LOOK_UP_S
        ends_s = self.now_s + length_s * (0.5 + 0.5 * self._rng.random())
        answer = Answer(fingerprint, instance, endpoint, ends_s)
        self._answers.append(answer)
        self._at(ends_s, lambda: self._end(answer))

    def _end(self, answer):
        """Complete an answer; another request takes its place."""
        if answer not in self._answers:
            return
        self._answers.remove(answer)
        self.records[answer.instance].record_completed(
            answer.fingerprint, self.now_s, self._spread
        )
        if answer.fingerprint.startswith("other"):
            fingerprint = f"other{next(self._numbers)}"
            self._begin(fingerprint, answer.endpoint)

    def _at(self, at_s, apply):
        """Call a function at a time."""
        heapq.heappush(self._events, (at_s, next(self._numbers), apply))

    def count_refused(self):
        """Return how many other requests at a crash any instance refuses."""
        return sum(
            any(each.check(fingerprint) is not None for each in self.records)
            for fingerprint in self.at_crash
        )
