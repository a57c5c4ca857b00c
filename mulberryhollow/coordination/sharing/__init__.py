"""Aggregation of amounts over all instances by a collector per domain."""

from mulberryhollow.coordination.sharing.sums import Amounts
from mulberryhollow.coordination.sharing.sums import rank_collectors
from mulberryhollow.coordination.sharing.sums import SumTable
from mulberryhollow.coordination.sharing.sums import Total

__all__ = ["Amounts", "SumTable", "Total", "rank_collectors"]
