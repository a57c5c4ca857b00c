"""Two-level aggregation of amounts, with a collector in each domain."""

from mulberryhollow.coordination.sharing.aggregates import AggregateTable
from mulberryhollow.coordination.sharing.aggregates import Amounts
from mulberryhollow.coordination.sharing.aggregates import list_collectors
from mulberryhollow.coordination.sharing.aggregates import rank_collectors
from mulberryhollow.coordination.sharing.aggregates import Total

__all__ = [
    "AggregateTable",
    "Amounts",
    "Total",
    "list_collectors",
    "rank_collectors",
]
