"""Limit on the requests that a bad version of a service may get."""

import attrs
from attrs import validators

__all__ = ["ExposureLimit"]


@attrs.frozen
class ExposureLimit:
    """Limit on the requests that a bad version may get during a move.

    Parameters
    ----------
    share : float
        Share of the service's requests from the start of the move to its
        deadline, 0 to 1.
    slack : float
        Requests beyond that share.
    rollback_s : float
        Time within which a version that fails gets no more requests, in
        seconds.
    """

    share: float = attrs.field(validator=[validators.ge(0), validators.le(1)])
    slack: float = attrs.field(validator=validators.ge(0))
    rollback_s: float = attrs.field(validator=validators.gt(0))

    def compute_allowance(self, requests):
        """Return the requests that a bad version may get, of a number."""
        return self.share * requests + self.slack
