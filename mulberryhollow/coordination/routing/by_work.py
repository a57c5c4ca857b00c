"""Placement by the expected time of a request at each endpoint."""

import collections
import enum
import heapq
import itertools
import math
import typing

import attrs

from mulberryhollow.coordination import work
from mulberryhollow.state import endpoints

__all__ = [
    "Policy",
    "ServiceCosts",
    "WorkPlacement",
    "list_candidates",
    "penalize_probe",
    "refresh_speeds",
    "select_policy",
]

MAX_SCORED_ENDPOINTS = 16
"""Number of endpoints up to which all are scored.

Of more, those with the least load and some others are scored, so that a
decision stays below 200 us at 60 endpoints.
"""

LEAST_LOADED_COUNT = 8
"""Number of endpoints with the least load that are scored."""

SAMPLE_COUNT = 4
"""Number of endpoints drawn at random that are scored."""

CACHING_COUNT = 4
"""Number of endpoints with the most of the prompt cached that are scored."""

RECOMPUTE_WEIGHT = 0.25
"""Weight of a prompt's compute time beside the time to its first token.

Parts that another endpoint has cached are computed once more, which takes
the endpoint's time from its other requests.
"""

UNKNOWN_HOLD_S = 1.0
"""Time at an endpoint that is assumed before a request has ended, in s.

By then the aggregates contain the request.
"""

OCCUPANCY_WEIGHT = 0.5
"""Weight of the time in a slot against the time to the first token.

A slot is one of several, so the time in it costs other requests less.
"""

PROBE_PENALTY_S = 1_000.0
"""Penalty of probing a half-open endpoint with a non-idempotent request."""

BACKLOG_KEPT = 0.9
"""Fraction of the prompt backlog that is kept at each refresh of the speeds.

The errors of its estimates would add up without bound where prompts keep an
endpoint almost always busy.
"""

MIN_SLOWNESS = 0.05
"""Lowest slowness that is drawn for an uncertain estimate."""


class Policy(enum.Enum):
    """How the endpoints of a service are chosen."""

    LOAD = "load"
    WORK = "work"


def select_policy(view, service):
    """Return the Policy for a service."""
    if view.is_work_based(service):
        return Policy.WORK
    return Policy.LOAD


@attrs.frozen
class ServiceCosts:
    """Costs of a request at an endpoint of average speed.

    Parameters
    ----------
    features : RequestFeatures
        The request, without what an endpoint has cached.
    times : KnownTimes
        Times of its service.
    events, high_events : float
        Expected number of events of the answer, and a high quantile.
    whole_s : float
        Expected time of a plain request, in seconds.
    hold_s : float
        Time that requests of this instance stay at an endpoint, in seconds.
    usual : UsualLoad
        Mean load of the endpoints of the service.
    """

    features: work.RequestFeatures
    times: object
    events: float
    high_events: float
    whole_s: float
    hold_s: float
    usual: endpoints.UsualLoad

    @classmethod
    def build(cls, prepared, estimator, hold_s, usual):
        """Return the costs of a PreparedRequest."""
        request = prepared.request
        features = work.RequestFeatures(
            request.service,
            str(request.request_class),
            request.account,
            prepared.tokens,
            max_output_tokens=request.max_output_tokens,
            hinted_output_tokens=request.hinted_output_tokens,
            affinity=prepared.chain.affinity,
        )
        times = estimator.get_times(request.service)
        events = high_events = 0.0
        if prepared.tokens:
            events, high_events = estimator.estimate_events(features)
        whole_s, _ = times.estimate_whole_s(features.route)
        return cls(
            features,
            times.read(),
            events,
            high_events,
            whole_s,
            hold_s or UNKNOWN_HOLD_S,
            usual,
        )


def list_candidates(group, prepared, excluded, rng):
    """Return the records of the endpoints to be scored.

    Parameters
    ----------
    group : EndpointGroup
        The available endpoints.
    prepared : PreparedRequest
        The request. If another instance has chosen an endpoint that is
        available, it is the only candidate.
    excluded : set of str
        Ids of endpoints that must not be chosen.
    rng : random.Random
        Source of the samples.
    """
    preferred = prepared.request.preferred
    if preferred and preferred not in excluded and preferred in group:
        return [group.get(preferred)]
    members = list(group)
    if excluded:
        members = [
            record for record in members if record.endpoint.id not in excluded
        ]
    if len(members) <= MAX_SCORED_ENDPOINTS:
        return members
    holders = prepared.holders
    caching = heapq.nlargest(CACHING_COUNT, holders, key=holders.get)
    found = {
        record.endpoint.id: record
        for record in itertools.chain(
            _list_least_loaded(members),
            (rng.choice(members) for _ in range(SAMPLE_COUNT)),
            filter(None, map(group.get, caching)),
            filter(None, [prepared.affine]),
        )
    }
    for endpoint_id in excluded:
        found.pop(endpoint_id, None)
    return list(found.values())


def _list_least_loaded(members):
    """Return those with the least load per slot, weighted by the slowness."""
    # All members are ranked, so a call for each would cost too much.
    ranks = [
        (
            record.local_load
            + (backlog := record.backlog).placed
            + backlog.others
            + 1.0
        )
        / record.slots
        * record.slowness
        for record in members
    ]
    order = sorted(range(len(members)), key=ranks.__getitem__)
    return [members[position] for position in order[:LEAST_LOADED_COUNT]]


class _Score(typing.NamedTuple):
    """Expected times of a request at one endpoint, in seconds."""

    score: float
    slowness: float
    compute_s: float
    wait_s: float
    first_s: float
    stay_s: float
    load: float


class WorkPlacement:
    """Chooses the endpoint where a request costs itself and others least.

    Parameters
    ----------
    rng : random.Random
        Source of the draws of what is uncertain, and of ties.

    Notes
    -----
    Where the load or the speed of an endpoint is uncertain, a value is drawn
    from its distribution. So instances with the same information choose
    different endpoints as far as they know little, and an endpoint that is
    believed to be slow is tried again after some time.
    """

    def __init__(self, rng):
        self._rng = rng

    def choose(self, prepared, candidates, costs, rules):
        """Return the record with the lowest score, and its estimates.

        The estimates are fields of Chosen; None without candidates.

        Parameters
        ----------
        prepared : PreparedRequest
            The request.
        candidates : list of EndpointRecord
            The endpoints.
        costs : ServiceCosts
            Costs of the request at an endpoint of average speed.
        rules : RoutingRules
            Weights of the score.
        """
        if not candidates:
            return None
        if len(candidates) > 1:
            self._rng.shuffle(candidates)
        lowest_price = min(
            [record.endpoint.price_per_hour for record in candidates]
        )
        best, best_score = None, None
        for record in candidates:
            found = self._score(record, prepared, costs, rules)
            score = found[0]
            if lowest_price:
                score += (
                    rules.price_penalty_s
                    * record.endpoint.price_per_hour
                    / lowest_price
                )
            if best is None or score < best_score:
                best, best_score, best_found = record, score, found
        return best, _describe(best, prepared, costs, _Score(*best_found))

    def _score(self, record, prepared, costs, rules):
        """Return the values of the _Score of an endpoint."""
        now_s = prepared.now_s
        tokens = costs.features.prompt_tokens
        slots = record.slots
        load = self._draw_load(record, costs, now_s)
        slowness = record.slowness
        if record.slowness_spread:
            slowness = self._draw_slowness(record)
        wait_s = 0.0
        if tokens:
            times = costs.times
            compute_s = slowness * times.estimate_prompt_s(
                tokens, tokens - prepared.count_cached(record.endpoint.id)
            )
            batch = load + 1.0
            output_s = costs.events * times.estimate_gap_s(
                batch if batch < slots else slots
            )
            stay_s = compute_s + slowness * output_s
            if record.busy_until_s > now_s:
                # Errors of the estimates add up in `busy_until_s`, but no
                # more prompts are computed than there are requests.
                wait_s = min(
                    record.busy_until_s - now_s,
                    slowness * load * times.long_prompt_s,
                )
        else:
            compute_s = stay_s = slowness * costs.whole_s
        excess = load + 1.0 - slots
        if excess > 0.0:
            usual_s = costs.hold_s if tokens else costs.whole_s
            wait_s += slowness * usual_s * excess / slots
        first_s = wait_s + compute_s
        score = first_s + OCCUPANCY_WEIGHT * (stay_s - compute_s)
        score += (
            rules.lateness_penalty_s * (first_s / prepared.remaining_s) ** 2
        )
        if tokens:
            score += RECOMPUTE_WEIGHT * compute_s
            share = compute_s / rules.long_prompt_s
            if share > 1.0:
                share = 1.0
            score += rules.interference_fraction * share * compute_s * load
        if record.failure_rate:
            score += rules.failure_penalty_s * record.get_failure_rate(now_s)
        if not prepared.request.idempotent:
            score += penalize_probe(record)
        return score, slowness, compute_s, wait_s, first_s, stay_s, load

    def _draw_load(self, record, costs, now_s):
        """Return a number of requests at an endpoint, drawn if uncertain."""
        backlog = record.backlog
        local = record.local_load
        others, variance = backlog.estimate_others(
            costs.usual, costs.hold_s, now_s, local
        )
        if variance > 0.0:
            others += self._rng.gauss(0.0, 1.0) * math.sqrt(variance)
        return local + backlog.placed + (others if others > 0.0 else 0.0)

    def _draw_slowness(self, record):
        """Return a slowness drawn from the distribution of the estimate."""
        drawn = record.slowness + (
            record.slowness_spread * self._rng.gauss(0.0, 1.0)
        )
        return max(MIN_SLOWNESS, drawn)


def _describe(record, prepared, costs, found):
    """Return what placement by work knows of a choice, by field of Chosen."""
    # The score was made with a drawn slowness, the rest counts as usual.
    usual = record.slowness / found.slowness
    compute_s = found.compute_s * usual
    stay_s = found.stay_s * usual
    age_s = prepared.now_s - record.backlog.others_s
    return {
        "cost": compute_s if prepared.tokens else 0.0,
        "compute_s": compute_s,
        "load": round(found.load, 2),
        "expected_first_token_s": found.first_s,
        "hold_s": found.wait_s + stay_s,
        "wait_s": found.wait_s,
        "memory_tokens": prepared.tokens + costs.events,
        "features": costs.features.set_cached(
            prepared.count_cached(record.endpoint.id)
        ),
        "slowness": record.slowness,
        "age_s": max(0.0, age_s) if math.isfinite(age_s) else 0.0,
    }


def refresh_speeds(view, estimator, now_s):
    """Update the slowness of the endpoints in services placed by work.

    Parameters
    ----------
    view : EndpointView
        The endpoints.
    estimator : WorkEstimator
        Its speeds are normalized to a mean of 1 in each service.
    now_s : float
        Monotonic time, in seconds.
    """
    speeds = estimator.speeds
    services = collections.defaultdict(list)
    speeds.keep({record.endpoint.id for record in view})
    for record in view:
        if view.is_work_based(record.endpoint.service):
            services[record.endpoint.service].append(record)
    for records in services.values():
        usual = sum(
            record.work_time.estimate(now_s)[0] for record in records
        ) / len(records)
        found = [
            speeds.estimate(
                record.endpoint.id,
                record.work_time.estimate(now_s)[0] / usual,
                now_s,
            )
            for record in records
        ]
        mean = sum(slowness for slowness, _ in found) / len(found)
        for record, (slowness, spread) in zip(records, found, strict=True):
            backlog_s = record.busy_until_s - now_s
            if backlog_s > 0.0:
                record.busy_until_s = now_s + BACKLOG_KEPT * backlog_s
            record.slowness = slowness / mean
            record.slowness_spread = spread / mean


def penalize_probe(record):
    """Return the penalty of an endpoint whose circuit is not closed."""
    is_closed = record.circuit.state is endpoints.CircuitState.CLOSED
    return 0.0 if is_closed else PROBE_PENALTY_S
