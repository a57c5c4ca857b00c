"""What is needed, what is on offer and what runs."""

import attrs

__all__ = ["Demand", "Instance", "Offer"]


@attrs.frozen
class Demand:
    """Capacity that one version of a service needs.

    Parameters
    ----------
    service, version : str
        What the instances answer.
    role : str
        ``model`` or ``plain``.
    urgent, patient : float
        Capacity for patient requests and for all others, in any unit.
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
class Offer:
    """One price of the cloud.

    Parameters
    ----------
    failure_domain, machine_class, market : str
        What can be started; the market is ``reclaimable`` or
        ``on_demand``.
    price_per_hour : float
        Its price, in the currency of the cloud, per hour.
    """

    failure_domain: str
    machine_class: str
    market: str
    price_per_hour: float

    @property
    def key(self):
        """Identity of the offer, whatever its price."""
        return self.failure_domain, self.machine_class, self.market


@attrs.frozen
class Instance:
    """One running instance.

    Parameters
    ----------
    id : str
        Identity given by the platform.
    service, version : str
        What it answers.
    failure_domain, machine_class, market : str
        What was started.
    price_per_hour : float
        Its price, in the currency of the cloud, per hour.
    is_leaving : bool
        Whether it is marked as leaving; it is paid for, but its capacity
        does not count.
    """

    id: str
    service: str
    version: str
    failure_domain: str
    machine_class: str
    market: str
    price_per_hour: float
    is_leaving: bool = False
