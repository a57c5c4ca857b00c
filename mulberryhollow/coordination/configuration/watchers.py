"""Selection of the instances that watch the store."""

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
        Number of watchers.

    Returns
    -------
    tuple of str
        Names of at most `count` instances, highest rank first.

    Notes
    -----
    Instances with different member lists may choose different watchers,
    which costs additional store calls but is harmless. When a watcher
    leaves, only that one is replaced.
    """
    candidates = {
        member.instance
        for member in members
        if member.failure_domain == failure_domain
    }
    ranked = sorted(candidates, key=_rank, reverse=True)
    return tuple(ranked[:count])


def _rank(instance):
    """Return the sort key of a candidate: its hash, then its name."""
    return xxhash.xxh3_64_intdigest(f"watch {instance}".encode()), instance
