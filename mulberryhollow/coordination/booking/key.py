"""Idempotency keys that contain their creation time."""

import dataclasses
import itertools
import re

import attrs
import xxhash

__all__ = [
    "BookingKey",
    "ExpiredKey",
    "KEY_LIFETIME_S",
    "MalformedKey",
    "list_expired_buckets",
    "parse_key",
]

KEY_LIFETIME_S = 24 * 3600
"""Age in seconds after which a key is refused; its claim may be deleted."""

MAX_CLOCK_SKEW_S = 300
"""Maximum lead of a caller's clock over the local one, in seconds."""

SLOT_LENGTH_S = 600
"""Length of a time slot, in seconds.

Keys created in the same slot share a set of `BUCKETS_PER_SLOT` buckets.
"""

BUCKETS_PER_SLOT = 8
"""Number of bucket objects in one time slot."""

EXPIRED_SLOTS_LISTED = 6
"""Number of expired slots whose buckets are listed for deletion."""

_KEY_PATTERN = re.compile(r"(\d{10})-([A-Za-z0-9._-]{8,64})")
_KEY_FORMAT = "UNIXSECONDS-RANDOM, for example 1764806400-7f3a9c21e4"


@attrs.frozen
class BookingKey:
    """A valid idempotency key of one client account.

    Parameters
    ----------
    account : str
        The client account; equal texts of two accounts are distinct keys.
    text : str
        The key as sent.
    created_s : int
        Creation time, in seconds since the Unix epoch.
    """

    account: str
    text: str
    created_s: int

    @property
    def identity(self):
        """Hexadecimal digest that names the claim in its bucket."""
        full_key = f"{self.account}\0{self.text}"
        return xxhash.xxh3_128_hexdigest(full_key.encode())

    @property
    def bucket(self):
        """Name of the object that holds the claim."""
        slot = self.created_s // SLOT_LENGTH_S
        index = int(self.identity[:8], 16) % BUCKETS_PER_SLOT
        return f"{slot}-{index}"


@dataclasses.dataclass(frozen=True)
class MalformedKey:
    """The key has the wrong format or a creation time in the future.

    Parameters
    ----------
    remedy : str
        What the caller can do about it.
    """

    remedy: str


@dataclasses.dataclass(frozen=True)
class ExpiredKey:
    """The key is older than `KEY_LIFETIME_S`.

    An earlier request with this key may have run: its claim may have been
    deleted.
    """


def parse_key(account, text, now_s):
    """Check the format and the age of a key.

    Parameters
    ----------
    account : str
        The client account.
    text : str
        The key as sent.
    now_s : float
        Wall-clock time, in seconds since the Unix epoch.

    Returns
    -------
    BookingKey, MalformedKey or ExpiredKey

    Examples
    --------
    >>> parse_key("desk", "1764806400-7f3a9c21e4", 1764806460.0).bucket
    '2941344-7'
    """
    found = _KEY_PATTERN.fullmatch(text)
    if found is None:
        return MalformedKey(f"send a key in the format {_KEY_FORMAT}")
    created_s = int(found.group(1))
    if created_s > now_s + MAX_CLOCK_SKEW_S:
        return MalformedKey(
            "correct the clock of the host that makes the keys; it is ahead"
        )
    if created_s < now_s - KEY_LIFETIME_S:
        return ExpiredKey()
    return BookingKey(account, text, created_s)


def list_expired_buckets(now_s):
    """Return the most recent buckets in which every key has expired.

    Parameters
    ----------
    now_s : float
        Wall-clock time, in seconds since the Unix epoch.

    Returns
    -------
    list of str
        Names of the buckets of the newest expired slots, newest first;
        there are `EXPIRED_SLOTS_LISTED` slots.
    """
    newest = (
        int(now_s - KEY_LIFETIME_S - MAX_CLOCK_SKEW_S) // SLOT_LENGTH_S - 1
    )
    slots = range(newest, newest - EXPIRED_SLOTS_LISTED, -1)
    indexes = range(BUCKETS_PER_SLOT)
    return [
        f"{slot}-{index}" for slot, index in itertools.product(slots, indexes)
    ]
