"""Estimates of the work of requests, learned from their answers."""

import collections

import attrs

from mulberryhollow.coordination.work import amounts
from mulberryhollow.coordination.work import lengths
from mulberryhollow.coordination.work import levels
from mulberryhollow.coordination.work import service_times
from mulberryhollow.coordination.work import speeds

__all__ = ["Served", "WorkEstimator"]

MAX_WAIT_FRACTION = 0.3
"""Fraction of an explained time that waiting may be in an observation.

Beyond it, the observation says more about other requests than about speed.
"""

WAITED_WEIGHT = 0.3
"""Weight of the speed observed by a plain request that had to wait.

An endpoint that is always full would be taken for an average one without.
"""


MIN_ANSWERS = 10.0
"""Number of answers from which their times explain other answers.

Before, an endpoint with more answers would differ from one with fewer, only
because the assumed times are wrong.
"""

_LENGTHS = "*"
"""First part of the shared names of answer lengths, no service's name."""


@attrs.frozen
class Served:
    """What an instance has seen of a request that was served in full.

    Parameters
    ----------
    features : RequestFeatures
        Properties of the request.
    first_s : float
        Time from sending the request to its first token, in seconds; for a
        plain service, to the end of the answer.
    gap_s : float
        Median time between two events, in seconds; 0 without events.
    events : int
        Number of events; 0 for a plain service.
    total_s : float
        Time from sending the request to the end of the answer, in seconds.
    batch : float
        Requests that the endpoint ran meanwhile.
    wait_s : float
        Time that the request was expected to wait for others, in seconds.
    may_have_waited : bool
        Whether all slots of the endpoint were in use.
    expected_s : float
        Expected total time when the endpoint was chosen, in seconds; 0 if it
        was not estimated.
    """

    features: amounts.RequestFeatures
    first_s: float
    gap_s: float
    events: int
    total_s: float
    batch: float = 1.0
    wait_s: float = 0.0
    may_have_waited: bool = False
    expected_s: float = 0.0


class WorkEstimator:
    """Learns what requests cost and how fast each endpoint is.

    Attributes
    ----------
    speeds : SpeedTable
        Slowness of the endpoints.
    errors : LevelTable
        Relative error of the expected total time, by service and route.
    costs : LevelTable
        Total times by service, route and "expected" or "actual", in seconds.
    """

    def __init__(self):
        self.speeds = speeds.SpeedTable()
        self.errors = levels.LevelTable()
        self.costs = levels.LevelTable()
        self._lengths = lengths.LengthTable()
        self._services = {}

    def get_times(self, service):
        """Return the ServiceTimes of a service."""
        times = self._services.get(service)
        if times is None:
            times = service_times.ServiceTimes()
            self._services[service] = times
        return times

    def list_shared(self):
        """Return name to (weight, weighted sum) of what was learned."""
        sums = {
            f"{_LENGTHS}\t{name}": found
            for name, found in self._lengths.shared.list_sums().items()
        }
        for service, times in self._services.items():
            for name, found in times.shared.list_sums().items():
                sums[f"{service}\t{name}"] = found
        return sums

    def set_shared(self, sums):
        """Replace what all other instances have learned."""
        lengths_remote, by_service = {}, collections.defaultdict(dict)
        for key, found in sums.items():
            service, _, name = key.partition("\t")
            if service == _LENGTHS:
                lengths_remote[name] = found
            else:
                by_service[service][name] = found
        self._lengths.shared.remote = lengths_remote
        for service, remote in by_service.items():
            self.get_times(service).shared.remote = remote

    def estimate_events(self, features):
        """Return the expected number of events, and a high quantile."""
        return self._lengths.estimate(features)

    def estimate(self, features, batch=1.0, event_tokens=1):
        """Return the RequestWork at an endpoint of average speed.

        Parameters
        ----------
        features : RequestFeatures
            Properties of the request.
        batch : float
            Requests that the endpoint is expected to run meanwhile.
        event_tokens : int
            Tokens of an event.
        """
        times = self.get_times(features.service)
        if not features.prompt_tokens:
            whole_s, high_s = times.estimate_whole_s(features.route)
            return amounts.RequestWork(whole_s, high_s=high_s)
        prompt_s = times.estimate_prompt_s(
            features.prompt_tokens,
            features.prompt_tokens - features.cached_tokens,
        )
        events, high = self._lengths.estimate(features)
        gap_s = times.estimate_gap_s(batch)
        return amounts.RequestWork(
            prompt_s,
            events * gap_s,
            prompt_s + high * gap_s,
            features.prompt_tokens + events * event_tokens,
            features.prompt_tokens + high * event_tokens,
        )

    def observe(self, endpoint_id, served, slowness, now_s):
        """Learn from a request that was served in full.

        Parameters
        ----------
        endpoint_id : str
            Id of its endpoint.
        served : Served
            What was seen of it.
        slowness : float
            Slowness of the endpoint, as estimated before.
        now_s : float
            Monotonic time, in seconds.
        """
        features = served.features
        if served.expected_s > 0.0 and served.total_s > 0.0:
            error = abs(served.expected_s / served.total_s - 1.0)
            key = features.service, features.route
            self.errors.observe(key, error)
            self.costs.observe((*key, "expected"), served.expected_s)
            self.costs.observe((*key, "actual"), served.total_s)
        if features.prompt_tokens:
            self._observe_model(endpoint_id, served, slowness, now_s)
        else:
            self._observe_plain(endpoint_id, served, slowness, now_s)

    def _observe_model(self, endpoint_id, served, slowness, now_s):
        """Learn from a request to a model engine."""
        features = served.features
        times = self.get_times(features.service)
        computed = features.prompt_tokens - features.cached_tokens
        explained_s = times.estimate_prompt_s(features.prompt_tokens, computed)
        times.observe_prompt(explained_s)
        if served.wait_s <= MAX_WAIT_FRACTION * explained_s * slowness:
            first_s = served.first_s - served.wait_s
            # A first token may have waited for prompts that are not known
            # here, so it shows the speed only where there are no gaps.
            is_long = (
                computed >= service_times.MIN_LONG_TOKENS
                and times.shared.get_weight("token") >= MIN_ANSWERS
            )
            if is_long and not served.gap_s:
                self._observe_ratio(endpoint_id, first_s, explained_s, now_s)
            times.observe_first(
                features.prompt_tokens, computed, first_s / slowness
            )
        if served.gap_s > 0.0:
            if times.shared.get_weight("gap low") >= MIN_ANSWERS:
                explained_s = times.estimate_gap_s(served.batch)
                self._observe_ratio(
                    endpoint_id, served.gap_s, explained_s, now_s
                )
            times.observe_gap(served.batch, served.gap_s / slowness)
        self._lengths.observe(features, served.events)

    def _observe_plain(self, endpoint_id, served, slowness, now_s):
        """Learn from a request to a plain service."""
        features = served.features
        times = self.get_times(features.service)
        whole_s, _ = times.estimate_whole_s(features.route)
        has_waited = served.wait_s > MAX_WAIT_FRACTION * whole_s * slowness
        # The expected wait was estimated with the slowness, so it is
        # explained in proportion to it.
        explained_s = whole_s + served.wait_s / slowness
        if times.shared.get_weight(f"whole {features.route}") >= MIN_ANSWERS:
            self._observe_ratio(
                endpoint_id,
                served.total_s,
                explained_s,
                now_s,
                WAITED_WEIGHT if has_waited else 1.0,
            )
        if not (has_waited or served.may_have_waited):
            whole_s = max(0.0, served.total_s - served.wait_s) / slowness
            times.observe_whole(features.route, whole_s)

    def _observe_ratio(
        self, endpoint_id, observed_s, explained_s, now_s, weight=1.0
    ):
        """Add an observed over an explained time to the speeds."""
        if explained_s > 0.0 and observed_s > 0.0:
            self.speeds.observe(
                endpoint_id, observed_s / explained_s, now_s, weight
            )
