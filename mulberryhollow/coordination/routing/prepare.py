"""Properties of a request that are computed once for all endpoints."""

import attrs

from mulberryhollow.coordination.routing import request as requests
from mulberryhollow.state import prefixes as prefix_index

__all__ = ["PreparedRequest"]

# Minimum remaining time used to score a first token, in seconds.
MIN_REMAINING_S = 0.05

AFFINE_CACHED_FRACTION = 0.7
"""Fraction of the shared tokens that the affine endpoint is assumed to cache.

The affine endpoint is the one that consistent hashing of the shared prompt
parts selects on every node. Other requests with these parts were sent there,
unless it was busy.
"""


@attrs.frozen
class PreparedRequest:
    """A request with the values computed from it once for all candidates."""

    request: requests.RouteRequest
    prefixes: prefix_index.PrefixIndex | None
    now_s: float
    remaining_s: float
    chain: requests.PromptChain
    holders: dict
    affine: object = None

    @classmethod
    def build(cls, request, prefixes, now_s):
        """Hash the prompt and look up the endpoints that cache prefixes."""
        chain = request.chain
        if chain is None:
            chain = _chain_words(request.prompt, prefixes is not None)
        is_matched = prefixes is not None and bool(chain.hashes)
        return cls(
            request,
            prefixes,
            now_s,
            max(MIN_REMAINING_S, request.deadline_s - now_s),
            chain,
            prefixes.match_hashes(chain.hashes) if is_matched else {},
        )

    @property
    def tokens(self):
        """Number of tokens in the prompt."""
        return self.chain.tokens

    def find_affine(self, group):
        """Return a copy with the affine endpoint of the shared parts set."""
        key = self.chain.affinity
        if key is None:
            return self
        return PreparedRequest(
            self.request,
            self.prefixes,
            self.now_s,
            self.remaining_s,
            self.chain,
            self.holders,
            group.find_affine(key),
        )

    def count_cached(self, endpoint_id):
        """Return the number of prompt tokens an endpoint should cache."""
        chain = self.chain
        parts = self.holders.get(endpoint_id)
        if parts is None:
            if self.prefixes is None or not chain.hashes:
                return 0
            parts = self.prefixes.count_blocks(endpoint_id, chain.hashes)
        cached = chain.ends[parts - 1] if parts else 0
        affine = self.affine
        if affine is not None and affine.endpoint.id == endpoint_id:
            shared = chain.count_tokens(chain.shared_parts)
            cached = max(cached, int(AFFINE_CACHED_FRACTION * shared))
        return cached


def _chain_words(prompt, is_hashed):
    """Return a text as a chain of word blocks, a word counted as a token."""
    if not prompt:
        return requests.PromptChain()
    hashes = prefix_index.hash_prefixes(prompt) if is_hashed else ()
    ends = tuple(
        count * prefix_index.BLOCK_WORDS for count in range(1, len(hashes) + 1)
    )
    tokens = max(ends[-1] if ends else 0, prompt.count(" ") + 1)
    return requests.PromptChain(hashes, ends, tokens)
