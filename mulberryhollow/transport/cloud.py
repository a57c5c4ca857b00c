"""Client of the cloud API: instances, reclaim notices and prices."""

import urllib3

from mulberryhollow import errors
from mulberryhollow.protocol import cloud as messages
from mulberryhollow.transport import bounded_pool
from mulberryhollow.transport import store

__all__ = ["CloudClient"]

_OK = 200
_CREATED = 201
_SERVER_ERROR = 500


class CloudClient:
    """Lists instances, notices and prices; starts and stops instances.

    Parameters
    ----------
    address : str
        ``host:port`` of the API.
    timeout_s : float
        Timeout of one call, in seconds.
    """

    def __init__(self, address, timeout_s=2.0):
        host, port = store.split_address(address)
        self._timeout_s = timeout_s
        self._pool = bounded_pool.BoundedPool(
            host, port, maxsize=4, retries=False
        )

    def list_endpoints(self):
        """Return every listed endpoint.

        The list lags: starts and stops of endpoints appear in it late.

        Raises
        ------
        StoreUnavailableError
            When the platform gave no usable response.
        """
        return self._read("/cloud/instances", messages.decode_endpoints)

    def list_entries(self):
        """Return the HTTP address of every listed entry instance.

        Raises
        ------
        StoreUnavailableError
            When the platform gave no usable response.
        """
        return self._read("/cloud/instances", messages.decode_entry_addresses)

    def list_notices(self, after):
        """Return the reclaim notices with a number above `after`.

        Raises
        ------
        StoreUnavailableError
            When the platform gave no usable response.
        """
        path = f"/cloud/notices?after={after}"
        return self._read(path, messages.decode_notices)

    def list_instances(self):
        """Return every listed endpoint as capacity.Instance.

        Raises
        ------
        StoreUnavailableError
            When the platform gave no usable response.
        """
        return self._read("/cloud/instances", messages.decode_instances)

    def list_offers(self):
        """Return the priced offers of instances that can be started.

        Raises
        ------
        StoreUnavailableError
            When the platform gave no usable response.
        """
        return self._read("/cloud/prices", messages.decode_offers)

    def start(self, wanted):
        """Start one instance.

        Parameters
        ----------
        wanted : capacity.Start
            Which instance to start.

        Returns
        -------
        bool
            True when the instance was started, False when the cloud
            refused.

        Raises
        ------
        StoreUnavailableError
            When the outcome is unknown.
        """
        body = messages.encode_start(wanted)
        status = self._send_change("POST", "/cloud/instances", body)
        return status == _CREATED

    def stop(self, instance):
        """Stop an instance; one that no longer exists counts as stopped.

        Raises
        ------
        StoreUnavailableError
            When the outcome is unknown.
        """
        self._send_change("DELETE", f"/cloud/instances/{instance}", None)

    def _send_change(self, method, path, body):
        """Send a start or stop; return its HTTP status, which is below 500."""
        try:
            response = self._pool.request(
                method, path, body=body, timeout=self._timeout_s
            )
        except urllib3.exceptions.HTTPError as error:
            raise _make_unavailable_error(str(error)) from error
        if response.status >= _SERVER_ERROR:
            raise _make_unavailable_error(f"status {response.status}")
        return response.status

    def _read(self, path, decode):
        """Return the decoded response to a GET request."""
        try:
            response = self._pool.request("GET", path, timeout=self._timeout_s)
            if response.status == _OK:
                return decode(response.data)
            reason = f"status {response.status}"
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            reason = str(error)
        raise _make_unavailable_error(reason)


def _make_unavailable_error(reason):
    """Return the error for a cloud API that gave no usable response."""
    return errors.StoreUnavailableError(
        f"the cloud API gave no usable response: {reason}",
        "retry when the platform responds again",
    )
