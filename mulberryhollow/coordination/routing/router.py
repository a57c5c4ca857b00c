"""Load balancing by expected time, price and prompt cache."""

import itertools
import math
import random

import attrs

from mulberryhollow.coordination.routing import by_work
from mulberryhollow.coordination.routing import prepare
from mulberryhollow.coordination.routing import request as requests
from mulberryhollow.coordination.routing import shares
from mulberryhollow.coordination import work
from mulberryhollow.errors import ExecutionStatus
from mulberryhollow.errors import Refusal
from mulberryhollow.errors import RefusalKind
from mulberryhollow.state import environment

__all__ = ["Router", "RoutingRules", "refuse_no_region"]

RETRY_AFTER_S = 1.0

# Maximum number of nodes assumed to choose the same endpoint.
MAX_COUNTED_NODES = 4

MAX_STEP_TOKENS = 300
"""Maximum number of computed tokens from which the step time is learned.

The step time is the time of a single engine step.
"""

MIN_PREFILL_TOKENS = 2_000
"""Minimum number of computed tokens from which the prefill rate is learned.

Below it, the time to the first token is mostly that of a single step.
"""

DECREASE_WEIGHT = 0.3
"""Weight of a sample below the estimated time per token."""

INCREASE_WEIGHT = 0.01
"""Weight of a sample above the estimated time per token."""


@attrs.frozen
class RoutingRules:
    """Weights of the routing score, which is a time in seconds.

    Parameters
    ----------
    compute_s_per_token : float
        Time to compute one prompt token, in seconds, until it is learned.
    overhead_s : float
        Time that a request without a prompt keeps an endpoint busy, in
        seconds.
    hold_s : float
        Time that a request occupies a slot, in seconds, until a request
        of this node has ended.
    load_delay_s : float
        Delay of the first token when all slots are occupied, in seconds.
    lateness_penalty_s : float
        Penalty of a first token expected at the deadline, in seconds. The
        penalty is quadratic: halfway to the deadline it is a quarter.
    interference_fraction : float
        Fraction of a long prompt's computing time by which each request at
        the endpoint is assumed to be delayed.
    long_prompt_s : float
        Minimum computing time of a long prompt, in seconds: about half
        of the pause that callers tolerate.
    failure_penalty_s : float
        Penalty of a failure rate of 1, in seconds.
    price_penalty_s : float
        Penalty of twice the lowest price, in seconds.
    patient_price_penalty_s : float
        The same for patient requests, in seconds.
    sample_count, least_loaded_count : int
        Number of candidates drawn at random, and of candidates with the
        least load.
    """

    compute_s_per_token: float = 0.0001
    overhead_s: float = 0.005
    hold_s: float = 13.0
    load_delay_s: float = 0.5
    lateness_penalty_s: float = 0.3
    interference_fraction: float = 0.5
    long_prompt_s: float = 0.2
    failure_penalty_s: float = 1.0
    price_penalty_s: float = 0.0
    patient_price_penalty_s: float = 0.1
    sample_count: int = 4
    least_loaded_count: int = 2


class Router:
    """Chooses the candidate endpoint with the lowest score.

    Parameters
    ----------
    rules : RoutingRules or None
        Weights of the score; `RoutingRules()` when None.
    rng : random.Random or None
        Source of the samples; seeded with 0 when None.

    Attributes
    ----------
    estimator : WorkEstimator
        Costs of requests and speeds of endpoints, for placement by work.

    Notes
    -----
    Between two load reports all nodes have the same information and may
    choose the same endpoint. So the cost of a request is multiplied by the
    number of live nodes, up to `MAX_COUNTED_NODES`.
    """

    def __init__(self, rules=None, rng=None):
        self.rules = rules or RoutingRules()
        self._rng = rng or random.Random(0)
        self._nodes = 1
        self._token_times_s = {}
        self._step_times_s = {}
        self.estimator = work.WorkEstimator()
        self._work_placement = by_work.WorkPlacement(self._rng)

    def set_live_nodes(self, nodes):
        """Set the number of live nodes, this one included."""
        self._nodes = max(1, nodes)

    def learn(self, service, tokens, computed_tokens, first_s):
        """Update the prefill rate of a service from a time to first token.

        Parameters
        ----------
        service : str
            The service.
        tokens, computed_tokens : int
            Number of prompt tokens, and number of those that were expected
            to be computed.
        first_s : float
            Time to the first token, in seconds.

        Notes
        -----
        Most of the time may have been spent in a queue, so the estimated
        time per token falls fast and rises slowly: it follows the fastest
        engines.
        """
        if computed_tokens <= MAX_STEP_TOKENS:
            self._step_times_s[service] = _update_estimate(
                self._step_times_s.get(service, first_s), first_s
            )
        elif computed_tokens >= MIN_PREFILL_TOKENS:
            prefill_s = max(
                0.0, first_s - self._step_times_s.get(service, 0.0)
            )
            weighted = work.compute_weighted_tokens(tokens, computed_tokens)
            self._token_times_s[service] = _update_estimate(
                self._get_token_time_s(service), prefill_s / weighted
            )

    def _get_token_time_s(self, service):
        """Return the time to compute one prompt token, in seconds."""
        return self._token_times_s.get(service, self.rules.compute_s_per_token)

    def choose(self, request, view, prefixes, now_s, excluded=frozenset()):
        """Choose the candidate endpoint with the lowest score.

        Parameters
        ----------
        request : RouteRequest
            The request.
        view : EndpointView
            State of the endpoints.
        prefixes : PrefixIndex or None
            Expected content of the endpoints' prompt caches.
        now_s : float
            The time, in seconds.
        excluded : set of str
            Ids of endpoints that must not be chosen.

        Returns
        -------
        Chosen or NoEndpoint
            The caller updates `view` and `prefixes` once the request is
            sent.
        """
        view.advance(now_s)
        excluded = excluded | request.avoided
        prepared = prepare.PreparedRequest.build(request, prefixes, now_s)
        versions = shares.list_versions(
            request.request_id, request.version_shares
        )
        for version in versions:
            group = view.get_group(request.service, version)
            prepared = prepared.find_affine(group)
            match by_work.select_policy(view, request.service):
                case by_work.Policy.WORK:
                    chosen = self._choose_by_work(
                        group, prepared, excluded, view
                    )
                case _:
                    chosen = self._choose_by_load(group, prepared, excluded)
            if chosen is not None:
                return self._build(*chosen, prepared, version, view)
        return requests.NoEndpoint(refuse_no_endpoint(request.service))

    def _choose_by_load(self, group, prepared, excluded):
        """Return the best of a few endpoints and its estimates, or None."""
        candidates = self._list_candidates(group, prepared, excluded)
        if not candidates:
            return None
        hold_s = group.hold_s or self.rules.hold_s
        return self._choose_best(prepared, candidates, hold_s)

    def _choose_by_work(self, group, prepared, excluded, view):
        """Return the endpoint of the least time and its estimates, or None."""
        return self._work_placement.choose(
            prepared,
            by_work.list_candidates(group, prepared, excluded, self._rng),
            by_work.ServiceCosts.build(
                prepared,
                self.estimator,
                group.hold_s,
                view.get_usual_load(prepared.request.service),
            ),
            self.rules,
        )

    def _list_candidates(self, group, prepared, excluded):
        """Return the records of the candidate endpoints by endpoint id."""
        rules = self.rules
        preferred = prepared.request.preferred
        if preferred and preferred not in excluded and preferred in group:
            return {preferred: group.get(preferred)}
        found = {
            record.endpoint.id: record
            for record in itertools.chain(
                group.list_least_loaded(
                    rules.least_loaded_count + len(excluded)
                ),
                group.sample(self._rng, rules.sample_count),
                filter(None, map(group.get, prepared.holders)),
                filter(None, [prepared.affine]),
            )
        }
        for endpoint_id in excluded:
            found.pop(endpoint_id, None)
        return found

    def _choose_best(self, prepared, candidates, hold_s):
        """Return the record with the lowest score, and its estimates."""
        lowest_price = min(
            record.endpoint.price_per_hour for record in candidates.values()
        )
        price_penalty_s = (
            self._get_price_penalty_s(prepared.request)
            if lowest_price
            else 0.0
        )
        best, best_score = None, math.inf
        for endpoint_id, record in candidates.items():
            compute_s = self._estimate_compute_s(endpoint_id, prepared)
            first_s = compute_s + self._estimate_wait_s(
                record, prepared.now_s, hold_s
            )
            score = compute_s
            score += (
                self.rules.lateness_penalty_s
                * (first_s / prepared.remaining_s) ** 2
            )
            if compute_s >= self.rules.long_prompt_s:
                score += (
                    self.rules.interference_fraction * compute_s * record.load
                )
            score += self.rules.failure_penalty_s * record.get_failure_rate(
                prepared.now_s
            )
            if price_penalty_s:
                relative_excess = (
                    record.endpoint.price_per_hour / lowest_price - 1.0
                )
                score += price_penalty_s * relative_excess
            if not prepared.request.idempotent:
                score += by_work.penalize_probe(record)
            if score < best_score:
                best, best_score, best_first_s = record, score, first_s
        compute_s = self._estimate_compute_s(best.endpoint.id, prepared)
        return best, {
            "cost": min(self._nodes, MAX_COUNTED_NODES) * compute_s,
            "compute_s": compute_s,
            "load": best.load,
            "expected_first_token_s": best_first_s,
        }

    def _build(self, record, estimates, prepared, version, view):
        """Return a record as the chosen endpoint.

        Parameters
        ----------
        record : EndpointRecord
            The endpoint.
        estimates : dict
            The fields of Chosen that depend on the policy.
        prepared : PreparedRequest
            The request.
        version : str
            The version for which it was chosen.
        view : EndpointView
            State of the endpoints.
        """
        endpoint = record.endpoint
        service = prepared.request.service
        cached = prepared.count_cached(endpoint.id)
        cold_rate, _ = view.get_cold_limit(endpoint.id, prepared.now_s)
        return requests.Chosen(
            endpoint_id=endpoint.id,
            address=endpoint.address,
            version=version,
            cached_tokens=cached,
            computed_tokens=prepared.tokens - cached,
            hashes=prepared.chain.hashes,
            identity=endpoint.identity or endpoint.id,
            demand_s=self._estimate_compute_s(endpoint.id, prepared),
            rate_per_s=record.rate_per_s,
            brittle_rejections=view.get_brittle(service),
            slots=record.slots,
            is_cold=cold_rate > 0.0,
            **estimates,
        )

    def _estimate_compute_s(self, endpoint_id, prepared):
        """Return the time to compute the prompt, in seconds."""
        computed = prepared.tokens - prepared.count_cached(endpoint_id)
        token_time_s = self._get_token_time_s(prepared.request.service)
        weighted = work.compute_weighted_tokens(prepared.tokens, computed)
        return self.rules.overhead_s + weighted * token_time_s

    def _estimate_wait_s(self, record, now_s, hold_s):
        """Return the expected queueing time of the prompt, in seconds."""
        load = record.load
        slots = record.slots
        wait_s = self.rules.load_delay_s
        if load < slots:
            wait_s *= load / slots
        if record.busy_until_s > now_s:
            wait_s += record.busy_until_s - now_s
        waiting = load + 1.0 - slots
        if waiting > 0:
            wait_s += hold_s * waiting / slots
        return wait_s

    def _get_price_penalty_s(self, request):
        """Return the penalty of twice the lowest price, in seconds."""
        match request.request_class:
            case environment.RequestClass.PATIENT:
                return self.rules.patient_price_penalty_s
            case _:
                return self.rules.price_penalty_s


def _update_estimate(estimate, sample):
    """Return an estimate that falls fast and rises slowly."""
    weight = DECREASE_WEIGHT if sample < estimate else INCREASE_WEIGHT
    return estimate + weight * (sample - estimate)


def refuse_no_region(request):
    """Return the refusal of a request whose regions have no endpoint.

    Parameters
    ----------
    request : RouteRequest
        The request, whose allowed regions are restricted.
    """
    names = ", ".join(sorted(request.allowed_regions)) or "none in common"
    return Refusal(
        RefusalKind.NO_CAPACITY,
        f"no allowed region of the request ({names}) has an endpoint of "
        f"service {request.service}",
        "send the request again after the given time, or have the allowed "
        "regions of the route or account changed",
        ExecutionStatus.NOT_RUN,
        RETRY_AFTER_S,
    )


def refuse_no_endpoint(service):
    """Return the refusal of a request without an available endpoint."""
    return Refusal(
        RefusalKind.NO_CAPACITY,
        f"no endpoint of service {service} accepts new requests",
        "send the request again after the given time",
        ExecutionStatus.NOT_RUN,
        RETRY_AFTER_S,
    )
