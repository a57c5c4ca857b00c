"""Routes, services and client accounts that are in force together."""

import enum
import functools

import attrs

__all__ = [
    "Catalogue",
    "ClientAccount",
    "EntryLimits",
    "ModelSpec",
    "Quota",
    "QuotaUnit",
    "RequestKind",
    "Route",
    "Scaling",
    "ServiceShare",
    "ServiceSpec",
]


class RequestKind(enum.Enum):
    """What may be repeated, and how the answer comes."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable stream"

    @property
    def is_stream(self):
        """Whether the answer is a stream of events."""
        return self in (RequestKind.STREAM, RequestKind.RESUMABLE_STREAM)

    @property
    def is_repeatable(self):
        """Whether a request may run more than once."""
        return self in (RequestKind.IDEMPOTENT, RequestKind.RESUMABLE_STREAM)


@attrs.frozen
class ServiceShare:
    """Part of a route's requests that one service answers.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Its weight among the shares of the route.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """Requests that are answered in the same way.

    Parameters
    ----------
    name : str
        Its name.
    host : str
        Host that its requests name, in lower case.
    path_prefix : str
        Beginning of their paths, with a slash at both ends.
    kind : RequestKind
        What may be repeated.
    shares : tuple of ServiceShare
        The services behind it.
    timeout_s : float
        Longest time that a request may take, in seconds.
    goal_s : float
        Time within which an answer is of full use, in seconds.
    priority : int
        Its rank; 0 is the most urgent.
    max_endpoints : int
        Most endpoints that may run one request.
    is_public : bool
        Whether it needs no key.
    gap_goal_s : float
        Longest pause between events that is of full use, in seconds; 0
        where the answer is no stream.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    shares: tuple
    timeout_s: float
    goal_s: float
    priority: int = 0
    max_endpoints: int = 1
    is_public: bool = False
    gap_goal_s: float = 0.0


@attrs.frozen
class ModelSpec:
    """What the engines of a model service can do.

    Parameters
    ----------
    slots : int
        Requests in one batch.
    cache_tokens : int
        Tokens that running requests and cached prompts share.
    can_move : bool
        Whether a running request can be copied to another engine.
    """

    slots: int
    cache_tokens: int
    can_move: bool = False


@attrs.frozen
class Scaling:
    """How the number of endpoints of a service may be set.

    Parameters
    ----------
    least, most : int
        Bounds for one failure domain, of both markets together.
    boot_s : float
        Time until a new endpoint serves, in seconds.
    reclaimable_price : float or None
        Price of a reclaimable endpoint as a part of the on-demand one;
        None when there are none.
    domain_prices : dict
        Failure domain to the price of an on-demand endpoint there, for a
        second.
    """

    least: int
    most: int
    boot_s: float
    reclaimable_price: float | None
    domain_prices: dict


@attrs.frozen
class ServiceSpec:
    """One service and its endpoints' common properties.

    Parameters
    ----------
    name : str
        Its name.
    max_connections : int
        Connections that one endpoint accepts from all callers.
    model : ModelSpec or None
        What its engines can do; None for a plain service.
    scaling : Scaling or None
        How its size may be set; None when it is fixed.
    """

    name: str
    max_connections: int
    model: ModelSpec | None = None
    scaling: Scaling | None = None


class QuotaUnit(enum.Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@attrs.frozen
class Quota:
    """Limit of a client account over all instances together.

    Parameters
    ----------
    rate_per_s : float
        Refill, in units a second; 0 for no limit.
    burst : float
        Size of the bucket, in units.
    unit : QuotaUnit
        What is counted.
    default_tokens : float
        Tokens of a request that does not tell its size.
    """

    rate_per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    default_tokens: float = 0.0

    @property
    def is_limited(self):
        """Whether there is a limit at all."""
        return self.rate_per_s > 0


@attrs.frozen
class ClientAccount:
    """A client account and the keys that it calls with.

    Parameters
    ----------
    name : str
        Its name.
    keys : frozenset of str
        Its keys.
    quota : Quota
        Its limit.
    priority : int or None
        Its rank, which goes before that of the route; None to take the
        route's.
    """

    name: str
    keys: frozenset
    quota: Quota
    priority: int | None = None


@attrs.frozen
class EntryLimits:
    """What a caller may send and how long it may stay idle.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest head and body of a request, in bytes.
    idle_timeout_s : float
        Time after which an idle connection is closed, in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    idle_timeout_s: float = 15.0


@attrs.frozen(slots=False)
class Catalogue:
    """Everything that callers can ask for, as of one version.

    Parameters
    ----------
    number : int
        Number that the operator gave this version; only grows.
    routes : tuple of Route
        Every route.
    services : dict
        Service name to its ServiceSpec.
    accounts : tuple of ClientAccount or None
        The client accounts; None when no key is needed at all.
    limits : EntryLimits
        What callers may send.
    digest : str
        Digest of the bytes that it was read from.
    """

    number: int
    routes: tuple
    services: dict
    accounts: tuple | None = None
    limits: EntryLimits = EntryLimits()
    digest: str = ""

    @functools.cached_property
    def _routes_by_place(self):
        """Route of each host and path prefix."""
        return {(each.host, each.path_prefix): each for each in self.routes}

    @functools.cached_property
    def _accounts_by_key(self):
        """Client account of each key."""
        return {
            key: account
            for account in self.accounts or ()
            for key in account.keys
        }

    def find_route(self, host, path):
        """Return the route with the longest prefix of a path, or None.

        Parameters
        ----------
        host : str
            Host as the caller names it, with or without a port.
        path : str
            Path as the caller sent it, without its query.
        """
        name = host.partition(":")[0].lower()
        end = path.rfind("/")
        while end >= 0:
            route = self._routes_by_place.get((name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_account(self, key):
        """Return the client account that holds a key, or None."""
        return self._accounts_by_key.get(key)
