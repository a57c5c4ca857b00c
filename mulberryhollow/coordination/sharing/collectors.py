"""Choice of the instances that act on behalf of their failure domain."""

import itertools

import attrs

from mulberryhollow.coordination import membership
from mulberryhollow.coordination.sharing import aggregates

__all__ = ["Collectors", "choose_collectors"]

MIN_DELEGATING_INSTANCES = 16
"""Size of a fleet from which collectors act for all instances.

In a smaller fleet each instance acts for itself: it reads the store, and a
request finds the quota credit of most instances by asking them.
"""

COLLECTORS_PER_DOMAIN = 2
"""Number of instances that act for a failure domain.

The second one is asked when the first does not answer.
"""


@attrs.frozen
class Collectors:
    """The instances that act for their failure domains, as one sees them.

    Parameters
    ----------
    local : tuple of str
        Instance ids of the collectors of the local failure domain, in the
        order in which they are asked. Empty when each instance acts for
        itself.
    others : tuple of str
        Instance ids of all other acting instances.
    is_local : bool
        Whether this instance is one of the acting instances.
    reachable_fraction : float
        Fraction of the live instances that are reachable, above 0.
    live : int
        Number of live instances, the unreachable ones included.
    domains : dict
        Failure domain to the tuple of its collectors, the usual one first,
        also in a fleet whose instances act for themselves.
    level : int
        Lowest protocol level of the reachable instances, this one included.
        What an older build cannot decode is sent from its level on only.
    """

    local: tuple = ()
    others: tuple = ()
    is_local: bool = True
    reachable_fraction: float = 1.0
    live: int = 1
    domains: dict = attrs.field(factory=dict)
    level: int = 0

    @property
    def parts(self):
        """Number of parts into which limits of the whole fleet are divided.

        Instances on the other side of a network partition choose collectors
        of their own. There are more parts by the fraction of instances that
        are unreachable, so that both sides together stay within a limit.
        """
        if not (self.local and self.is_local):
            return self.live
        return (1 + len(self.others)) / self.reachable_fraction

    def rank(self, task, local_name, count):
        """Return the acting instances for a task, the usual one first.

        Parameters
        ----------
        task : str
            Name of the task.
        local_name : str
            Instance id of this instance.
        count : int
            Maximum number of instances.
        """
        names = list(self.others)
        if self.is_local:
            names.append(local_name)
        return membership.rank_by_rendezvous(task, names)[:count]


def choose_collectors(local_member, members, live, level=0):
    """Return the `Collectors` for a membership.

    Parameters
    ----------
    local_member : Member
        This instance.
    members : sequence of Member
        The other instances that are reachable.
    live : int
        Number of instances that may be serving callers, this one and the
        unreachable ones included.
    level : int
        Lowest protocol level of the reachable instances, this one included.
    """
    reachable = 1 + len(members)
    live = max(live, reachable)
    domains = _rank_domains(local_member, members)
    if reachable < MIN_DELEGATING_INSTANCES:
        others = tuple(member.instance_id for member in members)
        return Collectors(
            (), others, True, reachable / live, live, domains, level
        )
    local = domains[local_member.failure_domain]
    acting = tuple(itertools.chain.from_iterable(domains.values()))
    name = local_member.instance_id
    return Collectors(
        local,
        tuple(each for each in acting if each != name),
        name in local,
        reachable / live,
        live,
        domains,
        level,
    )


def _rank_domains(local_member, members):
    """Return the collectors of each failure domain, the usual one first."""
    domains = {local_member.failure_domain: [local_member.instance_id]}
    for member in members:
        names = domains.setdefault(member.failure_domain, [])
        names.append(member.instance_id)
    return {
        domain: tuple(
            aggregates.rank_collectors(domain, names)[:COLLECTORS_PER_DOMAIN]
        )
        for domain, names in domains.items()
    }
