"""Routes, services and client accounts of one active configuration."""

import collections
import enum
import functools
import itertools

import attrs

__all__ = [
    "Catalogue",
    "ClientAccount",
    "ColdStart",
    "IngressLimits",
    "ModelSpec",
    "Quota",
    "QuotaUnit",
    "RequestKind",
    "Route",
    "Scaling",
    "ServiceShare",
    "ServiceSpec",
]


PATIENT_GOAL_RATIO = 3.0
"""Ratio of the goals of two routes from which one can wait for the other.

While a request of the less urgent route waits for its goal, the more urgent
one is served several times.
"""


class RequestKind(enum.Enum):
    """Retry safety and response type of the requests of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable stream"

    @property
    def is_stream(self):
        """Whether the response is a stream of events."""
        return self in (RequestKind.STREAM, RequestKind.RESUMABLE_STREAM)

    @property
    def is_repeatable(self):
        """Whether a request may be executed more than once."""
        return self in (RequestKind.IDEMPOTENT, RequestKind.RESUMABLE_STREAM)


@attrs.frozen
class ServiceShare:
    """Share of a route's requests that is sent to one service.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Weight relative to the other shares of the route.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """Rules for the requests of one host and path prefix.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Host name of the requests, in lower case.
    path_prefix : str
        Prefix of the request paths, with a slash at both ends.
    kind : RequestKind
        Retry safety and response type.
    shares : tuple of ServiceShare
        Services that the requests are distributed to.
    timeout_s : float
        Maximum duration of a request, in seconds.
    goal_s : float
        Latency goal of a response, in seconds.
    priority : int
        Priority of the requests; 0 is the most urgent.
    max_endpoints : int
        Maximum number of endpoints that may execute one request.
    is_public : bool
        Whether requests are accepted without a key.
    gap_goal_s : float
        Latency goal of a stream: longest pause between two events, in
        seconds; 0 if the response is not a stream.
    allowed_regions : frozenset of str or None
        Regions in which the requests may be served; None for any region.
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
    allowed_regions: frozenset | None = None


@attrs.frozen
class ModelSpec:
    """Capabilities of the engines of a model service.

    Parameters
    ----------
    slots : int
        Maximum number of requests in one batch.
    cache_tokens : int
        Size of the cache shared by running requests and cached prompts, in
        tokens.
    can_move : bool
        Whether a running request can be migrated to another engine.
    """

    slots: int
    cache_tokens: int
    can_move: bool = False


@attrs.frozen
class Scaling:
    """Autoscaling bounds and prices of a service's endpoints.

    Parameters
    ----------
    min_per_domain, max_per_domain : int
        Minimum and maximum number of endpoints per failure domain, counting
        reclaimable and on-demand endpoints together.
    boot_s : float
        Time from the start of an endpoint until it serves, in seconds.
    reclaimable_price : float or None
        Price of a reclaimable endpoint as a fraction of the on-demand price;
        None if reclaimable endpoints are not offered.
    domain_prices : dict
        Price of an on-demand endpoint per second, by failure domain.
    """

    min_per_domain: int
    max_per_domain: int
    boot_s: float
    reclaimable_price: float | None
    domain_prices: dict


@attrs.frozen
class ColdStart:
    """Limit on requests to the cold endpoints of a service.

    Parameters
    ----------
    duration_s : float
        Time for which an endpoint stays cold after a start during traffic,
        in seconds; 0 if it is not known.
    rate_per_s : float
        Requests per second that a cold endpoint accepts from all instances
        together; above 0.
    """

    duration_s: float
    rate_per_s: float


@attrs.frozen
class ServiceSpec:
    """A service and the common properties of its endpoints.

    Parameters
    ----------
    name : str
        Name of the service.
    max_connections : int
        Maximum number of connections to one endpoint from all callers.
    model : ModelSpec or None
        Capabilities of the engines; None for a plain service.
    scaling : Scaling or None
        Autoscaling parameters; None if the number of endpoints is fixed.
    cold_start : ColdStart or None
        Limit of cold endpoints; None for none.
    """

    name: str
    max_connections: int
    model: ModelSpec | None = None
    scaling: Scaling | None = None
    cold_start: ColdStart | None = None


class QuotaUnit(enum.Enum):
    """Unit that a quota is expressed in."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@attrs.frozen
class Quota:
    """Token bucket of a client account, shared by all instances.

    Parameters
    ----------
    rate_per_s : float
        Refill rate, in units per second; 0 for no limit.
    burst : float
        Capacity of the bucket, in units.
    unit : QuotaUnit
        Unit of the bucket.
    default_tokens : float
        Tokens charged for a request that does not state its size.
    """

    rate_per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    default_tokens: float = 0.0

    @property
    def is_limited(self):
        """Whether the quota limits the account."""
        return self.rate_per_s > 0


@attrs.frozen
class ClientAccount:
    """A client account and its API keys.

    Parameters
    ----------
    name : str
        Name of the account.
    keys : frozenset of str
        API keys of the account.
    quota : Quota
        Rate limit of the account.
    priority : int or None
        Priority of the account's requests, which overrides that of the
        route; None to use the priority of the route.
    allowed_regions : frozenset of str or None
        Regions in which the account's requests may be served; None for any
        region.
    """

    name: str
    keys: frozenset
    quota: Quota
    priority: int | None = None
    allowed_regions: frozenset | None = None


@attrs.frozen
class IngressLimits:
    """Limits on the requests and connections of callers.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Maximum size of a request's header and body, in bytes.
    idle_timeout_s : float
        Time after which an idle connection is closed, in seconds.
    header_timeout_s : float
        Longest time from the first byte of a header to its end, in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    idle_timeout_s: float = 15.0
    header_timeout_s: float = 15.0


@attrs.frozen(slots=False)
class Catalogue:
    """One version of the routes, services and client accounts.

    Parameters
    ----------
    number : int
        Version number assigned by the operator; strictly increasing.
    routes : tuple of Route
        All routes.
    services : dict
        ServiceSpec of each service, by name.
    accounts : tuple of ClientAccount or None
        The client accounts; None if requests need no key at all.
    limits : IngressLimits
        Limits on requests and connections.
    digest : str
        Digest of the serialized form that the catalogue was read from.
    """

    number: int
    routes: tuple
    services: dict
    accounts: tuple | None = None
    limits: IngressLimits = IngressLimits()
    digest: str = ""

    @functools.cached_property
    def _routes_by_host_prefix(self):
        """Map from (host, path prefix) to the route."""
        return {(each.host, each.path_prefix): each for each in self.routes}

    @functools.cached_property
    def _accounts_by_key(self):
        """Map from API key to the client account."""
        return {
            key: account
            for account in self.accounts or ()
            for key in account.keys
        }

    @functools.cached_property
    def has_patient_routes(self):
        """Whether a route can wait for more urgent ones of its service.

        Its goal is then `PATIENT_GOAL_RATIO` times theirs or more. In such a
        catalogue urgency decides who is served while there is too little
        room.
        """
        routes = collections.defaultdict(list)
        for route in self.routes:
            for share in route.shares:
                routes[share.service].append(route)
        return any(
            first.priority < second.priority
            and second.goal_s >= PATIENT_GOAL_RATIO * first.goal_s > 0.0
            for group in routes.values()
            for first, second in itertools.permutations(
                {
                    (each.priority, each.goal_s): each for each in group
                }.values(),
                2,
            )
        )

    def find_route(self, host, path):
        """Return the route with the longest matching prefix, or None.

        Parameters
        ----------
        host : str
            Host header of the request, with or without a port.
        path : str
            Path of the request, without the query.
        """
        name = host.partition(":")[0].lower()
        end = path.rfind("/")
        while end >= 0:
            route = self._routes_by_host_prefix.get((name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def get_cold_rates(self):
        """Return the rate of a cold endpoint, per second, by service.

        Services without a limit are left out.
        """
        return {
            name: spec.cold_start.rate_per_s
            for name, spec in self.services.items()
            if spec.cold_start is not None
        }

    def find_account(self, key):
        """Return the client account of an API key, or None."""
        return self._accounts_by_key.get(key)
