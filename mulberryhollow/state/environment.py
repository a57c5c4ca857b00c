"""Typed data model of the environment document."""

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
    """Kind of a service's endpoints: model engines or plain services."""

    MODEL = "model"
    PLAIN = "plain"


@attrs.frozen
class Council:
    """A group of operators that owns sections of the document.

    Parameters
    ----------
    name : str
        Name of the council.
    operator_key_hash : str
        Salted hash of the key that the council's operators sign in with.
    """

    name: str
    operator_key_hash: str = ""


@attrs.frozen
class Account:
    """A client account.

    Parameters
    ----------
    name : str
        Name of the account.
    council : str
        Name of the council that owns the account's section.
    key_hash : str
        ``salt:digest`` of the account's API key, hexadecimal.
    weight : float
        Weight of the account in the shared budget, above zero.
    services : tuple of str
        Names of the services that the account may call.
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
        Name of the version, unique within the service.
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
        Name of the service.
    council : str
        Name of the council that owns the service's section.
    kind : ServiceKind
        Kind of the service's endpoints.
    classes : tuple of RequestClass
        Request classes that the service accepts.
    version : str
        Name of the version in use when no move is in progress.
    versions : tuple of Version
        All declared versions.
    """

    name: str
    council: str
    kind: ServiceKind
    classes: tuple
    version: str
    versions: tuple = ()


@attrs.frozen
class Environment:
    """A validated environment document.

    Parameters
    ----------
    name : str
        Name of the environment, for example ``trial`` or ``production``.
    budget_per_hour : float
        Shared budget per hour, in the currency of the cloud's prices.
    capacity_tokens_per_s : float
        Total rate that admission control divides, in tokens per second.
    councils, accounts, services : dict
        Councils, accounts and services by name.
    version : int
        Version of the object that holds the document; 0 if unknown.
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

    @property
    def number(self):
        """None: its author assigns no number, see `Catalogue.number`."""
        return None
