"""Limits on what a server holds for its clients, and which of them yield."""

from mulberryhollow.coordination.intake.buffers import RequestBuffers
from mulberryhollow.coordination.intake.connections import choose_connections
from mulberryhollow.coordination.intake.connections import ConnectionState
from mulberryhollow.coordination.intake.shares import compute_connections
from mulberryhollow.coordination.intake.shares import DEFAULT_MEMORY_BYTES
from mulberryhollow.coordination.intake.shares import MemoryShares
from mulberryhollow.coordination.intake.shares import MIB
from mulberryhollow.coordination.intake.shares import PAGE_BYTES

__all__ = [
    "ConnectionState",
    "DEFAULT_MEMORY_BYTES",
    "MIB",
    "MemoryShares",
    "PAGE_BYTES",
    "RequestBuffers",
    "choose_connections",
    "compute_connections",
]
