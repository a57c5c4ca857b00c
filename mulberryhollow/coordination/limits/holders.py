"""Choice of the instances that grant the credit of quotas."""

import itertools

import attrs

from mulberryhollow.coordination import sharing

__all__ = ["CreditHolders", "choose_holders"]

MIN_POOLED_INSTANCES = 16
"""Size of a fleet from which a few instances hold the credit of all.

In a smaller fleet a request finds the credit of most instances by asking
them. In a larger one the part of a single instance is less than what one
request costs.
"""

HOLDERS_PER_DOMAIN = 2
"""Number of instances of a failure domain that hold its credit.

The second one grants credit when the first does not answer.
"""


@attrs.frozen
class CreditHolders:
    """The instances that hold the credit of quotas, as one instance sees it.

    Parameters
    ----------
    local : tuple of str
        Instance ids of the holders in the local failure domain, in the
        order in which they are asked. Empty when each instance of the
        fleet holds its own part.
    others : tuple of str
        Instance ids of the other instances that hold credit.
    nodes : float
        Number of parts into which a quota is divided.
    is_holder : bool
        Whether this instance holds credit on behalf of its domain or of
        itself.
    """

    local: tuple
    others: tuple
    nodes: float
    is_holder: bool


def choose_holders(local_member, members, live):
    """Return the `CreditHolders` for a membership.

    Parameters
    ----------
    local_member : Member
        This instance.
    members : sequence of Member
        The other instances that are reachable.
    live : int
        Number of instances that may be serving callers, this one and the
        unreachable ones included.

    Notes
    -----
    Instances on the other side of a network partition choose holders of
    their own. A quota is divided into more parts by the fraction of
    instances that are reachable, so that the holders of both sides together
    grant no more than the quota.
    """
    reachable = 1 + len(members)
    if reachable < MIN_POOLED_INSTANCES:
        others = tuple(member.instance_id for member in members)
        return CreditHolders((), others, live, True)
    domains = {
        domain: tuple(names[:HOLDERS_PER_DOMAIN])
        for domain, names in sharing.list_collectors(
            local_member, members
        ).items()
    }
    local = domains[local_member.failure_domain]
    holders = tuple(itertools.chain.from_iterable(domains.values()))
    name = local_member.instance_id
    is_holder = name in local
    parts = len(holders) * max(1.0, live / reachable)
    return CreditHolders(
        local,
        tuple(each for each in holders if each != name),
        parts if is_holder else live,
        is_holder,
    )
