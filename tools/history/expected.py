"""Answers that the interface page asks for, worked out anew."""

import xxhash

__all__ = ["make_result", "make_text"]

_TOKEN_RANGE = 997


def make_text(version, prompt, count):
    """Return the text of an answer of this many tokens."""
    digests = (
        xxhash.xxh32_intdigest((version + prompt + str(place)).encode())
        for place in range(count)
    )
    return "".join(f" t{digest % _TOKEN_RANGE}" for digest in digests)


def make_result(version, query):
    """Return the result of a look-up."""
    return "r" + xxhash.xxh32_hexdigest((version + query).encode())
