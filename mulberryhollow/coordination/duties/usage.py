"""Usage of client accounts in windows of the wall clock."""

import collections
import itertools
import json

__all__ = ["WINDOWS_TOLD", "UsageLedger"]

WINDOWS_KEPT = 24
"""Windows that are remembered."""

WINDOWS_TOLD = 2
"""Latest windows whose counts are told to the peers in each round."""


class UsageLedger:
    """Requests that began in each window, here and at the peers.

    Parameters
    ----------
    source : str
        Name of this process, different after a restart.
    window_s : float
        Length of a window, in seconds.

    Notes
    -----
    Counts of one process only grow, so tellings may be lost, doubled or
    late. A process that has ended keeps what it has told.
    """

    def __init__(self, source, window_s):
        self._source = source
        self._window_s = window_s
        self._counts = collections.defaultdict(dict)

    def find_window(self, wall_s):
        """Return the number of the window at a time, in Unix seconds."""
        return int(wall_s // self._window_s)

    def find_end(self, window):
        """Return when a window ends, in Unix seconds."""
        return (window + 1) * self._window_s

    def record(self, account, wall_s):
        """Count a request that began now."""
        window = self.find_window(wall_s)
        counts = self._counts[window].setdefault(
            self._source, collections.Counter()
        )
        counts[account] += 1
        self._prune()

    def encode(self, wall_s, source=None, windows=WINDOWS_TOLD):
        """Return the latest counts of one source, for the peers.

        Parameters
        ----------
        wall_s : float
            The time, in Unix seconds.
        source : str or None
            Whose counts; None for those of this process.
        windows : int
            Latest windows that are told.
        """
        source = source or self._source
        latest = self.find_window(wall_s)
        told = {
            window: self._counts[window][source]
            for window in range(latest - windows + 1, latest + 1)
            if source in self._counts.get(window, ())
        }
        fields = {"source": source, "windows": told}
        return json.dumps(fields, separators=(",", ":"))

    def list_sources(self, wall_s, windows=WINDOWS_TOLD):
        """Return every source with counts in the latest windows."""
        latest = self.find_window(wall_s)
        found = [
            self._counts.get(window, {})
            for window in range(latest - windows + 1, latest + 1)
        ]
        return sorted(set(itertools.chain.from_iterable(found)))

    def merge(self, data):
        """Take over the counts of a peer.

        Raises
        ------
        ValueError
            When they cannot be read.
        """
        try:
            fields = json.loads(data)
            source = str(fields["source"])
            told = {
                int(window): {str(k): int(v) for k, v in counts.items()}
                for window, counts in fields["windows"].items()
            }
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"not usage counts: {error!r}") from error
        for window, counts in told.items():
            known = self._counts[window].setdefault(
                source, collections.Counter()
            )
            for account, count in counts.items():
                known[account] = max(known[account], count)
        self._prune()

    def total(self, window):
        """Return the requests of each account that began in a window."""
        total = collections.Counter()
        for counts in self._counts.get(window, {}).values():
            total.update(counts)
        return dict(sorted(total.items()))

    def _prune(self):
        """Forget the oldest windows."""
        while len(self._counts) > WINDOWS_KEPT:
            del self._counts[min(self._counts)]
