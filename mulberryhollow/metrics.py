"""Metrics over statsd, declared beside their use."""

import enum

import attrs
import statsd

from mulberryhollow import settings

__all__ = [
    "ADDRESS",
    "Kind",
    "Metric",
    "Metrics",
    "declare",
    "list_declared",
]

_PREFIX = "mulberryhollow"
_DECLARED = {}


def _parse_address(text):
    """Return (host, port) of ``host:port``; None for an empty text."""
    if not text:
        return None
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isdecimal() and 0 < int(port) < 65536):
        raise ValueError(f"{text!r} is not host:port")
    return host, int(port)


ADDRESS = settings.declare(
    "metrics",
    "statsd_address",
    _parse_address,
    "",
    "host:port",
    "where metrics go over UDP, by IP number; empty sends none",
)


class Kind(enum.Enum):
    """Kind of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMER = "timer"


@attrs.frozen
class Metric:
    """One declared metric.

    Parameters
    ----------
    name : str
        Its name, with dots between its parts.
    kind : Kind
        How its values add up.
    unit : str
        Unit of its values.
    description : str
        What it shows, for the operator.
    """

    name: str
    kind: Kind
    unit: str
    description: str


def declare(name, kind, unit, description):
    """Declare a metric beside its use and return it.

    Raises
    ------
    ValueError
        When the name is taken.
    """
    if name in _DECLARED:
        raise ValueError(f"metric {name} is declared twice")
    metric = Metric(name, kind, unit, description)
    _DECLARED[name] = metric
    return metric


def list_declared():
    """Return every declared metric, sorted by name."""
    return [_DECLARED[name] for name in sorted(_DECLARED)]


class Metrics:
    """Sends metrics, or nothing when there is no address.

    Parameters
    ----------
    address : tuple or None
        Host, by IP number, and port; None sends nothing.

    Notes
    -----
    Values go out as datagrams on a socket that never blocks; a full
    buffer drops them.
    """

    def __init__(self, address=None):
        self._client = _NonBlockingClient(*address) if address else None

    def count(self, metric, by=1):
        """Add to a counter."""
        if self._client:
            self._client.incr(metric.name, by)

    def set_gauge(self, metric, value):
        """Set a gauge."""
        if self._client:
            self._client.gauge(metric.name, value)

    def record(self, metric, duration_s):
        """Record a duration in a timer.

        Parameters
        ----------
        metric : Metric
            A declared timer.
        duration_s : float
            The duration, in seconds.
        """
        if self._client:
            self._client.timing(metric.name, duration_s * 1000.0)

    def close(self):
        """Close the socket; later values are dropped."""
        client, self._client = self._client, None
        if client:
            client.close()


class _NonBlockingClient(statsd.StatsClient):
    """A client whose socket drops a datagram rather than wait."""

    def __init__(self, host, port):
        super().__init__(host, port, prefix=_PREFIX)
        self._sock.setblocking(False)
