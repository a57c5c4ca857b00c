"""Cost of computing the tokens of a prompt."""

__all__ = ["compute_weighted_tokens"]

ATTENTION_PARITY_TOKENS = 25_000
"""Preceding tokens at which a token takes twice the time of the first one.

Attention to the preceding tokens then costs as much as the layers, which
holds within a factor of two for current models of 8 to 70 billion weights.
"""


def compute_weighted_tokens(tokens, computed):
    """Return the computed tokens of a prompt, weighted by their cost.

    Parameters
    ----------
    tokens : int
        Number of tokens in the whole prompt.
    computed : int
        Number of tokens at the end of the prompt that are not cached.
    """
    earlier = tokens - computed / 2.0
    return computed * (1.0 + earlier / ATTENTION_PARITY_TOKENS)
