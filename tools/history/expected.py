"""Expected answers by the rule of the interface page.

The rule is implemented here apart from the stand-ins, so that a fault in
either implementation shows as a difference.
"""

import xxhash

__all__ = ["make_result", "make_text"]

_DISTINCT_TOKENS = 997


def make_text(version, prompt, count):
    """Return the text of an answer with this number of tokens."""
    digests = (
        xxhash.xxh32_intdigest((version + prompt + str(index)).encode())
        for index in range(count)
    )
    return "".join(f" t{digest % _DISTINCT_TOKENS}" for digest in digests)


def make_result(version, query):
    """Return the result of a look-up."""
    return "r" + xxhash.xxh32_hexdigest((version + query).encode())
