"""At-most-once bookings: idempotency keys, claims, group commit."""

from mulberryhollow.coordination.booking.bucket import Answer
from mulberryhollow.coordination.booking.bucket import Bucket
from mulberryhollow.coordination.booking.bucket import Read
from mulberryhollow.coordination.booking.bucket import Write
from mulberryhollow.coordination.booking.claim import Claim
from mulberryhollow.coordination.booking.claim import ClaimState
from mulberryhollow.coordination.booking.claim import decode_claims
from mulberryhollow.coordination.booking.claim import encode_claims
from mulberryhollow.coordination.booking.claim import Granted
from mulberryhollow.coordination.booking.claim import Held
from mulberryhollow.coordination.booking.claim import KeyReused
from mulberryhollow.coordination.booking.claim import Lost
from mulberryhollow.coordination.booking.claim import Recorded
from mulberryhollow.coordination.booking.claim import Standing
from mulberryhollow.coordination.booking.claim import Unwritten
from mulberryhollow.coordination.booking.key import BookingKey
from mulberryhollow.coordination.booking.key import ExpiredKey
from mulberryhollow.coordination.booking.key import KEY_LIFETIME_S
from mulberryhollow.coordination.booking.key import list_expired_buckets
from mulberryhollow.coordination.booking.key import MalformedKey
from mulberryhollow.coordination.booking.key import parse_key

__all__ = [
    "Answer",
    "BookingKey",
    "Bucket",
    "Claim",
    "ClaimState",
    "ExpiredKey",
    "Granted",
    "Held",
    "KEY_LIFETIME_S",
    "KeyReused",
    "Lost",
    "MalformedKey",
    "Read",
    "Recorded",
    "Standing",
    "Unwritten",
    "Write",
    "decode_claims",
    "encode_claims",
    "list_expired_buckets",
    "parse_key",
]
