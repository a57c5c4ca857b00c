"""Metrics sent to statsd, declared in the modules that record them."""

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
    """Parse ``host:port`` to (host, port); None for an empty text."""
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
    "statsd address for metrics over UDP, a numeric IP; empty sends none",
)


class Kind(enum.Enum):
    """Statsd type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMER = "timer"


@attrs.frozen
class Metric:
    """Declaration of one metric.

    Parameters
    ----------
    name : str
        Name with components separated by dots, without the prefix.
    kind : Kind
        Statsd type, which determines how values are aggregated.
    unit : str
        Unit of the values.
    description : str
        Description for the operator.
    """

    name: str
    kind: Kind
    unit: str
    description: str


def declare(name, kind, unit, description):
    """Register a metric and return it.

    Called at module level by the module that records the metric; the
    parameters are those of `Metric`.

    Raises
    ------
    ValueError
        If a metric of this name is already declared.
    """
    if name in _DECLARED:
        raise ValueError(f"metric {name} is declared twice")
    metric = Metric(name, kind, unit, description)
    _DECLARED[name] = metric
    return metric


def list_declared():
    """Return all declared metrics, sorted by name."""
    return [_DECLARED[name] for name in sorted(_DECLARED)]


class Metrics:
    """Client that sends metrics to statsd.

    Parameters
    ----------
    address : tuple or None
        Numeric IP address and port; None disables sending.

    Notes
    -----
    Values are sent as datagrams on a non-blocking socket and are dropped
    when its buffer is full.
    """

    def __init__(self, address=None):
        self._client = _NonBlockingClient(*address) if address else None

    def count(self, metric, by=1):
        """Increment a counter."""
        if self._client:
            self._client.incr(metric.name, by)

    def set_gauge(self, metric, value):
        """Set a gauge."""
        if self._client:
            self._client.gauge(metric.name, value)

    def record(self, metric, duration_s):
        """Record a duration with a timer.

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
    """Statsd client that drops datagrams instead of blocking."""

    def __init__(self, host, port):
        super().__init__(host, port, prefix=_PREFIX)
        self._sock.setblocking(False)
