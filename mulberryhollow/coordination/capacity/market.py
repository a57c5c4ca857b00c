"""Input of the capacity plan: demand, instance offers, running instances."""

import attrs

__all__ = ["Demand", "Instance", "InstanceOffer"]


@attrs.frozen
class Demand:
    """Capacity that one version of a service needs.

    Parameters
    ----------
    service, version : str
        The service and its version.
    role : str
        ``model`` or ``plain``.
    urgent, patient : float
        Capacity needed for patient requests (`patient`) and for all others
        (`urgent`), in any unit.
    capacity_by_class : dict
        Machine class to the capacity of one instance, in that unit.
    """

    service: str
    version: str
    role: str
    urgent: float
    patient: float = 0.0
    capacity_by_class: dict = attrs.field(factory=lambda: {"standard": 1.0})


@attrs.frozen
class InstanceOffer:
    """A kind of instance that the cloud offers, with its price.

    Parameters
    ----------
    failure_domain, machine_class, market : str
        Kind of the instance; the market is ``reclaimable`` or
        ``on_demand``.
    price_per_hour : float
        Price of one instance, in the currency of the cloud, per hour.
    """

    failure_domain: str
    machine_class: str
    market: str
    price_per_hour: float

    @property
    def key(self):
        """Identity of the offer, independent of its price."""
        return self.failure_domain, self.machine_class, self.market


@attrs.frozen
class Instance:
    """One running instance.

    Parameters
    ----------
    id : str
        Id assigned by the platform.
    service, version : str
        The service and version that the instance serves.
    failure_domain, machine_class, market : str
        Kind of the instance, as in its offer.
    price_per_hour : float
        Price of the instance, in the currency of the cloud, per hour.
    is_leaving : bool
        Whether the instance is marked as leaving; its cost counts, its
        capacity does not.
    """

    id: str
    service: str
    version: str
    failure_domain: str
    machine_class: str
    market: str
    price_per_hour: float
    is_leaving: bool = False
