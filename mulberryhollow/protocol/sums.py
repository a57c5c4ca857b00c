"""Messages between instances and the collectors of their sums."""

import json
import zlib

import attrs

from mulberryhollow.coordination import sharing

__all__ = ["Telling", "decode_telling", "encode_telling"]

_LEVEL = 1


@attrs.frozen
class Telling:
    """What an instance or a collector tells, and what it is answered.

    Parameters
    ----------
    sender : str
        Name of the instance.
    failure_domain : str
        Its failure domain.
    total : Total
        Own amounts, the sum of a domain, or the sum over all.
    is_collector : bool
        Whether the total is that of the whole domain.
    usage : list of str
        Encoded usage counts, one for each source.
    wants_usage : bool
        Whether the answer is to hold every usage count.
    """

    sender: str
    failure_domain: str
    total: sharing.Total
    is_collector: bool = False
    usage: list = attrs.field(factory=list)
    wants_usage: bool = False


def encode_telling(telling):
    """Return a telling as bytes."""
    fields = attrs.asdict(telling)
    text = json.dumps(fields, separators=(",", ":"))
    return zlib.compress(text.encode(), _LEVEL)


def decode_telling(data):
    """Return the Telling in some bytes.

    Raises
    ------
    ValueError
        When they hold none.
    """
    try:
        fields = json.loads(zlib.decompress(data))
        total = fields.pop("total")
        amounts = sharing.Amounts(**total["amounts"])
        return Telling(
            total=sharing.Total(amounts, int(total["count"])), **fields
        )
    except (zlib.error, KeyError, TypeError) as error:
        raise ValueError(f"no telling: {error!r}") from error
