"""Requests that endpoints hold, and what these still need."""

import attrs

__all__ = ["Held", "measure_held"]


@attrs.frozen
class Held:
    """Requests at some endpoints.

    Parameters
    ----------
    requests : float
        Requests that run or wait there.
    remaining_s : float
        Time that they are expected to stay, summed up, in seconds.
    memory_tokens : float
        Memory that they occupy or are expected to occupy, in tokens.
    """

    requests: float = 0.0
    remaining_s: float = 0.0
    memory_tokens: float = 0.0


def measure_held(records, now_s):
    """Return what some endpoints hold.

    Parameters
    ----------
    records : list of EndpointRecord
        The endpoints.
    now_s : float
        Monotonic time, in seconds.

    Notes
    -----
    This instance knows the requests that it has sent or placed. Those of
    others are taken to need as much on average.
    """
    own, others, remaining_s, memory_tokens = 0, 0.0, 0.0, 0.0
    for record in records:
        backlog = record.backlog
        local_s, local_tokens = record.measure_local_work(now_s)
        own += record.local_load + backlog.placed
        others += backlog.others
        remaining_s += local_s + backlog.measure_placed_s(now_s)
        memory_tokens += local_tokens + backlog.placed_memory_tokens
    factor = (own + others) / own if own else 1.0
    return Held(own + others, factor * remaining_s, factor * memory_tokens)
