"""Counters and latencies of the requests that an instance serves."""

import collections
import enum
import itertools
import threading

from mulberryhollow import errors
from mulberryhollow import metrics
from mulberryhollow.state import environment
from mulberryhollow.state import histograms

__all__ = ["Observer", "Outcome"]

_US_PER_S = 1e6


class Outcome(enum.Enum):
    """Outcome of a request.

    Attributes
    ----------
    DONE
        The answer was complete.
    REFUSED
        The request was refused.
    LEFT
        The request ended for another reason before its answer was complete,
        usually because the caller disconnected.
    FAILED
        No attempt succeeded, and the server error of an endpoint was passed
        on.
    BROKEN_OFF
        The answer ended early, after its head had been sent.
    """

    DONE = "done"
    REFUSED = "refused"
    LEFT = "left"
    FAILED = "failed"
    BROKEN_OFF = "broken_off"


_CAUSES = (
    "endpoint_lost",
    "endpoint_failed",
    "silent",
    "crossed",
    "truncated",
    "other",
)
_STORE_CALLS = ("get", "list", "watch", "put", "delete")

_ACTIVE = metrics.declare(
    "requests.active",
    metrics.Kind.GAUGE,
    "requests",
    "requests in progress",
)
_RETRIES = metrics.declare(
    "retries", metrics.Kind.COUNTER, "attempts", "retried attempts"
)
_REQUESTS = {
    (each, outcome): metrics.declare(
        f"requests.{each.value}.{outcome.value}",
        metrics.Kind.COUNTER,
        "requests",
        f"{each.value} requests with outcome {outcome.value}",
    )
    for each, outcome in itertools.product(environment.RequestClass, Outcome)
}
_LATENCIES = {
    (each, measure): metrics.declare(
        f"latency.{each.value}.{measure.value}",
        metrics.Kind.TIMER,
        "milliseconds",
        f"time to the {measure.value} answer of {each.value} requests",
    )
    for each, measure in itertools.product(
        environment.RequestClass, histograms.Measure
    )
}
_REFUSALS = {
    kind: metrics.declare(
        f"refusals.{kind.wire_name}",
        metrics.Kind.COUNTER,
        "requests",
        f"requests refused as {kind.wire_name}",
    )
    for kind in errors.RefusalKind
}
_RECOMPUTED = {
    cause: metrics.declare(
        f"recomputed_tokens.{cause}",
        metrics.Kind.COUNTER,
        "tokens",
        f"tokens computed again because of {cause}",
    )
    for cause in _CAUSES
}
_STORE = {
    name: metrics.declare(
        f"store_calls.{name}",
        metrics.Kind.COUNTER,
        "calls",
        f"{name} calls to the object store of the platform",
    )
    for name in _STORE_CALLS
}


class Observer:
    """Counters and latency histograms of an instance.

    Parameters
    ----------
    sender : metrics.Metrics
        Sends the declared metrics.

    Notes
    -----
    Thread-safe; counters only grow.
    """

    def __init__(self, sender):
        self._sender = sender
        self._counts = collections.Counter()
        self._gauges = {}
        self._lock = threading.Lock()
        self.histograms = histograms.LatencyHistograms()

    def count(self, name, amount=1):
        """Increase a counter."""
        with self._lock:
            self._counts[name] += amount

    def count_recomputed(self, cause, tokens):
        """Count tokens that have to be computed again, by cause."""
        self.count(f"recomputed_tokens.{cause}", tokens)
        if tokens:
            metric = _RECOMPUTED.get(cause, _RECOMPUTED["other"])
            self._sender.count(metric, tokens)

    def count_prompt(self, computed, cached):
        """Count computed prompt tokens and prompt tokens found in a cache."""
        self.count("prompt_tokens.computed", computed)
        self.count("prompt_tokens.cached", cached)

    def count_retry(self):
        """Count a retried attempt."""
        self.count_declared(_RETRIES)

    def count_store_call(self, name):
        """Count a call to the object store of the platform by its name."""
        self.count_declared(_STORE[name])

    def count_refusal(self, kind):
        """Count a refusal by its RefusalKind."""
        self.count_declared(_REFUSALS[kind])

    def set_active(self, count):
        """Set the number of requests in progress."""
        self._sender.set_gauge(_ACTIVE, count)

    def record_first(self, request, duration_s):
        """Record the time to the first token of an answer, in seconds."""
        self._record(request, histograms.Measure.FIRST, duration_s)

    def record_end(self, request, outcome, duration_s):
        """Record the end of a request.

        Parameters
        ----------
        request : CallerRequest
            The request.
        outcome : Outcome
            Outcome of the request.
        duration_s : float
            Time since the arrival of the request, in seconds; recorded only
            for the outcome DONE.
        """
        self.count_declared(_REQUESTS[request.request_class, outcome])
        if outcome is Outcome.DONE:
            self._record(request, histograms.Measure.WHOLE, duration_s)

    def list_counts(self):
        """Return the value of every counter by name."""
        with self._lock:
            return dict(self._counts)

    def set_gauge(self, name, value):
        """Set the latest value of a gauge of the metrics page."""
        with self._lock:
            self._gauges[name] = value

    def list_gauges(self):
        """Return the value of every gauge by name."""
        with self._lock:
            return dict(self._gauges)

    def count_declared(self, metric):
        """Increase the counter of a declared metric and send the metric."""
        self.count(metric.name)
        self._sender.count(metric)

    def _record(self, request, measure, duration_s):
        """Record one latency of a request."""
        request_class = request.request_class
        self.histograms.record(
            request.account, request_class, duration_s * _US_PER_S, measure
        )
        metric = _LATENCIES[request_class, measure]
        self._sender.record(metric, duration_s)
