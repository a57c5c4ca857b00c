"""Usage counts, exchanged with peers and reported once per window."""

import logging
import threading

import attrs

from mulberryhollow.coordination import duties
from mulberryhollow.coordination.duties import WINDOWS_REPORTED
from mulberryhollow import events
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
REWRITTEN = events.declare(
    8104,
    logging.WARNING,
    "the store had an older usage report than this fleet: the latest known "
    "report is written to it and sent again",
    "expected after a restore of the store (9014); otherwise find who wrote "
    "the stored report",
)
SKIPPED = events.declare(
    8105,
    logging.WARNING,
    "windows are left out: their usage may have been reported before the "
    "store was restored, with counts that are not known",
    "take their usage from the platform's records",
)


class SharedUsageLedger:
    """A thread-safe UsageLedger.

    Parameters
    ----------
    ledger : UsageLedger
        Holds the counts.
    wall : SlewedWallClock
        Source of the wall-clock time.

    Attributes
    ----------
    on_exchange : callable
        Called without arguments at each exchange of counts with the peers;
        does nothing unless it is replaced.
    """

    def __init__(self, ledger, wall):
        self._ledger = ledger
        self._wall = wall
        self._lock = threading.Lock()
        self.on_exchange = lambda: None

    def record_usage(self, account):
        """Count a request that an endpoint has started to run."""
        if account:
            with self._lock:
                self._ledger.record(account, self._wall.wall_s())

    def encode_own(self):
        """Return the encoded counts of this process, for its collector."""
        self.on_exchange()
        with self._lock:
            return self._ledger.encode_own(self._wall.wall_s())

    def encode_all(self, windows=WINDOWS_REPORTED):
        """Return the encoded counts of every known source.

        Parameters
        ----------
        windows : int
            Number of latest windows to include.
        """
        self.on_exchange()
        wall_s = self._wall.wall_s()
        with self._lock:
            return self._ledger.encode_all(wall_s, windows)

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

    def find_report(self):
        """Return the latest known report; None if none is known."""
        with self._lock:
            return self._ledger.report

    def record_report(self, report):
        """Record a report that this process has stored or read."""
        with self._lock:
            self._ledger.record_report(report)

    def find_window(self):
        """Return the number of the current window."""
        return self._ledger.find_window(self._wall.wall_s())

    def find_age(self, window):
        """Return the time since the end of a window, in seconds."""
        return self._wall.wall_s() - self._ledger.find_window_end(window)


@attrs.frozen
class _EraSighting:
    """First sight of an era of the store.

    Parameters
    ----------
    era : int
        The era.
    window : int
        Number of the window of the wall clock at that time.
    elapsed_s : float
        That time, on a clock that runs in suspension too, in seconds.
    """

    era: int
    window: int
    elapsed_s: float


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
    rules : LeaseRules or None
        Durations of the lease on the duties; the defaults if None.

    Notes
    -----
    The content of a report is written to the store conditionally before
    it is sent. A successor starts by sending the latest report again,
    byte for byte, and continues with the next window. The latest report is
    the one that this process, a peer or the store knows.

    A store that comes back from an older copy has lost reports. A window that
    had ended when this process first saw the new era, and that is later than
    the latest report, may have been reported by another instance; it is left
    out, since the platform must not get two counts. So is the window of a
    stored report from before the restore that only the store knows, which a
    late write may have put there. The holder itself knows
    what it has reported, and leaves nothing out. Once a window was prepared in
    the new era, which the change id of the stored report tells, the store is
    complete again.
    """

    def __init__(
        self, shared_ledger, store, cloud, clock, delay_s, rules=None
    ):
        self._shared_ledger = shared_ledger
        self._store = store
        self._cloud = cloud
        self._clock = clock
        self._delay_s = delay_s
        rules = rules or duties.LeaseRules()
        self._succession_s = rules.takeover_s - rules.hold_s + START_DELAY_S
        self._started_s = float("-inf")
        self._acted_s = float("-inf")
        self._sighting = None
        self._judged_era = 0
        self._first_window = 0
        self._reset()
        shared_ledger.on_exchange = self.observe_era

    def observe_era(self):
        """Record when a new era of the store was first seen.

        Called in every instance, since any may have to report after the
        holder.
        """
        era = self._store.era or 0
        if era > (self._sighting.era if self._sighting else 0):
            self._sighting = _EraSighting(
                era,
                self._shared_ledger.find_window(),
                self._clock.elapsed_s(),
            )

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
        self._loaded_era = None
        self._is_complete = False
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
        self.observe_era()
        self._judge_era()
        if self._clock.now_s() - self._started_s < START_DELAY_S:
            return
        if self._is_outdated():
            self._reset()
        if self._version is None and not self._load():
            return
        now_s = self._clock.elapsed_s()
        if is_held():
            self._acted_s = now_s
        for _ in range(MAX_REPORTS_PER_CALL):
            if self._loaded_era != self._store.era:
                return
            if self._pending_report is None and not self._prepare():
                return
            if not (is_held() and self._send(fence)):
                return

    def _judge_era(self):
        """Find the first window that may be reported in a new era.

        Nobody else has reported in an earlier era if this instance still
        acted as the holder shortly before it saw the new one. The holder
        acts for `hold_s` after a renewal at most, and a successor acquires
        the lease `takeover_s` after it at the earliest and then waits.
        """
        sighting = self._sighting
        if sighting is None or sighting.era == self._judged_era:
            return
        self._judged_era = sighting.era
        if sighting.elapsed_s - self._acted_s >= self._succession_s:
            self._first_window = max(self._first_window, sighting.window)

    def _is_outdated(self):
        """Return whether the state is older than the era or a known report."""
        if self._version is None:
            return False
        if self._loaded_era != self._store.era:
            return True
        known = self._shared_ledger.find_report()
        pending = self._pending_report
        window = pending.window if pending else self._last_window
        return known is not None and known.window > window

    def _load(self):
        """Find the latest report, which may not have been sent.

        Returns
        -------
        bool
            Whether the store holds that report, or there is none, and was
            not restored meanwhile. False as well if the era is not judged
            yet: another thread may have seen a new one since.
        """
        era = self._store.era
        if (era or 0) != self._judged_era:
            return False
        is_complete = False
        found = self._store.get(DUTY_KIND, REPORT_OBJECT_NAME)
        version = found.version if found else 0
        report = duties.UsageReport.decode(found.value) if found else None
        if report is not None:
            is_complete = found.change_id.startswith(_make_prefix(era))
        known = self._shared_ledger.find_report()
        if known not in (None, report) and (
            report is None or known.window >= report.window
        ):
            report = known
            is_complete = False
            outcome = self._put(report, version)
            if not isinstance(outcome, objects.WriteApplied):
                return False
            version = outcome.version
            events.log(REWRITTEN, window=report.window)
        if self._store.era != era:
            return False
        if report is None:
            self._last_window = self._shared_ledger.find_window() - 1
        else:
            self._last_window = report.window - 1
        is_certain = is_complete or report == known
        if report is not None and (
            is_certain or report.window >= self._first_window
        ):
            self._shared_ledger.record_report(report)
            self._pending_report = report
        self._loaded_era = era
        self._is_complete = is_complete
        self._version = version
        return True

    def _put(self, report, version, change_prefix=""):
        """Return the outcome of writing a report over a stored version."""
        outcome = store_adapter.put_and_resolve(
            self._store,
            DUTY_KIND,
            REPORT_OBJECT_NAME,
            report.encode(),
            version,
            change_prefix,
        )
        if not isinstance(outcome, objects.WriteApplied):
            events.log(
                REPORT_FAILED, window=report.window, reason=str(outcome)
            )
        return outcome

    def _prepare(self):
        """Store the next window's report; return whether that succeeded.

        Returns False as well while counts of peers are awaited.
        """
        window = self._find_next_window()
        if (
            self._shared_ledger.find_age(window)
            < PEER_WAIT_FRACTION * self._delay_s
        ):
            return False
        report = duties.UsageReport(window, self._shared_ledger.total(window))
        prefix = _make_prefix(self._loaded_era)
        match self._put(report, self._version, prefix):
            case objects.WriteApplied(version):
                self._shared_ledger.record_report(report)
                self._version = version
                self._pending_report = report
                self._is_complete = self._loaded_era == self._store.era
                return True
        self._reset()
        return False

    def _find_next_window(self):
        """Return the window to report next; log those that are left out."""
        window = self._last_window + 1
        if window < self._first_window and not self._is_complete:
            events.log(SKIPPED, first=window, last=self._first_window - 1)
            window = self._first_window
            self._last_window = window - 1
        return window

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


def _make_prefix(era):
    """Return the prefix of change ids of reports prepared in an era."""
    return f"era-{era or 0}-"
