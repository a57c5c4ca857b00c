"""What is known of a request before it runs, and its expected work."""

import attrs

__all__ = ["RequestFeatures", "RequestWork"]


@attrs.frozen
class RequestFeatures:
    """Properties of a request from which its work is estimated.

    Parameters
    ----------
    service, route, account : str
        Service, route and client account of the request.
    prompt_tokens, cached_tokens : int
        Tokens of the prompt, and those of them that the endpoint is expected
        to have cached; 0 at a plain service.
    max_output_tokens : int
        Maximum length of the answer that the request states, in tokens; 0
        when it states none.
    hinted_output_tokens : int
        The caller's own estimate of that length, in tokens; 0 for none.
    affinity : int or None
        Hash of the parts of the prompt that other requests share.
    """

    service: str
    route: str = ""
    account: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    max_output_tokens: int = 0
    hinted_output_tokens: int = 0
    affinity: int | None = None

    def set_cached(self, cached_tokens):
        """Return a copy with another number of cached tokens."""
        return RequestFeatures(
            self.service,
            self.route,
            self.account,
            self.prompt_tokens,
            cached_tokens,
            self.max_output_tokens,
            self.hinted_output_tokens,
            self.affinity,
        )


@attrs.frozen
class RequestWork:
    """Expected work of a request at an endpoint of average speed.

    Parameters
    ----------
    prompt_s : float
        Time that the endpoint takes for the prompt, in seconds; for a plain
        service, the time that the request holds a slot.
    output_s : float
        Time from the first token to the end of the answer, in seconds.
    high_s : float
        High quantile of the sum of both, in seconds.
    memory_tokens, high_memory_tokens : float
        Tokens of prompt and answer that occupy the endpoint's memory:
        expected, and a high quantile.
    """

    prompt_s: float
    output_s: float = 0.0
    high_s: float = 0.0
    memory_tokens: float = 0.0
    high_memory_tokens: float = 0.0

    @property
    def total_s(self):
        """Expected time at the endpoint, in seconds."""
        return self.prompt_s + self.output_s
