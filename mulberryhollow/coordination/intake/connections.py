"""Choice of the connections that a server closes for others."""

import heapq

import attrs

__all__ = ["ConnectionState", "choose_connections"]

STALLED_AFTER_S = 1.0
"""Time without a byte after which a partial message has stalled, in s."""

AWAITED_S = 2.0
"""Time in which a client that has just connected sends its first byte, in s.

A lost packet is sent again after one second.
"""

BATCH_SHARE = 1 / 64
"""Share of the connections that are closed at once.

Room for many more is made at once, so that the search costs little for each
connection accepted.
"""


@attrs.frozen
class ConnectionState:
    """State of a connection that may be closed for others.

    Parameters
    ----------
    handle : object
        The connection.
    idle_s : float
        Time since its latest byte, or since it was accepted, in seconds.
    is_partial : bool
        Whether a request has arrived, or an answer was read, in part.
    has_sent : bool
        Whether it has ever sent a byte.
    is_refused : bool
        Whether its request was refused, so that it is about to end.
    is_answering : bool
        Whether a request is being answered, with another one behind it.
    """

    handle: object
    idle_s: float
    is_partial: bool
    has_sent: bool
    is_refused: bool
    is_answering: bool = False


def choose_connections(states, limit):
    """Return the handles of the connections to close for others.

    Parameters
    ----------
    states : iterable of ConnectionState
        Connections that may be closed.
    limit : int
        Largest number of connections of the server.

    Notes
    -----
    Refused connections go first, then stalled requests and answers, then
    clients that have connected and sent nothing, then connections between two
    requests; of each, the ones that are silent for longest. A client finds a
    connection between two requests closed before any of its next request was
    read, so that it can send it on another one. Then clients go that send
    their next request before they have the last answer: a few of them could
    use all connections for as long as they like. New connections, and
    requests and answers that make progress, are the last.
    """
    count = max(1, int(limit * BATCH_SHARE))
    chosen = heapq.nsmallest(count, states, key=_rank)
    return [each.handle for each in chosen]


def _rank(state):
    """Return the sort key of a connection: the first is closed first."""
    if state.is_answering:
        order = 4
    elif state.is_refused:
        order = 0
    elif state.is_partial and state.idle_s >= STALLED_AFTER_S:
        order = 1
    elif not state.has_sent and state.idle_s >= AWAITED_S:
        order = 2
    elif state.has_sent and not state.is_partial:
        order = 3
    else:
        order = 5
    return order, -state.idle_s
