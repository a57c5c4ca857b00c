"""Times in which an instance has to follow the changes of the store."""

import attrs

__all__ = ["ChangeBounds"]

REACTION_S = 0.5
"""Part of each bound between a decision and its effect, in seconds.

For periodic checks, queued messages and requests that are on their way.
"""

RELAY_DELAY_S = 0.8
"""Time after which a collector's contact with the store is known, in seconds.

The other instances report to the collector every half a second.
"""

MAX_WATCH_WAIT_S = 2.5
"""Largest wait of one watch call, in seconds."""

MIN_WATCH_WAIT_S = 0.2
"""Smallest wait of one watch call, in seconds."""


@attrs.frozen
class ChangeBounds:
    """Bounds on how late a change of the store takes effect.

    Parameters
    ----------
    contact_s : float
        Time from the end of a disturbance of an instance, such as a cut of
        its path to the store, until the other bounds hold for it again, in
        seconds.
    drain_s : float
        Time after its confirmation in which the end of an endpoint has to
        take effect, in seconds.
    apply_s : float
        The same for a configuration, in seconds.
    call_timeout_s : float
        Timeout of a call to the store, in seconds.
    """

    contact_s: float = 3.0
    drain_s: float = 2.0
    apply_s: float = 2.0
    call_timeout_s: float = 1.0

    @property
    def change_s(self):
        """Time in which any change has to take effect, in seconds."""
        return min(self.drain_s, self.apply_s)

    def get_watch_wait(self, is_relayed):
        """Return the longest wait of a watch call, in seconds.

        A watch whose connection has fallen silent ends one call's timeout
        later, and the changes are read after that.

        Parameters
        ----------
        is_relayed : bool
            Whether other instances follow the store through the answers. They
            notice by the age of the latest one that it is lost.
        """
        wait_s = self.contact_s - self.call_timeout_s - REACTION_S
        if is_relayed:
            wait_s = min(wait_s, self.change_s - RELAY_DELAY_S - REACTION_S)
        return min(MAX_WATCH_WAIT_S, max(MIN_WATCH_WAIT_S, wait_s))

    def get_max_contact_age(self, is_relayed):
        """Return the age of the latest answer above which one is missing.

        In seconds. The parameter is that of `get_watch_wait`.
        """
        return self.get_watch_wait(is_relayed) + RELAY_DELAY_S

    def find_last_use(self, contact_s, failed_s):
        """Return the time until which a missing endpoint may be used.

        Parameters
        ----------
        contact_s : float
            When the store last answered with the entry of the endpoint,
            monotonic, in seconds. The end of the endpoint was confirmed after
            that.
        failed_s : float
            Start of the latest call that the store did not answer, monotonic,
            in seconds; minus infinity if there was none. The path to the
            store was disturbed after that.
        """
        bound_s = max(contact_s + self.drain_s, failed_s + self.contact_s)
        return bound_s - REACTION_S
