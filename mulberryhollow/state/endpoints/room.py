"""Room of a service: what its endpoints can take on now."""

import attrs

__all__ = ["ServiceRoom"]


@attrs.frozen
class ServiceRoom:
    """Capacity of the available endpoints of a service and its use.

    Parameters
    ----------
    endpoints : int
        Number of available endpoints.
    slots, used_slots : float
        Requests that they run at once, and those that run or wait there.
    memory_tokens, used_memory_tokens : float
        Their memory, and what running and placed requests occupy or are
        expected to occupy, in tokens; both 0 where memory is not known.
    speed : float
        Sum of their speeds, relative to an average endpoint.
    backlog_s : float
        Work that they still have to do, in seconds of an average endpoint.
    age_s : float
        Age of the oldest information that counts in these amounts, in
        seconds.
    is_work_based : bool
        Whether requests are placed by work and admitted by room, as of
        `EndpointView.is_work_based`.
    """

    endpoints: int = 0
    slots: float = 0.0
    used_slots: float = 0.0
    memory_tokens: float = 0.0
    used_memory_tokens: float = 0.0
    speed: float = 0.0
    backlog_s: float = 0.0
    age_s: float = 0.0
    is_work_based: bool = False

    @property
    def free_slots(self):
        """Number of requests that can start at once."""
        return max(0.0, self.slots - self.used_slots)
