"""What the checks of a run have in common."""

import collections

import attrs

from tools.soak import records
from tools.soak import site as sites

__all__ = ["Disturbances", "Violation"]

CONTACT_S = sites.BOUNDS["contactMs"] / 1000
THAW_S = sites.BOUNDS["thawMs"] / 1000


@attrs.frozen(order=True)
class Violation:
    """A broken rule.

    Parameters
    ----------
    at_s : float
        Time since the begin of the records, in seconds.
    rule : str
        Name of the rule.
    message : str
        What was seen.
    is_counted : bool
        Whether the rule counts it; it does not during some disturbances.
    """

    at_s: float
    rule: str
    message: str
    is_counted: bool = True


class Disturbances:
    """When instances and the store were in disturbance.

    Parameters
    ----------
    found : list of Disturbance
        All disturbances of the run.
    """

    def __init__(self, found):
        self._by_target = collections.defaultdict(list)
        for each in found:
            self._by_target[each.target].append(each)

    def list_within(self, target, begin_s, end_s):
        """Return the disturbances of a target that overlap an interval."""
        return [
            each
            for each in self._by_target[target]
            if each.begin_s <= end_s and each.end_s >= begin_s
        ]

    def is_in_touch(self, instance, begin_s, end_s):
        """Return whether an instance was in touch all the while.

        It is if neither it nor the store has been in disturbance, from the
        time of contact before the interval on.
        """
        begin_s -= CONTACT_S
        return not (
            self.list_within(instance, begin_s, end_s)
            or self.list_within(records.STORE, begin_s, end_s)
        )

    def is_duty_call_excused(self, call):
        """Return whether the order of a duty call does not count.

        That is so shortly after its sender was thawed or reached the store
        again, and while the store is in disturbance or has just been; `just`
        is taken as the time of contact, after which the store is stable.
        """
        thawed = [
            each
            for each in self._by_target[call.instance]
            if each.kind in ("freeze", "refused")
            and each.begin_s <= call.at_s <= each.end_s + THAW_S
        ]
        since_s = call.at_s - CONTACT_S
        return bool(
            thawed or self.list_within(records.STORE, since_s, call.at_s)
        )
