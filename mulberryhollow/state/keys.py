"""Salted hashes of API keys, and lookup of the account of a key."""

import hashlib
import hmac
import os
import threading

__all__ = ["KeyRing", "find_account", "make_hash", "verify"]

_DIGEST_BYTES = 32
_MAX_CACHED_KEYS = 4096


def make_hash(key, salt):
    """Return the salted hash ``salt:digest`` of an API key.

    Parameters
    ----------
    key : str
        API key; a random one with at least 128 bits of entropy.
    salt : str
        Salt of 8 to 16 bytes, hexadecimal.

    Returns
    -------
    str
        Salt and digest, hexadecimal, separated by a colon.

    Notes
    -----
    Random keys cannot be guessed, so a fast salted hash is sufficient; a
    password would need a slow one.
    """
    hasher = hashlib.blake2b(
        _encode(key), digest_size=_DIGEST_BYTES, salt=bytes.fromhex(salt)
    )
    return f"{salt}:{hasher.hexdigest()}"


def _encode(key):
    """Encode any text that a caller may send, even invalid Unicode."""
    return key.encode("utf-8", "surrogatepass")


def verify(key, key_hash):
    """Return whether a key matches a salted hash, in constant time."""
    salt, _colon, _digest = key_hash.partition(":")
    try:
        expected = make_hash(key, salt)
    except ValueError:
        return False
    return hmac.compare_digest(expected.encode(), key_hash.encode())


def find_account(environment, key):
    """Return the client account of an API key, or None.

    Parameters
    ----------
    environment : state.environment.Environment
        The active document.
    key : str
        API key sent by the caller.

    Notes
    -----
    The key is always compared with all accounts, so that the duration does
    not reveal which account matches.
    """
    matches = [
        account
        for account in environment.accounts.values()
        if verify(key, account.key_hash)
    ]
    return matches[0] if matches else None


class KeyRing:
    """Lookup of accounts by API key, with a cache of valid keys.

    Parameters
    ----------
    environment : state.environment.Environment
        The active document; a new document needs a new key ring.

    Notes
    -----
    The cache holds only keyed digests, and only of valid keys, so invalid
    keys cannot fill it.
    """

    def __init__(self, environment):
        self._environment = environment
        self._secret = os.urandom(_DIGEST_BYTES)
        self._lock = threading.Lock()
        self._accounts = {}

    def find(self, key):
        """Return the client account of an API key, or None."""
        cache_key = hashlib.blake2b(
            _encode(key), key=self._secret, digest_size=_DIGEST_BYTES
        ).digest()
        with self._lock:
            account = self._accounts.get(cache_key)
        if account is None:
            account = find_account(self._environment, key)
            self._cache_account(cache_key, account)
        return account

    def _cache_account(self, cache_key, account):
        """Cache the account of a valid key; evict the oldest when full."""
        if account is None:
            return
        with self._lock:
            if len(self._accounts) >= _MAX_CACHED_KEYS:
                del self._accounts[next(iter(self._accounts))]
            self._accounts[cache_key] = account
