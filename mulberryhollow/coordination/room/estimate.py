"""Estimate of a request's work from its size alone."""

from mulberryhollow.coordination import work

__all__ = ["estimate_work"]

PROMPT_S_PER_TOKEN = 1.6e-5
"""Time to compute one prompt token, in seconds: about 60 tokens per ms."""

ATTENTION_PARITY_TOKENS = 25_000
"""Preceding tokens at which a token takes twice the time of the first one."""

OUTPUT_S_PER_TOKEN = 0.005
"""Time between two tokens of an answer, in seconds."""

DEFAULT_OUTPUT_TOKENS = 48
"""Length of an answer that states no maximum, in tokens."""

PLAIN_S = 0.06
"""Time for which a request without a prompt holds a place, in seconds."""

HIGH_FACTOR = 2.0
"""Ratio of the high quantile of the work to its mean."""


def estimate_work(features):
    """Return the RequestWork of a request with the given RequestFeatures.

    Notes
    -----
    It uses nothing learned from answers; the controller corrects a common
    error of the estimates by the observed use of the room.
    """
    if not features.prompt_tokens:
        return work.RequestWork(PLAIN_S, 0.0, HIGH_FACTOR * PLAIN_S)
    computed = max(0, features.prompt_tokens - features.cached_tokens)
    earlier = features.prompt_tokens - computed / 2.0
    prompt_s = (
        computed
        * (1.0 + earlier / ATTENTION_PARITY_TOKENS)
        * PROMPT_S_PER_TOKEN
    )
    output = features.hinted_output_tokens or DEFAULT_OUTPUT_TOKENS
    if features.max_output_tokens:
        output = min(output, features.max_output_tokens)
    high_output = features.max_output_tokens or HIGH_FACTOR * output
    output_s = output * OUTPUT_S_PER_TOKEN
    return work.RequestWork(
        prompt_s=prompt_s,
        output_s=output_s,
        high_s=HIGH_FACTOR * (prompt_s + output_s),
        memory_tokens=float(features.prompt_tokens + output),
        high_memory_tokens=float(features.prompt_tokens + high_output),
    )
