"""Division of a process's memory and descriptors among its servers."""

import attrs

__all__ = [
    "DEFAULT_MEMORY_BYTES",
    "MIB",
    "MemoryShares",
    "PAGE_BYTES",
    "compute_connections",
]

MIB = 1024 * 1024
"""Number of bytes in a mebibyte."""

DEFAULT_MEMORY_BYTES = 256 * MIB
"""Memory of a process whose settings name none, in bytes."""

CALLER_SHARE = 1 / 5
"""Share of the memory for the requests of callers."""

PEER_SHARE = 1 / 16
"""Share of the memory for requests that peers forward, and for their
messages, each."""

MAX_CALLER_SHARE = 1 / 2
"""Share of the memory that the requests of callers may take so that one of
the largest size can be served."""

MAX_PEER_SHARE = 1 / 4
"""Share of the memory that forwarded requests may take so that one of the
largest size can be served."""

PAGE_BYTES = 1 * MIB
"""Memory for the requests of this instance's own pages, in bytes."""

MIN_CONNECTIONS = 100
"""Smallest limit on the connections of callers."""

UNREAD_SHARE = 1 / 16
"""Share of the memory for answers that callers, and peers, do not read."""

CONNECTION_BYTES = 40 * 1024
"""Memory of a connection of a caller that holds no request, in bytes.

It is the one of its objects, of what its receive buffer may hold, and of what
was read and waits behind two requests.
"""

CONNECTION_SHARE = 1 / 3
"""Share of the memory for the connections of callers."""


@attrs.frozen
class MemoryShares:
    """Memory that each server of a process may hold for its clients.

    Parameters
    ----------
    memory_bytes : int
        Memory of the process, in bytes.
    """

    memory_bytes: int = DEFAULT_MEMORY_BYTES

    @property
    def unread_bytes(self):
        """Memory for the unread answers of one server, in bytes."""
        return int(self.memory_bytes * UNREAD_SHARE)

    def compute_callers(self, request_bytes):
        """Return the memory for callers' requests, in bytes.

        Parameters
        ----------
        request_bytes : int
            Memory of one request of the largest size, in bytes.
        """
        share = int(self.memory_bytes * CALLER_SHARE)
        most = int(self.memory_bytes * MAX_CALLER_SHARE)
        return max(share, min(most, 2 * request_bytes))

    def compute_peers(self, request_bytes=0):
        """Return the memory for what peers send to one server, in bytes.

        Parameters
        ----------
        request_bytes : int
            Memory of one request of the largest size, in bytes.
        """
        share = int(self.memory_bytes * PEER_SHARE)
        most = int(self.memory_bytes * MAX_PEER_SHARE)
        return max(share, min(most, 2 * request_bytes))


def compute_connections(memory_bytes, max_connections):
    """Return the largest number of connections of callers.

    Parameters
    ----------
    memory_bytes : int
        Memory of the process, in bytes.
    max_connections : int
        Largest number that the descriptors or the threads allow.
    """
    by_memory = int(memory_bytes * CONNECTION_SHARE) // CONNECTION_BYTES
    return max(MIN_CONNECTIONS, min(by_memory, max_connections))
