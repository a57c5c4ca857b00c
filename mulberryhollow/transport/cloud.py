"""Adapter to the cloud API and the list of instances."""

import urllib3

from mulberryhollow import errors
from mulberryhollow.protocol import cloud as messages
from mulberryhollow.transport import store

__all__ = ["CloudClient"]

_OK = 200


class CloudClient:
    """Reads of the cloud API.

    Parameters
    ----------
    address : str
        ``host:port`` of the API.
    timeout_s : float
        Longest time of one call, in seconds.
    """

    def __init__(self, address, timeout_s=2.0):
        host, port = store.split_address(address)
        self._timeout_s = timeout_s
        self._pool = urllib3.HTTPConnectionPool(
            host, port, maxsize=4, retries=False
        )

    def list_endpoints(self):
        """Return every listed endpoint; the list lags.

        Raises
        ------
        StoreUnavailableError
            When the platform gave no usable answer.
        """
        return self._read("/cloud/instances", messages.decode_endpoints)

    def list_entries(self):
        """Return the HTTP address of every listed entry instance.

        Raises
        ------
        StoreUnavailableError
            When the platform gave no usable answer.
        """
        return self._read("/cloud/instances", messages.decode_entries)

    def list_notices(self, after):
        """Return the notices later than a number.

        Raises
        ------
        StoreUnavailableError
            When the platform gave no usable answer.
        """
        path = f"/cloud/notices?after={after}"
        return self._read(path, messages.decode_notices)

    def _read(self, path, decode):
        """Return the decoded answer to a read."""
        try:
            answer = self._pool.request("GET", path, timeout=self._timeout_s)
            if answer.status == _OK:
                return decode(answer.data)
            reason = f"status {answer.status}"
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            reason = str(error)
        raise errors.StoreUnavailableError(
            f"the cloud API is not usable: {reason}",
            "retry after the platform answers again",
        )
