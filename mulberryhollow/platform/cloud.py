"""Client of the platform's API for usage reports and endpoint orders."""

import json
import socket
import struct
import time

import urllib3

from mulberryhollow.platform import headers as header_names
from mulberryhollow.protocol import object_api
from mulberryhollow.state import objects
from mulberryhollow.transport import bounded_pool
from mulberryhollow.transport import store

__all__ = ["DutyClient"]

CALL_TIMEOUT_S = 1.0
"""Timeout of one call, from the connection to the answer, in seconds.

Another instance may act `LeaseRules.takeover_s` - `hold_s` after the last call
of this one has begun.
"""

_RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class _LeaseLostError(urllib3.exceptions.HTTPError):
    """The lease was lost before the call was sent."""


class _DutyConnection(bounded_pool.BoundedPool.ConnectionCls):
    """Connection that sends only while the lease is held.

    It is reset when it is closed. Otherwise what a call has left in the
    socket's buffer would be sent after the call was given up.
    """

    def __init__(self, *args, is_held, **kwargs):
        super().__init__(*args, **kwargs)
        self._is_held = is_held
        self._end_s = 0.0

    def connect(self):
        """Connect to the API."""
        super().connect()
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE
        )

    def request(self, *args, **kwargs):
        """Send a request within the time of the call."""
        self._end_s = time.monotonic() + CALL_TIMEOUT_S
        super().request(*args, **kwargs)

    def send(self, data):
        """Send a part of a request, unless the lease is lost."""
        if self.sock is None:
            self.connect()
        remaining_s = self._end_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("the time of the call has passed")
        self.sock.settimeout(remaining_s)
        if not self._is_held():
            raise _LeaseLostError("the lease was lost")
        super().send(data)


class _DutyPool(bounded_pool.BoundedPool):
    """Pool of connections that send only while the lease is held."""

    ConnectionCls = _DutyConnection


class DutyClient:
    """Makes the calls that only the holder of the duties' lease may make.

    Parameters
    ----------
    address : str
        ``host:port`` of the API.
    instance : str
        Name of this instance.

    Attributes
    ----------
    is_held : callable
        Returns whether this instance holds the lease; read again when the
        connection stands.
    """

    def __init__(self, address, instance):
        host, port = store.split_address(address)
        self._instance = instance
        self.is_held = lambda: True
        self._pool = _DutyPool(
            host,
            port,
            maxsize=2,
            retries=False,
            is_held=lambda: self.is_held(),
        )

    def report_usage(self, fence, window, counts):
        """Report the number of requests of each client account in a window.

        Parameters
        ----------
        fence : int
            Fencing token of the lease holder.
        window : int
            Number of the window.
        counts : dict
            Number of requests by client account.

        Returns
        -------
        WriteApplied, WriteRejected or WriteOutcomeUnknown
        """
        body = {"windowId": window, "counts": counts}
        return self._call("/usage", fence, body)

    def order(self, fence, order):
        """Order a number of endpoints of one service.

        Parameters
        ----------
        fence : int
            Fencing token of the lease holder.
        order : Order
            Service, failure domain, count and market of the endpoints.

        Returns
        -------
        WriteApplied, WriteRejected or WriteOutcomeUnknown
            WriteRejected("conflict") if no endpoints are available at the
            moment.
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
        """Make one call with the fencing token; return its outcome."""
        headers = {
            header_names.DUTY_HOLDER: self._instance,
            header_names.FENCING_TOKEN: str(fence),
            **object_api.JSON_HEADERS,
        }
        try:
            answer = self._pool.request(
                "POST",
                path,
                body=json.dumps(body).encode(),
                headers=headers,
                timeout=urllib3.Timeout(total=CALL_TIMEOUT_S),
            )
        except _LeaseLostError as error:
            return objects.WriteRejected(str(error))
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
