"""Codec of aggregate reports between instances and collectors.

A collector aggregates the amounts of the instances of its failure domain
and exchanges the total with the collectors of the other domains.
"""

import json
import zlib

import attrs

from mulberryhollow.coordination import sharing

__all__ = ["AggregateReport", "decode_report", "encode_report"]

_COMPRESSION_LEVEL = 1

_OPTIONAL_TABLES = ("work_times", "room")
"""Tables that are omitted while empty, since builds of level 0 reject them."""


@attrs.frozen
class AggregateReport:
    """Report of an instance or a collector, and the answer to a report.

    Parameters
    ----------
    sender : str
        Instance id of the sender.
    failure_domain : str
        Failure domain of the sender.
    total : Total
        Amounts of the sender alone, aggregate of a failure domain, or
        aggregate of all domains.
    is_collector : bool
        Whether the total is the aggregate of a whole failure domain.
    usage : list of str
        Encoded usage counts, one for each source.
    wants_usage : bool
        Whether the sender asks for all usage counts in the answer.
    store : dict
        In a report, the revision that the sender has of each kind of stored
        objects that it asks for. In an answer, the relayed changes of these
        kinds, see `mulberryhollow.protocol.relays`.
    """

    sender: str
    failure_domain: str
    total: sharing.Total
    is_collector: bool = False
    usage: list = attrs.field(factory=list)
    wants_usage: bool = False
    store: dict = attrs.field(factory=dict)


def encode_report(report):
    """Return an aggregate report as compressed JSON."""
    fields = attrs.asdict(report)
    amounts = fields["total"]["amounts"]
    for name in _OPTIONAL_TABLES:
        if not amounts[name]:
            del amounts[name]
    text = json.dumps(fields, separators=(",", ":"))
    return zlib.compress(text.encode(), _COMPRESSION_LEVEL)


def decode_report(data):
    """Return the aggregate report in data.

    Raises
    ------
    ValueError
        When the data is malformed.
    """
    try:
        fields = json.loads(zlib.decompress(data))
        total = fields.pop("total")
        amounts = sharing.Amounts(**total["amounts"])
        return AggregateReport(
            total=sharing.Total(amounts, int(total["count"])), **fields
        )
    except (zlib.error, KeyError, TypeError) as error:
        raise ValueError(f"malformed aggregate report: {error!r}") from error
