"""Counts of begun requests, told to the peers and reported once."""

import json
import logging
import threading

import attrs

from mulberryhollow.coordination.duties import WINDOWS_TOLD
from mulberryhollow import events
from mulberryhollow.state import objects
from mulberryhollow.transport import store as store_adapter

__all__ = ["UsageBook", "UsageReporter"]

KIND = "duty"
"""Kind of the objects that belong to duties."""

NAME = "usage"
"""Name of the object that holds the latest report."""

SETTLE_PART = 0.4
"""Part of the time until a report is due that is waited for peers."""

HEAR_S = 1.5
"""Time after the duty was taken in which counts are heard first, in s.

Three rounds of the sums, which bring what the peers have counted.
"""

REPORTS_AT_ONCE = 4
"""Windows that one look reports at most."""

REPORTED = events.declare(
    8101, logging.INFO, "the usage of a window was reported"
)
REPORT_FAILED = events.declare(
    8102,
    logging.WARNING,
    "the usage of a window could not be reported; it is tried again",
    "look at the platform's API and store when it repeats",
)
COUNTS_UNREADABLE = events.declare(
    8103,
    logging.WARNING,
    "the usage counts that a peer told cannot be read",
    "look at the version of the peer's program",
)


class UsageBook:
    """A UsageLedger that every thread may use.

    Parameters
    ----------
    ledger : UsageLedger
        Where the counts are kept.
    wall : SteadyWall
        Source of the time of day.
    """

    def __init__(self, ledger, wall):
        self._ledger = ledger
        self._wall = wall
        self._lock = threading.Lock()

    def record_usage(self, account):
        """Count a request that an endpoint has begun to run."""
        if account:
            with self._lock:
                self._ledger.record(account, self._wall.wall_s())

    def encode_own(self):
        """Return the counts of this process, for its collector."""
        with self._lock:
            return [self._ledger.encode(self._wall.wall_s())]

    def encode_all(self, windows=WINDOWS_TOLD):
        """Return the counts of every source that is known.

        Parameters
        ----------
        windows : int
            Latest windows that are told.
        """
        wall_s = self._wall.wall_s()
        with self._lock:
            return [
                self._ledger.encode(wall_s, source, windows)
                for source in self._ledger.list_sources(wall_s, windows)
            ]

    def merge(self, data):
        """Take over what a peer tells."""
        try:
            with self._lock:
                self._ledger.merge(data)
        except ValueError as error:
            events.log(COUNTS_UNREADABLE, reason=str(error))

    def total(self, window):
        """Return the requests of each account that began in a window."""
        with self._lock:
            return self._ledger.total(window)

    def find_window(self):
        """Return the number of the present window."""
        return self._ledger.find_window(self._wall.wall_s())

    def find_age(self, window):
        """Return the time since the end of a window, in seconds."""
        return self._wall.wall_s() - self._ledger.find_end(window)


@attrs.frozen
class _Report:
    """What is said of one window, whoever says it."""

    window: int
    counts: dict

    def encode(self):
        """Return it as the content of the object."""
        return json.dumps(attrs.asdict(self), sort_keys=True).encode()

    @classmethod
    def decode(cls, value):
        """Return the report that an object holds; None if unreadable."""
        try:
            return cls(**json.loads(value))
        except (ValueError, TypeError):
            return None


class UsageReporter:
    """Reports each window once, with the same counts whoever sends it.

    Parameters
    ----------
    book : UsageBook
        The counts.
    store : StoreClient
        Keeps the latest report before it is sent.
    cloud : object
        ``report_usage(fence, window, counts)`` sends a report.
    clock : Clock
        Source of time.
    delay_s : float
        Time after its end by which a window is due, in seconds.

    Notes
    -----
    What a report will say is written to the store under a condition
    before it is sent. A successor begins by sending that again, byte for
    byte, and goes on with the next window.
    """

    def __init__(self, book, store, cloud, clock, delay_s):
        self._book = book
        self._store = store
        self._cloud = cloud
        self._clock = clock
        self._delay_s = delay_s
        self._begun_s = float("-inf")
        self._forget()

    def begin(self):
        """Take the duty on, whatever another instance has done meanwhile."""
        self._begun_s = self._clock.now_s()
        self._forget()

    def _forget(self):
        """Forget what was stored and sent, to read it again."""
        self._version = None
        self._pending = None
        self._last = None

    def work(self, fence, is_held):
        """Send what is due.

        Parameters
        ----------
        fence : int
            Fencing number of the holder.
        is_held : callable
            Whether this instance still is the holder.
        """
        if self._clock.now_s() - self._begun_s < HEAR_S:
            return
        if self._version is None:
            self._load()
        for _ in range(REPORTS_AT_ONCE):
            if self._pending is None and not self._prepare():
                return
            if not (is_held() and self._send(fence)):
                return

    def _load(self):
        """Read the latest report, which may not have been sent."""
        found = self._store.get(KIND, NAME)
        self._version = found.version if found else 0
        self._pending = _Report.decode(found.value) if found else None
        if self._pending is None:
            self._last = self._book.find_window() - 1

    def _prepare(self):
        """Write what the next window's report will say."""
        window = self._last + 1
        if self._book.find_age(window) < SETTLE_PART * self._delay_s:
            return False
        report = _Report(window, self._book.total(window))
        outcome = store_adapter.put_settled(
            self._store, KIND, NAME, report.encode(), self._version
        )
        match outcome:
            case objects.Done(version):
                self._version = version
                self._pending = report
                return True
        events.log(REPORT_FAILED, window=window, reason=str(outcome))
        self._forget()
        return False

    def _send(self, fence):
        """Send the pending report; return whether it was taken."""
        report = self._pending
        outcome = self._cloud.report_usage(fence, report.window, report.counts)
        if not isinstance(outcome, objects.Done):
            events.log(
                REPORT_FAILED, window=report.window, reason=str(outcome)
            )
            return False
        events.log(
            REPORTED,
            window=report.window,
            requests=sum(report.counts.values()),
            fence=fence,
        )
        self._last = report.window
        self._pending = None
        return True
