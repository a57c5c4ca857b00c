"""Calls of the platform's API for usage reports and orders."""

import json

import urllib3

from mulberryhollow.platform import headers as names
from mulberryhollow.protocol import object_api
from mulberryhollow.state import objects
from mulberryhollow.transport import store

__all__ = ["DutyClient"]

CALL_TIMEOUT_S = 1.0
"""Longest time of one call, in seconds."""


class DutyClient:
    """Makes the calls that are the duty of one instance at a time.

    Parameters
    ----------
    address : str
        ``host:port`` of the API.
    instance : str
        Name of this instance.
    """

    def __init__(self, address, instance):
        host, port = store.split_address(address)
        self._instance = instance
        self._pool = urllib3.HTTPConnectionPool(
            host, port, maxsize=2, retries=False
        )

    def report_usage(self, fence, window, counts):
        """Report the requests of each client account in a window.

        Parameters
        ----------
        fence : int
            Fencing number of the holder.
        window : int
            Number of the window.
        counts : dict
            Client account to its requests.

        Returns
        -------
        WriteApplied, WriteRejected or WriteOutcomeUnknown
        """
        body = {"windowId": window, "counts": counts}
        return self._call("/usage", fence, body)

    def order(self, fence, order):
        """Order a number of endpoints.

        Parameters
        ----------
        fence : int
            Fencing number of the holder.
        order : Order
            What is ordered.

        Returns
        -------
        WriteApplied, WriteRejected or WriteOutcomeUnknown
            WriteRejected("conflict") when none are to be had at the moment.
        """
        body = {
            "service": order.service,
            "zone": order.failure_domain,
            "desiredCount": order.count,
        }
        if order.is_reclaimable:
            body["spot"] = True
        return self._call("/scale", fence, body)

    def _call(self, path, fence, body):
        """Return the outcome of one call."""
        headers = {
            names.DUTY_HOLDER: self._instance,
            names.FENCING_NUMBER: str(fence),
            **object_api.JSON_HEADERS,
        }
        try:
            answer = self._pool.request(
                "POST",
                path,
                body=json.dumps(body).encode(),
                headers=headers,
                timeout=CALL_TIMEOUT_S,
            )
        except urllib3.exceptions.NewConnectionError:
            return objects.WriteRejected("unavailable")
        except urllib3.exceptions.HTTPError as error:
            return objects.WriteOutcomeUnknown(str(error))
        match answer.status:
            case 200:
                return objects.WriteApplied(fence)
            case 409:
                return objects.WriteRejected("conflict")
            case 429 | 503:
                return objects.WriteRejected("unavailable")
            case status:
                return objects.WriteOutcomeUnknown(f"status {status}")
