"""Counters and latencies of forwarded requests."""

import itertools

from mulberryhollow import metrics
from mulberryhollow.serving.observer import Outcome
from mulberryhollow.state import catalogue
from mulberryhollow.state import histograms

__all__ = ["ForwardRecorder"]

_US_PER_S = 1e6

_OUTCOME_COUNTERS = {
    (kind, outcome): metrics.declare(
        f"forwarded.{kind.name.lower()}.{outcome.value}",
        metrics.Kind.COUNTER,
        "requests",
        f"forwarded {kind.value} requests with outcome {outcome.value}",
    )
    for kind, outcome in itertools.product(catalogue.RequestKind, Outcome)
}


class ForwardRecorder:
    """Counts forwarded requests for the metrics and usage reports.

    Parameters
    ----------
    observer : Observer
        Counters and histograms.
    usage : pykka.ActorRef or object
        ``record_usage(account)`` counts a request that has begun.
    """

    def __init__(self, observer, usage):
        self._observer = observer
        self._usage = usage

    def record_begun(self, request):
        """Count a request in the usage of its account once it has begun."""
        self._usage.record_usage(request.account)

    def record_first(self, request, elapsed_s):
        """Record the time to the first event of a stream, in seconds."""
        self._record(request, elapsed_s, histograms.Measure.FIRST)

    def record_end(self, request, outcome, elapsed_s):
        """Record the outcome of a request; its duration in s if it is DONE."""
        self._observer.count_declared(_OUTCOME_COUNTERS[request.kind, outcome])
        if outcome is Outcome.DONE:
            self._record(request, elapsed_s, histograms.Measure.WHOLE)

    def _record(self, request, elapsed_s, measure):
        """Record one latency of a request."""
        self._observer.histograms.record(
            request.account, request.kind, elapsed_s * _US_PER_S, measure
        )
