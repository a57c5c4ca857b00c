"""What routing is asked and what it answers."""

import dataclasses

import attrs

from mulberryhollow import errors
from mulberryhollow.state import environment

__all__ = ["Chosen", "NoEndpoint", "PromptChain", "RouteRequest"]


@attrs.frozen
class PromptChain:
    """A prompt as the parts that endpoints keep in their caches.

    Parameters
    ----------
    hashes : tuple of int
        Hash of each prefix of whole parts, the shortest first.
    ends : tuple of int
        Tokens of each of these prefixes.
    tokens : int
        Tokens of the whole prompt.
    shared_parts : int
        Leading parts that other requests are likely to have too; 0 where
        that is not known.
    """

    hashes: tuple = ()
    ends: tuple = ()
    tokens: int = 0
    shared_parts: int = 0

    @property
    def affinity(self):
        """Hash by which requests with the same parts meet, or None."""
        return (
            self.hashes[self.shared_parts - 1] if self.shared_parts else None
        )

    def count_tokens(self, parts):
        """Return the tokens of that many leading parts."""
        return self.ends[parts - 1] if parts else 0


@attrs.frozen
class RouteRequest:
    """A request as far as routing needs to know it.

    Parameters
    ----------
    request_id : str
        Its id; the same id draws the same version again.
    service : str
        The service that it calls.
    version_shares : dict
        Version name to its share of the traffic; shares need not add up
        to one, and a version with share 0 gets nothing.
    prompt : str
        Prompt of a model request; empty for a plain service.
    request_class : RequestClass
        Its class.
    chain : PromptChain or None
        Its prompt, where the caller names the parts; None to take the
        parts from `prompt`.
    deadline_s : float
        When its caller stops waiting, in seconds of the clock.
    idempotent : bool
        Whether it may run twice; if not, it never probes an endpoint
        while another one can take it.
    """

    request_id: str
    service: str
    version_shares: dict
    prompt: str = ""
    request_class: environment.RequestClass = environment.RequestClass.CHAT
    deadline_s: float = float("inf")
    idempotent: bool = True
    chain: PromptChain | None = None


@dataclasses.dataclass(frozen=True)
class Chosen:
    """The endpoint that runs the request.

    Parameters
    ----------
    endpoint_id, address, version : str
        Where it goes.
    cost : float
        For `EndpointView.start`: time that its prompt is expected to
        keep the endpoint busy, in seconds.
    cached_tokens, computed_tokens : int
        Prompt tokens expected in its cache and those to be computed.
    expected_first_token_s : float
        Expected time to the first token, in seconds.
    hashes : tuple of int
        For `PrefixIndex.insert` once the request is sent.
    identity : str
        The id by which the endpoint knows itself.
    compute_s : float
        Time that its prompt is expected to take there, in seconds.
    load : float
        Requests estimated there at the time of the choice.
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
    load: float = 0.0


@dataclasses.dataclass(frozen=True)
class NoEndpoint:
    """No endpoint can take the request now.

    Parameters
    ----------
    refusal : Refusal
        The final answer, should the request not be tried again.
    """

    refusal: errors.Refusal
