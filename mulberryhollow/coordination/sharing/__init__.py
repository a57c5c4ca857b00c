"""Two-level aggregation of amounts, with a collector in each domain."""

from mulberryhollow.coordination.sharing.aggregates import AggregateTable
from mulberryhollow.coordination.sharing.aggregates import Amounts
from mulberryhollow.coordination.sharing.aggregates import rank_collectors
from mulberryhollow.coordination.sharing.aggregates import Total
from mulberryhollow.coordination.sharing.collectors import choose_collectors
from mulberryhollow.coordination.sharing.collectors import Collectors

__all__ = [
    "AggregateTable",
    "Amounts",
    "Collectors",
    "Total",
    "choose_collectors",
    "rank_collectors",
]
