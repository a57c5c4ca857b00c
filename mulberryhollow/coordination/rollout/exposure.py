"""Limit on the requests that a bad version of a service may get."""

import collections

import attrs
from attrs import validators

__all__ = ["ExposureLimit", "Meter", "Usage"]

COUNTERS_DELAY_S = 1.0
"""Time until a request shows in the merged counters, in seconds."""

RATE_WINDOW_S = 4.0
"""Time over which the present request rate is measured, in seconds."""

MIN_SAMPLE_S = 1.0
"""Minimum time over which a request rate is measured, in seconds."""

LATE_S = 2.0
"""Time from the creation of a move after which a node begins late, in
seconds."""

SETTLE_S = 1.5
"""Time after which a node that begins late has the counters of its peers, in
seconds."""


@attrs.frozen
class ExposureLimit:
    """Limit on the requests that a bad version may get during a move.

    Parameters
    ----------
    share : float
        Share of the service's requests from the start of the move to its
        deadline, 0 to 1.
    slack : float
        Requests beyond that share.
    rollback_s : float
        Time within which a version that fails gets no more requests, in
        seconds.
    """

    share: float = attrs.field(validator=[validators.ge(0), validators.le(1)])
    slack: float = attrs.field(validator=validators.ge(0))
    rollback_s: float = attrs.field(validator=validators.gt(0))

    def compute_allowance(self, requests):
        """Return the requests that a bad version may get, of a number."""
        return self.share * requests + self.slack


@attrs.frozen
class Usage:
    """Requests of a service during its move, by the merged counters.

    Parameters
    ----------
    exposed : float
        Requests that the new version has got, with those that the counters
        do not show yet.
    expected : float
        Requests of both versions from the start of the move to its deadline;
        a low estimate.
    requests_per_s : float
        Request rate of both versions, in requests a second; a high estimate.
        It is 0 as long as the rate is unknown.
    """

    exposed: float
    expected: float
    requests_per_s: float


class Meter:
    """Measures the use of a move's exposure limit.

    Parameters
    ----------
    move : Move
        The move when it is first seen.
    now_s : float
        Current time, in Unix seconds.

    Notes
    -----
    The rate is measured over the move so far and over the last seconds; the
    lower one counts for the requests to come, the higher one for the share.
    A node that begins in the middle of a move first waits for the counters
    of its peers, which would otherwise count as requests of one moment, and
    estimates the requests before by the same rate. The counters are those of
    this move: they begin with it.
    """

    def __init__(self, move, now_s):
        is_late = now_s - move.created_s > LATE_S
        self._begin_s = now_s + SETTLE_S if is_late else now_s
        self._missed_s = self._begin_s - move.created_s if is_late else 0.0
        self._samples = collections.deque()
        self._first = None
        self.usage = Usage(0.0, 0.0, 0.0)

    def update(self, move, counters, now_s):
        """Take the counters of this moment and return the `Usage`."""
        new, old = (
            counters.total(move.service, version).started
            for version in (move.to_version, move.from_version)
        )
        if now_s >= self._begin_s:
            self._add_sample(now_s, new + old)
        rates = self._list_rates()
        lowest, highest = min(rates, default=0.0), max(rates, default=0.0)
        counted = self._samples[-1][1] - self._first[1] if rates else 0
        remaining_s = max(0.0, move.deadline_s - now_s)
        self.usage = Usage(
            new + move.share * highest * COUNTERS_DELAY_S,
            counted + lowest * (self._missed_s + remaining_s),
            highest,
        )
        return self.usage

    def _add_sample(self, now_s, started):
        """Add a sample and drop those before the last seconds."""
        sample = now_s, started
        self._first = self._first or sample
        self._samples.append(sample)
        while self._samples[0][0] < now_s - RATE_WINDOW_S:
            self._samples.popleft()

    def _list_rates(self):
        """Return the rates since the start and over the last seconds."""
        if not self._samples:
            return []
        at_s, started = self._samples[-1]
        return [
            (started - since[1]) / (at_s - since[0])
            for since in (self._first, self._samples[0])
            if at_s - since[0] >= MIN_SAMPLE_S
        ]
