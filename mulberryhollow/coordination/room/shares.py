"""Division of a room by rank, then among the accounts of each rank."""

import collections
import itertools

__all__ = ["divide_room", "fill_levels"]

RANK_FLOORS_FRACTION = 0.15
"""Fraction of the room that is divided equally among all ranks as floors.

A rank keeps its floor whatever the demand of more urgent ranks.
"""

ACCOUNT_FLOOR_FRACTION = 0.5
"""Floor of an account, as a fraction of an equal part of its rank's room.

An account whose more urgent requests have used up its share still gets it.
"""


def divide_room(demand, capacity, weights=None):
    """Return the fraction of each demand that the room can serve.

    Parameters
    ----------
    demand : dict
        (rank, account) to its demand, in places.
    capacity : float
        Room to be divided, in places.
    weights : dict or None
        Account to its weight; 1 for each account when None.

    Returns
    -------
    dict
        (rank, account) to a fraction from 0 to 1.

    Notes
    -----
    More urgent ranks are served first, except for the floors. Within a rank
    the room is divided by weighted max-min fairness, where an account's use
    in more urgent ranks counts too: an account that sends many urgent
    requests pays for them with its less urgent ones.
    """
    if sum(demand.values()) <= capacity:
        return dict.fromkeys(demand, 1.0)
    by_rank = collections.defaultdict(dict)
    for (rank, account), amount in demand.items():
        by_rank[rank][account] = amount
    floor = RANK_FLOORS_FRACTION * capacity / len(by_rank)
    totals = {rank: sum(each.values()) for rank, each in by_rank.items()}
    kept = sum(min(floor, total) for total in totals.values())
    remaining, highest = capacity, 1.0
    used = collections.Counter()
    fractions = {}
    for rank in sorted(by_rank):
        total = totals[rank]
        kept -= min(floor, total)
        # A less urgent rank is never served more often than an urgent one.
        granted = min(total * highest, max(0.0, remaining - kept))
        remaining -= granted
        highest = granted / total if total else highest
        amounts = _divide_rank(by_rank[rank], granted, used, weights or {})
        used.update(amounts)
        for account, amount in by_rank[rank].items():
            fraction = amounts[account] / amount if amount else 1.0
            fractions[rank, account] = min(1.0, fraction)
    return fractions


def _divide_rank(demand, granted, used, weights):
    """Return the amount that each account of a rank gets."""
    floor = ACCOUNT_FLOOR_FRACTION * granted / len(demand)
    floors = {name: min(floor, amount) for name, amount in demand.items()}
    rest = {name: demand[name] - floors[name] for name in demand}
    before = {name: used[name] + floors[name] for name in demand}
    above = fill_levels(rest, granted - sum(floors.values()), before, weights)
    return {name: floors[name] + above[name] for name in demand}


def fill_levels(demand, amount, used, weights):
    """Divide an amount so that the lowest total per weight is the highest.

    Parameters
    ----------
    demand : dict
        Account to the most that it can take.
    amount : float
        Amount to be divided.
    used : dict
        Account to what it has already; it counts towards the total.
    weights : dict
        Account to its weight; 1 where it is missing.

    Returns
    -------
    dict
        Account to what it takes.
    """
    if sum(demand.values()) <= amount:
        return dict(demand)
    events = sorted(
        itertools.chain.from_iterable(
            (
                (used[name] / weights.get(name, 1.0), weights.get(name, 1.0)),
                (
                    (used[name] + wanted) / weights.get(name, 1.0),
                    -weights.get(name, 1.0),
                ),
            )
            for name, wanted in demand.items()
        )
    )
    level, slope, left = events[0][0], 0.0, max(0.0, amount)
    for at, change in events:
        if slope > 0 and slope * (at - level) >= left:
            break
        left -= slope * (at - level)
        level = at
        slope += change
    if slope > 0:
        level += left / slope
    return {
        name: min(
            wanted, max(0.0, level * weights.get(name, 1.0) - used[name])
        )
        for name, wanted in demand.items()
    }
