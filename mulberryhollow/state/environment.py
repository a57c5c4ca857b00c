"""The environment document as typed data."""

import enum

import attrs

__all__ = [
    "Account",
    "Council",
    "Environment",
    "RequestClass",
    "Service",
    "ServiceKind",
    "Version",
]


class RequestClass(enum.Enum):
    """Class of a request, most urgent first."""

    CHAT = "chat"
    LOOKUP = "lookup"
    BOOKING = "booking"
    PATIENT = "patient"


class ServiceKind(enum.Enum):
    """What answers a service: a model engine or a plain service."""

    MODEL = "model"
    PLAIN = "plain"


@attrs.frozen
class Council:
    """A group that decides about its own sections.

    Parameters
    ----------
    name : str
        Its name.
    operator_key_hash : str
        Salted hash of the key that its operators sign in with.
    """

    name: str
    operator_key_hash: str = ""


@attrs.frozen
class Account:
    """A client account.

    Parameters
    ----------
    name : str
        Its name.
    council : str
        The council that owns its section.
    key_hash : str
        ``salt:digest`` of its API key, hexadecimal.
    weight : float
        Its weight in the shared budget, above zero.
    services : tuple of str
        Names of the services that it may call.
    """

    name: str
    council: str
    key_hash: str
    weight: float = 1.0
    services: tuple = ()


@attrs.frozen
class Version:
    """A version of a service.

    Parameters
    ----------
    name : str
        Its name, unique within the service.
    service : str
        Name of the service.
    """

    name: str
    service: str


@attrs.frozen
class Service:
    """A service that client accounts call.

    Parameters
    ----------
    name : str
        Its name.
    council : str
        The council that owns its section.
    kind : ServiceKind
        What answers it.
    classes : tuple of RequestClass
        Classes that it takes.
    version : str
        Name of the version in use when no move is under way.
    versions : tuple of Version
        Every declared version.
    """

    name: str
    council: str
    kind: ServiceKind
    classes: tuple
    version: str
    versions: tuple = ()


@attrs.frozen
class Environment:
    """A checked environment document.

    Parameters
    ----------
    name : str
        For example ``trial`` or ``production``.
    budget_per_hour : float
        Shared budget, in the currency of the cloud's prices, per hour.
    capacity_tokens_per_s : float
        Shared rate that admission divides, in tokens a second.
    councils, accounts, services : dict
        By name.
    version : int
        Version of the object that holds the document; 0 when unknown.
    digest : str
        Hexadecimal xxh3-128 of the document's bytes.
    """

    name: str
    budget_per_hour: float
    capacity_tokens_per_s: float
    councils: dict = attrs.field(factory=dict)
    accounts: dict = attrs.field(factory=dict)
    services: dict = attrs.field(factory=dict)
    version: int = 0
    digest: str = ""
