"""Placement by the expected time of a request at each endpoint."""

import enum
import heapq
import itertools
import math

import attrs

from mulberryhollow.coordination.routing import prepare
from mulberryhollow.coordination.routing import request as requests
from mulberryhollow.state import endpoints

__all__ = [
    "Policy",
    "ServiceCosts",
    "WorkPlacement",
    "list_candidates",
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

UNKNOWN_HOLD_S = 1.0
"""Time at an endpoint that is assumed before a request has ended, in s.

By then the aggregates contain the request.
"""

OCCUPANCY_WEIGHT = 0.5
"""Weight of the time in a slot against the time to the first token.

A slot is one of several, so the time in it costs other requests less.
"""

FULL_SLOWDOWN = 0.5
"""Fraction by which work is assumed to take longer when all slots are used."""

PROBE_PENALTY_S = 1_000.0
"""Penalty of probing a half-open endpoint with a non-idempotent request."""

MIN_SLOWNESS = 0.05
"""Lowest slowness that is drawn for an uncertain estimate."""


class Policy(enum.Enum):
    """How the endpoints of a service are chosen."""

    LOAD = "load"
    WORK = "work"


def select_policy(view, service):
    """Return the Policy for a service."""
    if view.reports_work_time(service):
        return Policy.WORK
    return Policy.LOAD


@attrs.frozen
class ServiceCosts:
    """Costs of a request at an endpoint of average speed.

    Parameters
    ----------
    token_time_s : float
        Time to compute one prompt token, in seconds.
    overhead_s : float
        Time of a request with a short prompt until its first token, in
        seconds.
    hold_s : float or None
        Time that a request stays at an endpoint, in seconds; None while it is
        not known.
    mean_others : float
        Mean number of requests of other instances at an endpoint.
    """

    token_time_s: float
    overhead_s: float
    hold_s: float | None
    mean_others: float


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
    members = [
        record for record in group if record.endpoint.id not in excluded
    ]
    if len(members) <= MAX_SCORED_ENDPOINTS:
        return members
    found = {
        record.endpoint.id: record
        for record in itertools.chain(
            heapq.nsmallest(LEAST_LOADED_COUNT, members, key=_rank_load),
            (rng.choice(members) for _ in range(SAMPLE_COUNT)),
            filter(None, map(group.get, prepared.holders)),
            filter(None, [prepared.affine]),
        )
    }
    for endpoint_id in excluded:
        found.pop(endpoint_id, None)
    return list(found.values())


def _rank_load(record):
    """Return the load per slot, weighted by the slowness of the endpoint."""
    backlog = record.backlog
    load = record.local_load + backlog.placed + backlog.others
    return (load + 1.0) / record.slots * record.slowness


@attrs.frozen
class _Score:
    """Expected times of a request at one endpoint, in seconds."""

    score: float
    compute_s: float
    wait_s: float
    first_s: float
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
        """Return the Chosen with the lowest score; None without candidates.

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
            record.endpoint.price_per_hour for record in candidates
        )
        best, best_score = None, None
        for record in candidates:
            found = self._score(record, prepared, costs, rules)
            score = found.score
            if lowest_price:
                score += (
                    rules.price_penalty_s
                    * record.endpoint.price_per_hour
                    / lowest_price
                )
            if best is None or score < best_score:
                best, best_score, best_found = record, score, found
        return self._build(prepared, best, best_found, costs)

    def _score(self, record, prepared, costs, rules):
        """Return the _Score of an endpoint."""
        now_s = prepared.now_s
        hold_s = costs.hold_s or UNKNOWN_HOLD_S
        load = self._draw_load(record, costs.mean_others, hold_s, now_s)
        slowness = self._draw_slowness(record)
        cached = prepared.count_cached(record.endpoint.id)
        compute_s = slowness * (
            costs.overhead_s
            + costs.token_time_s
            * prepare.compute_weighted_tokens(
                prepared.tokens, prepared.tokens - cached
            )
        )
        slots = record.slots
        slowdown = 1.0 + FULL_SLOWDOWN * min(1.0, load / slots)
        stay_s = hold_s * slowness * slowdown
        wait_s = max(0.0, record.busy_until_s - now_s)
        excess = load + 1.0 - slots
        if excess > 0.0:
            wait_s += stay_s * excess / slots
        if prepared.tokens:
            first_s = wait_s + compute_s * slowdown
            score = first_s + OCCUPANCY_WEIGHT * stay_s
        else:
            first_s = score = wait_s + stay_s
        score += (
            rules.lateness_penalty_s * (first_s / prepared.remaining_s) ** 2
        )
        if compute_s >= rules.long_prompt_s:
            score += rules.interference_fraction * compute_s * load
        score += rules.failure_penalty_s * record.get_failure_rate(now_s)
        if not prepared.request.idempotent:
            score += penalize_probe(record)
        return _Score(score, compute_s, wait_s, first_s, load)

    def _draw_load(self, record, mean_others, hold_s, now_s):
        """Return a number of requests at an endpoint, drawn if uncertain."""
        backlog = record.backlog
        others, variance = backlog.estimate_others(mean_others, hold_s, now_s)
        if variance > 0.0:
            others += self._rng.gauss(0.0, 1.0) * math.sqrt(variance)
        return record.local_load + backlog.placed + max(0.0, others)

    def _draw_slowness(self, record):
        """Return a slowness of an endpoint, drawn if uncertain."""
        spread = record.slowness_spread
        if not spread:
            return record.slowness
        drawn = record.slowness + spread * self._rng.gauss(0.0, 1.0)
        return max(MIN_SLOWNESS, drawn)

    def _build(self, prepared, record, found, costs):
        """Return a record as the chosen endpoint."""
        endpoint = record.endpoint
        cached = prepared.count_cached(endpoint.id)
        hold_s = costs.hold_s or UNKNOWN_HOLD_S
        return requests.Chosen(
            endpoint_id=endpoint.id,
            address=endpoint.address,
            version=endpoint.version,
            cost=found.compute_s,
            compute_s=found.compute_s,
            load=round(found.load, 2),
            cached_tokens=cached,
            computed_tokens=prepared.tokens - cached,
            expected_first_token_s=found.first_s,
            hashes=prepared.chain.hashes,
            identity=endpoint.identity or endpoint.id,
            rate_per_s=record.rate_per_s,
            slots=record.slots,
            hold_s=record.slowness * hold_s + found.wait_s,
        )


def penalize_probe(record):
    """Return the penalty of an endpoint whose circuit is not closed."""
    is_closed = record.circuit.state is endpoints.CircuitState.CLOSED
    return 0.0 if is_closed else PROBE_PENALTY_S
