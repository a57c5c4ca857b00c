"""Request counts of client accounts in windows of the wall clock."""

import collections
import itertools
import json
from mulberryhollow.state import decoding

__all__ = ["UsageLedger", "WINDOWS_REPORTED"]

MAX_WINDOWS_KEPT = 24
"""Maximum number of windows kept in memory."""

WINDOWS_REPORTED = 2
"""Number of latest windows reported to the peers in each round."""


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
    """

    def __init__(self, source, window_s):
        self._source = source
        self._window_s = window_s
        self._counts = collections.defaultdict(dict)

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

    def encode(self, wall_s, source=None, windows=WINDOWS_REPORTED):
        """Return the latest counts of one source, as JSON for the peers.

        Parameters
        ----------
        wall_s : float
            The time, in Unix seconds.
        source : str or None
            Name of the source; None for this process.
        windows : int
            Number of latest windows to report.
        """
        source = source or self._source
        latest = self.find_window(wall_s)
        reported = {
            window: self._counts[window][source]
            for window in range(latest - windows + 1, latest + 1)
            if source in self._counts.get(window, ())
        }
        fields = {"source": source, "windows": reported}
        return json.dumps(fields, separators=(",", ":"))

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
                int(window): {str(k): int(v) for k, v in counts.items()}
                for window, counts in fields["windows"].items()
            }
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
