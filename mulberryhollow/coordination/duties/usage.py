"""Request counts of client accounts in windows of the wall clock."""

import collections
import itertools
import json

import attrs

from mulberryhollow.state import decoding
from mulberryhollow.state import known_fields

__all__ = ["UsageLedger", "UsageReport", "WINDOWS_REPORTED"]

MAX_WINDOWS_KEPT = 24
"""Maximum number of windows kept in memory."""

WINDOWS_REPORTED = 2
"""Number of latest windows reported to the peers in each round."""


@attrs.frozen
class UsageReport:
    """Content of the report of one window, the same from any sender.

    Parameters
    ----------
    window : int
        Number of the window.
    counts : dict
        Number of requests that began in it, by account.
    """

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


class UsageLedger:
    """Requests started in each window, at this process and at its peers.

    Parameters
    ----------
    source : str
        Name of this process; another one after a restart.
    window_s : float
        Length of a window, in seconds.

    Notes
    -----
    The counts of a source only grow and are merged by their maximum, so
    reports may be lost, duplicated or delayed. The reported counts of a
    process that has ended are kept.

    The latest report is kept as well, so that it is known when the store has
    lost it. Of two reports of one window the one that was known first stays,
    since it may have been sent.

    Attributes
    ----------
    report : UsageReport or None
        Report of the latest window that this process or a peer has stored.
    """

    def __init__(self, source, window_s):
        self._source = source
        self._window_s = window_s
        self._counts = collections.defaultdict(dict)
        self._is_own_report = False
        self.report = None

    def find_window(self, wall_s):
        """Return the number of the window that contains a Unix time."""
        return int(wall_s // self._window_s)

    def find_window_end(self, window):
        """Return the end of a window, in Unix seconds."""
        return (window + 1) * self._window_s

    def record(self, account, wall_s):
        """Count a request of an account, started at a Unix time."""
        window = self.find_window(wall_s)
        counts = self._counts[window].setdefault(
            self._source, collections.Counter()
        )
        counts[account] += 1
        self._prune()

    def record_report(self, report):
        """Record a report that this process has stored or read."""
        self._is_own_report = True
        self._keep_report(report)

    def _keep_report(self, report):
        """Keep a report if its window is later than that of the known one."""
        if self.report is None or report.window > self.report.window:
            self.report = report

    def encode(
        self,
        wall_s,
        source=None,
        windows=WINDOWS_REPORTED,
        has_report=False,
    ):
        """Return the latest counts of one source, as JSON for the peers.

        Parameters
        ----------
        wall_s : float
            The time, in Unix seconds.
        source : str or None
            Name of the source; None for this process.
        windows : int
            Number of latest windows to report.
        has_report : bool
            Whether to add the latest report, unless it is older than all
            windows that are kept. Builds of level 0 ignore it.
        """
        source = source or self._source
        latest = self.find_window(wall_s)
        reported = {
            window: self._counts[window][source]
            for window in range(latest - windows + 1, latest + 1)
            if source in self._counts.get(window, ())
        }
        fields = {"source": source, "windows": reported}
        if has_report and self._is_report_recent(latest):
            fields["report"] = attrs.asdict(self.report)
        return json.dumps(fields, separators=(",", ":"))

    def encode_own(self, wall_s):
        """Return the counts of this process, and its report if it made one."""
        return [self.encode(wall_s, has_report=self._is_own_report)]

    def encode_all(self, wall_s, windows=WINDOWS_REPORTED):
        """Return the counts of all sources; the first has the report too."""
        sources = self.list_sources(wall_s, windows)
        if not sources and self._is_report_recent(self.find_window(wall_s)):
            sources = [self._source]
        return [
            self.encode(wall_s, source, windows, has_report=index == 0)
            for index, source in enumerate(sources)
        ]

    def _is_report_recent(self, latest):
        """Return whether the known report is one of the windows kept."""
        return (
            self.report is not None
            and self.report.window > latest - MAX_WINDOWS_KEPT
        )

    def list_sources(self, wall_s, windows=WINDOWS_REPORTED):
        """Return the names of sources with counts in the latest windows."""
        latest = self.find_window(wall_s)
        found = [
            self._counts.get(window, {})
            for window in range(latest - windows + 1, latest + 1)
        ]
        return sorted(set(itertools.chain.from_iterable(found)))

    def merge(self, data):
        """Merge a report of counts from a peer.

        Raises
        ------
        ValueError
            When the report is malformed.
        """
        with decoding.convert_errors("usage counts"):
            fields = decoding.decode_json(data)
            source = str(fields["source"])
            reported = {
                int(window): _decode_counts(counts)
                for window, counts in fields["windows"].items()
            }
            report = fields.get("report")
            if report is not None:
                report = UsageReport(
                    decoding.get_integer(report, "window"),
                    _decode_counts(report["counts"]),
                )
        if report is not None:
            self._keep_report(report)
        for window, counts in reported.items():
            known = self._counts[window].setdefault(
                source, collections.Counter()
            )
            for account, count in counts.items():
                known[account] = max(known[account], count)
        self._prune()

    def total(self, window):
        """Return the number of requests of each account in a window."""
        total = collections.Counter()
        for counts in self._counts.get(window, {}).values():
            total.update(counts)
        return dict(sorted(total.items()))

    def _prune(self):
        """Delete the oldest windows beyond `MAX_WINDOWS_KEPT`."""
        while len(self._counts) > MAX_WINDOWS_KEPT:
            del self._counts[min(self._counts)]


def _decode_counts(counts):
    """Return the counts of a window, by account."""
    return {str(account): int(count) for account, count in counts.items()}
