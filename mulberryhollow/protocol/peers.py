"""Codec, signature and replay guard of envelopes between peers."""

import collections
import hashlib
import hmac
import struct

import attrs
from thrift.protocol import TCompactProtocol
from thrift.Thrift import TException
from thrift.TSerialization import deserialize
from thrift.TSerialization import serialize

from mulberryhollow.coordination.membership import messages
from mulberryhollow.protocol.gen.peer import PeerService
from mulberryhollow.protocol.gen.peer import ttypes
from mulberryhollow.state import facts

__all__ = [
    "DECODE_ERRORS",
    "EXCHANGE",
    "FRESHNESS_S",
    "REFUSED",
    "Envelope",
    "EnvelopeError",
    "PeerService",
    "ReplayGuard",
    "decode_exchange",
    "encode_exchange",
    "from_wire",
    "sign",
    "to_wire",
    "verify",
]

EXCHANGE = "exchange"
"""Topic of a gossip exchange; reserved, so no call may use it."""

REFUSED = "refused"
"""Topic of an answer that states why the request was not executed."""

FRESHNESS_S = 30.0
"""Maximum age of an envelope, and maximum clock skew, in seconds."""

SEQUENCE_WINDOW = 1_024
"""Width of the replay window, in numbers below the highest one accepted."""

MAX_SENDERS = 4_096
"""Maximum number of senders whose sequence numbers are kept."""

DECODE_ERRORS = (
    TException,
    ArithmeticError,
    AttributeError,
    EOFError,
    TypeError,
    ValueError,
)
"""Exceptions that the thrift codec raises for malformed bytes."""

_PROTOCOL_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory()


class EnvelopeError(ValueError):
    """An envelope failed verification or cannot be decoded.

    Parameters
    ----------
    kind : str
        ``signature``, ``recipient``, ``stale``, ``replayed`` or
        ``malformed``.
    reason : str
        What was wrong, for the log.
    """

    def __init__(self, kind, reason):
        super().__init__(f"{kind}: {reason}")
        self.kind = kind
        self.reason = reason


@attrs.frozen
class Envelope:
    """One signed message between two daemons.

    Parameters
    ----------
    sender : str
        Instance id of the sender.
    incarnation : int
        Incarnation number of the sender's process.
    sequence : int
        Sequence number of the message, increasing within the
        incarnation.
    sent_s : float
        Time of sending, in seconds since the Unix epoch.
    recipient : str
        Peer address of the recipient; in an answer its instance id.
    topic : str
        ``exchange``, or the topic of a call.
    payload : bytes
        The encoded content.
    reply_to : bytes
        Signature of the request that this envelope answers; empty in a
        request.
    mac : bytes
        HMAC-SHA-256 over all fields above; empty before `sign`.
    """

    sender: str
    incarnation: int
    sequence: int
    sent_s: float
    recipient: str
    topic: str
    payload: bytes
    reply_to: bytes = b""
    mac: bytes = b""


def sign(envelope, key):
    """Return the envelope with its signature.

    Parameters
    ----------
    envelope : Envelope
        The envelope to sign.
    key : bytes
        Secret key that all daemons of the environment share.
    """
    return attrs.evolve(envelope, mac=_compute_mac(envelope, key))


def verify(envelope, key):
    """Check the signature of an envelope.

    Raises
    ------
    EnvelopeError
        When a field was changed or another key was used to sign.
    """
    if not hmac.compare_digest(envelope.mac, _compute_mac(envelope, key)):
        raise EnvelopeError("signature", "the signature does not match")


def to_wire(envelope):
    """Return an envelope as a thrift struct."""
    return ttypes.Envelope(**attrs.asdict(envelope))


def from_wire(struct_):
    """Return the envelope in a thrift struct."""
    return Envelope(
        struct_.sender,
        struct_.incarnation,
        struct_.sequence,
        struct_.sent_s,
        struct_.recipient,
        struct_.topic,
        struct_.payload,
        struct_.reply_to,
        struct_.mac,
    )


def encode_exchange(exchange):
    """Return an `Exchange` as bytes."""
    wire = ttypes.Exchange(
        facts=[_fact_to_wire(fact) for fact in exchange.facts] or None,
        offers=[_id_to_wire(item) for item in exchange.offers] or None,
        wants=[_id_to_wire(item) for item in exchange.wants] or None,
        digest=exchange.digest,
        digests=list(exchange.digests) or None,
        room_bytes=exchange.room_bytes,
    )
    return serialize(wire, _PROTOCOL_FACTORY)


def decode_exchange(payload):
    """Return the `Exchange` in a payload.

    Raises
    ------
    EnvelopeError
        When the payload holds none.
    """
    wire = ttypes.Exchange()
    try:
        deserialize(wire, payload, _PROTOCOL_FACTORY)
        wire.validate()
        return _exchange_from_wire(wire)
    except DECODE_ERRORS as error:
        raise EnvelopeError(
            "malformed", f"not an exchange: {error}"
        ) from error


def _exchange_from_wire(wire):
    """Return the exchange in a thrift struct."""
    return messages.Exchange(
        wire.digest,
        tuple(_fact_from_wire(fact) for fact in wire.facts or ()),
        tuple(_id_from_wire(item) for item in wire.offers or ()),
        tuple(_id_from_wire(item) for item in wire.wants or ()),
        tuple(wire.digests or ()),
        wire.room_bytes,
    )


def _fact_to_wire(fact):
    """Return a fact as a thrift struct."""
    return ttypes.Fact(
        fact.topic, fact.key, fact.version, fact.value, fact.expires_s
    )


def _fact_from_wire(wire):
    """Return the fact in a thrift struct."""
    wire.validate()
    return facts.Fact(
        wire.topic, wire.key, wire.version, wire.value, wire.expires_s
    )


def _id_to_wire(identity):
    """Return a fact's identity as a thrift struct."""
    return ttypes.FactId(identity.topic, identity.key, identity.version)


def _id_from_wire(wire):
    """Return the fact identity in a thrift struct."""
    wire.validate()
    return facts.FactId(wire.topic, wire.key, wire.version)


def _compute_mac(envelope, key):
    """Return the HMAC over every field except the signature itself."""
    fields = (
        envelope.sender.encode(),
        struct.pack(">qqd", *_list_numeric_fields(envelope)),
        envelope.recipient.encode(),
        envelope.topic.encode(),
        envelope.payload,
        envelope.reply_to,
    )
    mac = hmac.new(key, digestmod=hashlib.sha256)
    for field in fields:
        mac.update(struct.pack(">I", len(field)))
        mac.update(field)
    return mac.digest()


def _list_numeric_fields(envelope):
    """Return the numeric fields of an envelope in signing order."""
    return envelope.incarnation, envelope.sequence, envelope.sent_s


@attrs.define
class _ReplayWindow:
    """Replay window: sequence numbers accepted from one process.

    Parameters
    ----------
    incarnation : int
        Incarnation number of the sender's process.
    highest : int
        Highest sequence number accepted.
    seen : set of int
        Accepted sequence numbers; pruned to the window when they exceed
        twice its width.
    last_accepted_s : float
        Wall-clock time of the last accepted envelope, in seconds since
        the Unix epoch.
    """

    incarnation: int
    highest: int = -1
    seen: set = attrs.field(factory=set)
    last_accepted_s: float = 0.0


class ReplayGuard:
    """Accepts each envelope once, to reject replayed messages.

    Parameters
    ----------
    max_senders : int
        Maximum number of senders whose sequence numbers are kept.

    Notes
    -----
    An envelope is accepted when it is fresh by the wall clock, is not from
    an earlier incarnation of its sender, and its sequence number is new
    within a window below the highest one accepted. A sender is evicted only
    when none of its envelopes can be fresh any more, so eviction does not
    allow a replay; at the limit of senders a new one is rejected.
    """

    def __init__(self, max_senders=MAX_SENDERS):
        self._max_senders = max_senders
        self._windows = collections.OrderedDict()

    def __len__(self):
        return len(self._windows)

    def count_sequence_numbers(self):
        """Return how many sequence numbers are kept for all senders."""
        return sum(len(window.seen) for window in self._windows.values())

    def check(self, envelope, wall_s):
        """Accept an envelope whose signature was verified, or reject it.

        Parameters
        ----------
        envelope : Envelope
            The received envelope.
        wall_s : float
            Wall-clock time, in seconds since the Unix epoch.

        Raises
        ------
        EnvelopeError
            When the envelope is stale, was accepted before, or is from an
            earlier incarnation of its sender.
        """
        age_s = wall_s - envelope.sent_s
        if not -FRESHNESS_S <= age_s <= FRESHNESS_S:
            raise EnvelopeError(
                "stale", f"sent {age_s:.1f} s ago by the local clock"
            )
        window = self._get_or_add_window(envelope, wall_s)
        if envelope.incarnation < window.incarnation:
            raise EnvelopeError(
                "stale", "from an earlier incarnation of the sender"
            )
        if envelope.incarnation > window.incarnation:
            window = _ReplayWindow(envelope.incarnation)
            self._windows[envelope.sender] = window
        self._record_sequence(window, envelope.sequence)
        window.last_accepted_s = wall_s
        self._windows.move_to_end(envelope.sender)

    def _get_or_add_window(self, envelope, wall_s):
        """Return the window of the sender, adding one for a new sender."""
        window = self._windows.get(envelope.sender)
        if window:
            return window
        self._evict_stale_senders(wall_s)
        if len(self._windows) >= self._max_senders:
            raise EnvelopeError("stale", "too many senders")
        window = _ReplayWindow(envelope.incarnation)
        self._windows[envelope.sender] = window
        return window

    def _evict_stale_senders(self, wall_s):
        """Evict senders none of whose envelopes can be fresh any more."""
        while self._windows:
            oldest = next(iter(self._windows.values()))
            if wall_s - oldest.last_accepted_s <= 2 * FRESHNESS_S:
                return
            self._windows.popitem(last=False)

    def _record_sequence(self, window, sequence):
        """Record a sequence number; reject one that was seen or is too low."""
        is_low = sequence <= window.highest - SEQUENCE_WINDOW
        if is_low or sequence in window.seen:
            raise EnvelopeError("replayed", f"sequence {sequence}")
        window.seen.add(sequence)
        window.highest = max(window.highest, sequence)
        if len(window.seen) > 2 * SEQUENCE_WINDOW:
            floor = window.highest - SEQUENCE_WINDOW
            window.seen = {seen for seen in window.seen if seen > floor}
