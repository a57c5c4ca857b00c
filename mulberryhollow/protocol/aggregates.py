"""Codec of aggregate reports between instances and collectors.

A collector aggregates the amounts of the instances of its failure domain
and exchanges the total with the collectors of the other domains.
"""

import json
import zlib

import attrs

from mulberryhollow.coordination import membership
from mulberryhollow.coordination import sharing
from mulberryhollow.state import decoding
from mulberryhollow.state import known_fields

__all__ = ["AggregateReport", "decode_report", "encode_report"]

_COMPRESSION_LEVEL = 1

_OPTIONAL_TABLES = (
    "room",
    "work_times",
    "speed_weights",
    "speed_sums",
    "time_weights",
    "time_sums",
)
"""Tables that are omitted while empty, since few deployments use them."""


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


def encode_report(report, level=membership.PROTOCOL_LEVEL):
    """Return an aggregate report as compressed JSON.

    Parameters
    ----------
    report : AggregateReport
        The report.
    level : int
        Lowest protocol level of the receivers. Builds of level 0 reject a
        report with a field or table that they do not know.
    """
    fields = known_fields.select_level(
        AggregateReport, attrs.asdict(report), level
    )
    amounts = known_fields.select_level(
        sharing.Amounts, fields["total"]["amounts"], level
    )
    fields["total"]["amounts"] = {
        name: table
        for name, table in amounts.items()
        if table or name not in _OPTIONAL_TABLES
    }
    text = json.dumps(fields, separators=(",", ":"))
    return zlib.compress(text.encode(), _COMPRESSION_LEVEL)


def decode_report(data):
    """Return the aggregate report in data.

    Fields and tables that a newer build adds are ignored.

    Raises
    ------
    ValueError
        When the data is malformed.
    """
    with decoding.convert_errors("aggregate report", zlib.error):
        fields = decoding.decode_json(zlib.decompress(data))
        known = known_fields.select_known(AggregateReport, fields)
        total = known.pop("total")
        tables = known_fields.select_known(sharing.Amounts, total["amounts"])
        return AggregateReport(
            total=sharing.Total(
                sharing.Amounts(**tables), int(total["count"])
            ),
            **known,
        )
