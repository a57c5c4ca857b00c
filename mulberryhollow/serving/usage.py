"""Usage counts, exchanged with peers and reported once per window."""

import json
import logging
import threading

import attrs

from mulberryhollow.coordination.duties import WINDOWS_REPORTED
from mulberryhollow import events
from mulberryhollow.state import decoding
from mulberryhollow.state import known_fields
from mulberryhollow.state import objects
from mulberryhollow.transport import store as store_adapter

__all__ = ["SharedUsageLedger", "UsageReporter"]

DUTY_KIND = "duty"
"""Kind of the stored objects that belong to duties."""

REPORT_OBJECT_NAME = "usage"
"""Name of the stored object that holds the latest report."""

PEER_WAIT_FRACTION = 0.4
"""Fraction of the reporting delay for which counts of peers are awaited."""

START_DELAY_S = 1.5
"""Time from acquiring the lease to the first report, in seconds.

Three rounds of the aggregate exchange, which deliver the peers' counts.
"""

MAX_REPORTS_PER_CALL = 4
"""Maximum number of windows that one call of the duty reports."""

REPORTED = events.declare(
    8101, logging.INFO, "the usage of a window was reported"
)
REPORT_FAILED = events.declare(
    8102,
    logging.WARNING,
    "the usage of a window could not be reported; the report is retried",
    "check the platform's API and store if this repeats",
)
COUNTS_MALFORMED = events.declare(
    8103,
    logging.WARNING,
    "the usage counts of a peer cannot be decoded",
    "check the version of the peer's program",
)


class SharedUsageLedger:
    """A thread-safe UsageLedger.

    Parameters
    ----------
    ledger : UsageLedger
        Holds the counts.
    wall : SlewedWallClock
        Source of the wall-clock time.
    """

    def __init__(self, ledger, wall):
        self._ledger = ledger
        self._wall = wall
        self._lock = threading.Lock()

    def record_usage(self, account):
        """Count a request that an endpoint has started to run."""
        if account:
            with self._lock:
                self._ledger.record(account, self._wall.wall_s())

    def encode_own(self):
        """Return the encoded counts of this process, for its collector."""
        with self._lock:
            return [self._ledger.encode(self._wall.wall_s())]

    def encode_all(self, windows=WINDOWS_REPORTED):
        """Return the encoded counts of every known source.

        Parameters
        ----------
        windows : int
            Number of latest windows to include.
        """
        wall_s = self._wall.wall_s()
        with self._lock:
            return [
                self._ledger.encode(wall_s, source, windows)
                for source in self._ledger.list_sources(wall_s, windows)
            ]

    def merge(self, data):
        """Merge the encoded counts of a peer; malformed ones are logged."""
        try:
            with self._lock:
                self._ledger.merge(data)
        except ValueError as error:
            events.log(COUNTS_MALFORMED, reason=str(error))

    def total(self, window):
        """Return the number of requests per account that began in a window."""
        with self._lock:
            return self._ledger.total(window)

    def find_window(self):
        """Return the number of the current window."""
        return self._ledger.find_window(self._wall.wall_s())

    def find_age(self, window):
        """Return the time since the end of a window, in seconds."""
        return self._wall.wall_s() - self._ledger.find_window_end(window)


@attrs.frozen
class _Report:
    """Content of the report of one window, the same from any sender."""

    window: int
    counts: dict

    def encode(self):
        """Return the report as the JSON bytes of the stored object."""
        return json.dumps(attrs.asdict(self), sort_keys=True).encode()

    @classmethod
    def decode(cls, value):
        """Return the report encoded in value; None if malformed."""
        try:
            return cls(
                **known_fields.select_known(cls, decoding.decode_json(value))
            )
        except (ValueError, TypeError):
            return None


class UsageReporter:
    """Reports the usage of each window, as a duty.

    A report may be sent more than once, always with the same counts.

    Parameters
    ----------
    shared_ledger : SharedUsageLedger
        The counts.
    store : StoreClient
        Stores the latest report before it is sent.
    cloud : object
        ``report_usage(fence, window, counts)`` sends a report.
    clock : Clock
        Source of time.
    delay_s : float
        Time after the end of a window by which its report is due, in
        seconds.

    Notes
    -----
    The content of a report is written to the store conditionally before
    it is sent. A successor starts by sending the stored report again,
    byte for byte, and continues with the next window.
    """

    def __init__(self, shared_ledger, store, cloud, clock, delay_s):
        self._shared_ledger = shared_ledger
        self._store = store
        self._cloud = cloud
        self._clock = clock
        self._delay_s = delay_s
        self._started_s = float("-inf")
        self._reset()

    def begin(self):
        """Start the duty after the lease was acquired.

        Another instance may have reported in the meantime, so the stored
        report is read again.
        """
        self._started_s = self._clock.now_s()
        self._reset()

    def _reset(self):
        """Discard the known state, so that it is read from the store again."""
        self._version = None
        self._pending_report = None
        self._last_window = None

    def work(self, fence, is_held):
        """Send the reports that are due.

        Parameters
        ----------
        fence : int
            Fencing token of the lease.
        is_held : callable
            Returns whether this instance still holds the lease.
        """
        if self._clock.now_s() - self._started_s < START_DELAY_S:
            return
        if self._version is None:
            self._load()
        for _ in range(MAX_REPORTS_PER_CALL):
            if self._pending_report is None and not self._prepare():
                return
            if not (is_held() and self._send(fence)):
                return

    def _load(self):
        """Read the latest stored report, which may not have been sent."""
        found = self._store.get(DUTY_KIND, REPORT_OBJECT_NAME)
        self._version = found.version if found else 0
        self._pending_report = _Report.decode(found.value) if found else None
        if self._pending_report is None:
            self._last_window = self._shared_ledger.find_window() - 1

    def _prepare(self):
        """Store the next window's report; return whether that succeeded.

        Returns False as well while counts of peers are awaited.
        """
        window = self._last_window + 1
        if (
            self._shared_ledger.find_age(window)
            < PEER_WAIT_FRACTION * self._delay_s
        ):
            return False
        report = _Report(window, self._shared_ledger.total(window))
        outcome = store_adapter.put_and_resolve(
            self._store,
            DUTY_KIND,
            REPORT_OBJECT_NAME,
            report.encode(),
            self._version,
        )
        match outcome:
            case objects.WriteApplied(version):
                self._version = version
                self._pending_report = report
                return True
        events.log(REPORT_FAILED, window=window, reason=str(outcome))
        self._reset()
        return False

    def _send(self, fence):
        """Send the pending report; return whether it was accepted."""
        report = self._pending_report
        outcome = self._cloud.report_usage(fence, report.window, report.counts)
        if not isinstance(outcome, objects.WriteApplied):
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
        self._last_window = report.window
        self._pending_report = None
        return True
