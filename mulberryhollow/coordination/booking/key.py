"""Idempotency keys that contain their creation time."""

import dataclasses
import itertools
import re

import attrs
import xxhash

__all__ = [
    "BookingKey",
    "ExpiredKey",
    "HORIZON_S",
    "MalformedKey",
    "list_expired_buckets",
    "parse_key",
]

HORIZON_S = 24 * 3600
"""Age in seconds after which a key is refused; its claim may be deleted."""

SKEW_S = 300
"""Longest time that a caller's clock may be ahead of ours, in seconds."""

SLOT_S = 600
"""Length of a time slot, in seconds.

Keys created in the same slot share a set of `BUCKETS_PER_SLOT` buckets.
"""

BUCKETS_PER_SLOT = 8
"""Number of bucket objects in one time slot."""

EXPIRED_SLOTS = 6
"""Number of expired slots whose buckets are listed for deletion."""

_PATTERN = re.compile(r"(\d{10})-([A-Za-z0-9._-]{8,64})")
_FORM = "UNIXSECONDS-RANDOM, for example 1764806400-7f3a9c21e4"


@attrs.frozen
class BookingKey:
    """A valid idempotency key of one client account.

    Parameters
    ----------
    account : str
        The client account; equal texts of two accounts are distinct keys.
    text : str
        The key as sent.
    made_s : int
        Creation time, in seconds since the Unix epoch.
    """

    account: str
    text: str
    made_s: int

    @property
    def identity(self):
        """Hexadecimal digest that names the claim in its bucket."""
        whole = f"{self.account}\0{self.text}"
        return xxhash.xxh3_128_hexdigest(whole.encode())

    @property
    def bucket(self):
        """Name of the object that holds the claim."""
        slot = self.made_s // SLOT_S
        place = int(self.identity[:8], 16) % BUCKETS_PER_SLOT
        return f"{slot}-{place}"


@dataclasses.dataclass(frozen=True)
class MalformedKey:
    """The key has the wrong format or lies in the future.

    Parameters
    ----------
    remedy : str
        What the caller can do about it.
    """

    remedy: str


@dataclasses.dataclass(frozen=True)
class ExpiredKey:
    """The key is older than `HORIZON_S`.

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
    found = _PATTERN.fullmatch(text)
    if found is None:
        return MalformedKey(f"send a key in the format {_FORM}")
    made_s = int(found.group(1))
    if made_s > now_s + SKEW_S:
        return MalformedKey(
            "correct the clock of the host that makes the keys; it is ahead"
        )
    if made_s < now_s - HORIZON_S:
        return ExpiredKey()
    return BookingKey(account, text, made_s)


def list_expired_buckets(now_s):
    """Return the buckets whose keys have all expired recently.

    Parameters
    ----------
    now_s : float
        Wall-clock time, in seconds since the Unix epoch.

    Returns
    -------
    list of str
        Names of the buckets of the `EXPIRED_SLOTS` newest expired slots,
        newest first.
    """
    newest = int(now_s - HORIZON_S - SKEW_S) // SLOT_S - 1
    slots = range(newest, newest - EXPIRED_SLOTS, -1)
    places = range(BUCKETS_PER_SLOT)
    return [
        f"{slot}-{place}" for slot, place in itertools.product(slots, places)
    ]
