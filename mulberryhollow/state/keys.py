"""Salted hashes of API keys and the search for a key's account."""

import hashlib
import hmac
import os
import threading

__all__ = ["KeyRing", "find_account", "make_hash", "verify"]

_DIGEST_BYTES = 32
_MAX_CACHED_KEYS = 4096


def make_hash(key, salt):
    """Return ``salt:digest`` of an API key.

    Parameters
    ----------
    key : str
        The API key; random, with at least 128 bits of entropy.
    salt : str
        8 to 16 bytes, hexadecimal.

    Returns
    -------
    str
        Salt and digest, hexadecimal, separated by a colon.

    Notes
    -----
    Random keys cannot be guessed, so a fast salted hash is enough; a
    password would need a slow one.
    """
    hasher = hashlib.blake2b(
        _encode(key), digest_size=_DIGEST_BYTES, salt=bytes.fromhex(salt)
    )
    return f"{salt}:{hasher.hexdigest()}"


def _encode(key):
    """Return the bytes of any text that a caller may give."""
    return key.encode("utf-8", "surrogatepass")


def verify(key, key_hash):
    """Return whether a key fits a salted hash, in constant time."""
    salt, _colon, _digest = key_hash.partition(":")
    try:
        expected = make_hash(key, salt)
    except ValueError:
        return False
    return hmac.compare_digest(expected.encode(), key_hash.encode())


def find_account(environment, key):
    """Return the client account that a key belongs to, or None.

    Parameters
    ----------
    environment : state.environment.Environment
        The document in force.
    key : str
        The API key that the caller gave.

    Notes
    -----
    Every account is compared, so the time does not tell which one fits.
    """
    fitting = [
        account
        for account in environment.accounts.values()
        if verify(key, account.key_hash)
    ]
    return fitting[0] if fitting else None


class KeyRing:
    """Finds accounts by key, remembering digests of keys that fitted.

    Parameters
    ----------
    environment : state.environment.Environment
        The document in force; a new document takes a new ring.

    Notes
    -----
    Only the digest of a key is kept, and only of keys that fitted, so
    wrong keys cannot fill the cache.
    """

    def __init__(self, environment):
        self._environment = environment
        self._secret = os.urandom(_DIGEST_BYTES)
        self._lock = threading.Lock()
        self._accounts = {}

    def find(self, key):
        """Return the client account of a key, or None."""
        cache_key = hashlib.blake2b(
            _encode(key), key=self._secret, digest_size=_DIGEST_BYTES
        ).digest()
        with self._lock:
            account = self._accounts.get(cache_key)
        if account is None:
            account = find_account(self._environment, key)
            self._remember(cache_key, account)
        return account

    def _remember(self, cache_key, account):
        """Keep a fitting account, dropping the oldest one when full."""
        if account is None:
            return
        with self._lock:
            if len(self._accounts) >= _MAX_CACHED_KEYS:
                del self._accounts[next(iter(self._accounts))]
            self._accounts[cache_key] = account
