"""Choice of the few instances that watch the store."""

import xxhash

__all__ = ["choose_watchers"]


def choose_watchers(members, failure_domain, count):
    """Choose the watchers of one failure domain by rendezvous hashing.

    Parameters
    ----------
    members : iterable
        Live members, each with ``instance`` and ``failure_domain``.
    failure_domain : str
        The failure domain.
    count : int
        Watchers wanted.

    Returns
    -------
    tuple of str
        Names of at most `count` instances, first choice first.

    Notes
    -----
    Instances that see different members may choose different watchers:
    that costs store calls and nothing else. When one member leaves, only
    its own place is filled anew.
    """
    candidates = {
        member.instance
        for member in members
        if member.failure_domain == failure_domain
    }
    ranked = sorted(candidates, key=_rank, reverse=True)
    return tuple(ranked[:count])


def _rank(instance):
    """Return the hash that orders candidates, ties broken by name."""
    return xxhash.xxh3_64_intdigest(f"watch {instance}".encode()), instance
