"""Messages between peers and the actions that a node returns."""

import dataclasses

import attrs

__all__ = ["DEFAULT_ROOM_BYTES", "AskProbe", "Exchange", "SendExchange"]

DEFAULT_ROOM_BYTES = 1_024
"""Room of a peer that has not told its own, in bytes."""


@attrs.frozen
class Exchange:
    """One direction of an exchange between two peers.

    Parameters
    ----------
    digest : int
        Digest of the sender's lasting facts; equal for equal facts.
    facts : tuple of Fact
        Facts that the receiver may lack.
    offers : tuple of FactId
        Facts too large to be sent unasked.
    wants : tuple of FactId
        Facts that the sender lacks and the receiver offered.
    digests : tuple of int
        Digests by bucket, when the digests differed; the receiver sends the
        facts of the buckets that differ.
    room_bytes : int
        What facts that are not urgent may take in the next message to the
        sender, in bytes.
    """

    digest: int
    facts: tuple = ()
    offers: tuple = ()
    wants: tuple = ()
    digests: tuple = ()
    room_bytes: int = DEFAULT_ROOM_BYTES


@dataclasses.dataclass(frozen=True)
class SendExchange:
    """Send an exchange to a peer.

    Parameters
    ----------
    target : str
        Instance id of the peer.
    exchange : Exchange
        What to send.
    """

    target: str
    exchange: Exchange


@dataclasses.dataclass(frozen=True)
class AskProbe:
    """Ask a helper whether it reaches a member that did not answer.

    Parameters
    ----------
    helper, target : str
        Instance ids.
    """

    helper: str
    target: str
