"""Regions in which the content of a request may be processed."""

import functools

import attrs

__all__ = ["RegionMap", "admits", "combine"]


def combine(*restrictions):
    """Return the regions that all restrictions allow; None for any region.

    Parameters
    ----------
    *restrictions : frozenset of str or None
        Allowed regions of a route or an account; None for any region.

    Returns
    -------
    frozenset of str or None
        Empty if the restrictions have no region in common.
    """
    named = [each for each in restrictions if each is not None]
    return functools.reduce(frozenset.intersection, named) if named else None


def admits(allowed_regions, region):
    """Return whether a request may be sent to a region.

    Parameters
    ----------
    allowed_regions : frozenset of str or None
        The allowed regions; None for any region.
    region : str or None
        Region of the receiver; None if it is unknown, which only a request
        without a restriction may be sent to.
    """
    return allowed_regions is None or region in allowed_regions


@attrs.frozen
class RegionMap:
    """Region of each failure domain.

    Parameters
    ----------
    regions : dict
        Failure domain to the name of its region.
    """

    regions: dict = attrs.field(factory=dict)

    def admits(self, allowed_regions, endpoint):
        """Return whether a request may be sent to an endpoint.

        Parameters
        ----------
        allowed_regions : frozenset of str or None
            The allowed regions; None for any region.
        endpoint : Endpoint
            The endpoint.
        """
        region = self.regions.get(endpoint.failure_domain)
        return admits(allowed_regions, region)
