"""Gossip messages between peers and the actions that a node returns."""

import dataclasses

import attrs

__all__ = ["DEFAULT_ROOM_BYTES", "AskProbe", "Exchange", "SendExchange"]

DEFAULT_ROOM_BYTES = 1_024
"""Receive window assumed for a peer that has not sent one, in bytes."""


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
        Facts that are too large to be sent without a request.
    wants : tuple of FactId
        Facts that the sender requests from those that the receiver offered.
    digests : tuple of int
        Digests by bucket, sent when the digests of both peers differ; the
        receiver offers the facts of the buckets that differ.
    room_bytes : int
        Receive window of the sender: maximum size of the non-urgent facts in
        the next message to the sender, in bytes.
    """

    digest: int
    facts: tuple = ()
    offers: tuple = ()
    wants: tuple = ()
    digests: tuple = ()
    room_bytes: int = DEFAULT_ROOM_BYTES


@dataclasses.dataclass(frozen=True)
class SendExchange:
    """Action: send an exchange to a peer.

    Parameters
    ----------
    target : str
        Instance id of the peer.
    exchange : Exchange
        The message to send.
    """

    target: str
    exchange: Exchange


@dataclasses.dataclass(frozen=True)
class AskProbe:
    """Action: ask a helper to probe a member that did not answer.

    Parameters
    ----------
    helper, target : str
        Instance ids of the helper and of the member to probe.
    """

    helper: str
    target: str
