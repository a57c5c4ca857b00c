"""Input and results of routing."""

import dataclasses

import attrs

from mulberryhollow.coordination import work
from mulberryhollow import errors
from mulberryhollow.state import environment

__all__ = ["Chosen", "NoEndpoint", "Permit", "PromptChain", "RouteRequest"]


@attrs.frozen
class PromptChain:
    """A prompt as a chain of the parts that endpoints cache.

    Parameters
    ----------
    hashes : tuple of int
        Hash of each prefix of whole parts, the shortest first.
    ends : tuple of int
        Number of tokens in each of these prefixes.
    tokens : int
        Number of tokens in the whole prompt.
    shared_parts : int
        Number of leading parts that are likely to occur in other requests
        too; 0 where this is unknown.
    """

    hashes: tuple = ()
    ends: tuple = ()
    tokens: int = 0
    shared_parts: int = 0

    @property
    def affinity(self):
        """Hash of the shared parts for affinity routing, or None."""
        return (
            self.hashes[self.shared_parts - 1] if self.shared_parts else None
        )

    def count_tokens(self, parts):
        """Return the number of tokens in the given number of parts."""
        return self.ends[parts - 1] if parts else 0


@attrs.frozen
class Permit:
    """Right to send one request to an endpoint that limits them.

    Parameters
    ----------
    name : str
        Unique name.
    owner : str
        Instance to which it is given back when the request has ended; empty
        if it is not.
    """

    name: str
    owner: str = ""


@attrs.frozen
class RouteRequest:
    """The properties of a request that affect routing.

    Parameters
    ----------
    request_id : str
        Id of the request; the same id selects the same version again.
    service : str
        The service that the request calls.
    version_shares : dict
        Version name to its share of the traffic; shares need not add up
        to one, and a version with share 0 gets no requests.
    prompt : str
        Prompt of a model request; empty for a plain service.
    request_class : RequestClass
        Class of the request.
    chain : PromptChain or None
        The prompt, where the caller declares its parts; None to split
        `prompt` into parts.
    deadline_s : float
        When the caller stops waiting, in seconds of the clock.
    idempotent : bool
        Whether the request may be executed twice; if not, it never probes
        an endpoint whose circuit breaker is half open while another one
        is available.
    preferred : str
        Id of the endpoint that another instance has chosen, which is taken
        if it accepts new work; empty for none.
    permit : Permit or None
        Permit that this instance has drawn for that endpoint.
    avoided : frozenset of str
        Ids of endpoints whose rate limit leaves no room for the request.
    account : str
        Client account that the request counts for.
    allowed_regions : frozenset of str or None
        Regions of the endpoints that may run it; None for any region.
    max_output_tokens, hinted_output_tokens : int
        Maximum length of the answer, and the caller's own estimate of it, in
        tokens; 0 where they are not known.
    """

    request_id: str
    service: str
    version_shares: dict
    prompt: str = ""
    request_class: environment.RequestClass = environment.RequestClass.CHAT
    deadline_s: float = float("inf")
    idempotent: bool = True
    chain: PromptChain | None = None
    preferred: str = ""
    permit: Permit | None = None
    avoided: frozenset = frozenset()
    account: str = ""
    allowed_regions: frozenset | None = None
    max_output_tokens: int = 0
    hinted_output_tokens: int = 0


@dataclasses.dataclass(frozen=True)
class Chosen:
    """The endpoint selected for a request.

    Parameters
    ----------
    endpoint_id, address, version : str
        The endpoint and its version.
    cost : float
        Argument of `EndpointView.start`: time that the prompt, and those
        of peers that make the same choice, are expected to keep the
        endpoint busy, in seconds.
    cached_tokens, computed_tokens : int
        Prompt tokens expected in the endpoint's cache, and prompt tokens
        to be computed.
    expected_first_token_s : float
        Expected time to the first token, in seconds.
    hashes : tuple of int
        Argument of `PrefixIndex.insert` once the request is sent.
    identity : str
        Id that the endpoint gives itself.
    compute_s : float
        Expected time to compute the prompt at the endpoint, in seconds.
    demand_s : float
        What the prompt adds to the demand for endpoints, in seconds at the
        fastest endpoints of the service.
    load : float
        Estimated requests at the endpoint at the time of the choice.
    rate_per_s : float or None
        Rate limit that the endpoint names, per second; None for none.
    brittle_rejections : int or None
        Rejections in a second that the endpoint bears; None when it is not
        known to be brittle.
    slots : int
        Requests that the endpoint runs at once.
    hold_s : float
        Time that the request is expected to stay at the endpoint, in seconds;
        0 where placement does not estimate it.
    wait_s : float
        Time of it for which other requests go before, in seconds.
    memory_tokens : float
        Expected use of the endpoint's memory, in tokens.
    features : RequestFeatures or None
        Inputs of that estimate; None without one.
    slowness : float
        Slowness of the endpoint that was expected.
    age_s : float
        Age of the count of other instances' requests there, in seconds.
    is_cold : bool
        Whether the endpoint is cold and its requests are limited.
    """

    endpoint_id: str
    address: str
    version: str
    cost: float = 0.0
    cached_tokens: int = 0
    computed_tokens: int = 0
    expected_first_token_s: float = 0.0
    hashes: tuple = ()
    identity: str = ""
    compute_s: float = 0.0
    demand_s: float = 0.0
    load: float = 0.0
    rate_per_s: float | None = None
    brittle_rejections: int | None = None
    slots: int = 1
    hold_s: float = 0.0
    wait_s: float = 0.0
    memory_tokens: float = 0.0
    features: work.RequestFeatures | None = None
    slowness: float = 1.0
    age_s: float = 0.0
    is_cold: bool = False

    @property
    def needs_permit(self):
        """Whether a request to the endpoint needs a permit."""
        limits = self.rate_per_s, self.brittle_rejections
        return self.is_cold or limits != (None, None)


@dataclasses.dataclass(frozen=True)
class NoEndpoint:
    """No endpoint is available for the request.

    Parameters
    ----------
    refusal : Refusal
        The final answer if the request is not retried.
    """

    refusal: errors.Refusal
