"""Choice of an endpoint by its expected time, price and cache."""

import dataclasses
import random

import attrs

from mulberryhollow.coordination.routing import request as requests
from mulberryhollow.coordination.routing import shares
from mulberryhollow.errors import Ran
from mulberryhollow.errors import Refusal
from mulberryhollow.errors import RefusalKind
from mulberryhollow.state import endpoints
from mulberryhollow.state import environment
from mulberryhollow.state import prefixes as prefix_index

__all__ = ["Router", "RoutingRules"]

RETRY_AFTER_S = 1.0
LEAST_LEFT_S = 0.05
PROBE_PENALTY_S = 1_000.0


@attrs.frozen
class RoutingRules:
    """Weights of the score.

    Parameters
    ----------
    compute_s_per_token : float
        Time to compute one prompt token, in seconds.
    hold_s : float
        Mean time that a request holds its slot, in seconds.
    load_s : float
        Slow-down of the first token by a full set of slots, in seconds.
    late_s : float
        Computing time that a first token at the deadline is worth, in
        seconds; one halfway to it is worth a quarter.
    price_s : float
        Computing time that twice the price is worth, in seconds.
    patient_price_s : float
        The same for patient requests, in seconds.
    sample_count, least_loaded_count : int
        Candidates drawn at random and taken by least load.
    """

    compute_s_per_token: float = 0.0001
    hold_s: float = 13.0
    load_s: float = 0.5
    late_s: float = 0.5
    price_s: float = 0.0
    patient_price_s: float = 0.1
    sample_count: int = 4
    least_loaded_count: int = 2


class Router:
    """Chooses endpoints; holds nothing but rules and a random source.

    Parameters
    ----------
    rules : RoutingRules or None
        Weights of the score; the defaults when None.
    rng : random.Random or None
        Source of the samples; seeded by 0 when None.
    """

    def __init__(self, rules=None, rng=None):
        self.rules = rules or RoutingRules()
        self._rng = rng or random.Random(0)
        self._nodes = 1

    def set_live_nodes(self, nodes):
        """Set the number of live nodes, this one included."""
        self._nodes = max(1, nodes)

    def choose(self, request, view, prefixes, now_s, excluded=frozenset()):
        """Choose the endpoint with the lowest expected cost.

        Parameters
        ----------
        request : RouteRequest
            What is to run.
        view : EndpointView
            What is known of the endpoints.
        prefixes : PrefixIndex or None
            What is known of their prompt caches.
        now_s : float
            The time, in seconds.
        excluded : set of str
            Ids of endpoints that this request may not go to.

        Returns
        -------
        Chosen or NoEndpoint
            The caller tells the view and the index once it is sent.
        """
        view.advance(now_s)
        hashes = _hash_prompt(request, prefixes)
        versions = shares.list_versions(
            request.request_id, request.version_shares
        )
        for version in versions:
            group = view.get_group(request.service, version)
            candidates = self._list_candidates(
                group, prefixes, hashes, excluded
            )
            if candidates:
                chosen = self._choose_best(
                    request, candidates, prefixes, hashes, now_s
                )
                return dataclasses.replace(chosen, version=version)
        return requests.NoEndpoint(refuse(request.service))

    def _list_candidates(self, group, prefixes, hashes, excluded):
        """Return the records to compare, by id."""
        least = group.list_least_loaded(
            self.rules.least_loaded_count + len(excluded)
        )
        sample = group.sample(self._rng, self.rules.sample_count)
        holders = ()
        if hashes:
            holders = map(group.get, prefixes.match_hashes(hashes))
        found = {
            record.endpoint.id: record
            for record in (*least, *sample, *holders)
            if record is not None
        }
        for endpoint_id in excluded:
            found.pop(endpoint_id, None)
        return found

    def _choose_best(self, request, candidates, prefixes, hashes, now_s):
        """Return the candidate with the lowest score."""
        tokens = request.prompt.count(" ") + 1 if request.prompt else 0
        floor = min(
            record.endpoint.price_per_hour for record in candidates.values()
        )
        left_s = max(LEAST_LEFT_S, request.deadline_s - now_s)
        best = None
        for endpoint_id, record in candidates.items():
            blocks = (
                prefixes.count_blocks(endpoint_id, hashes) if hashes else 0
            )
            cached = min(tokens, blocks * prefix_index.BLOCK_WORDS)
            first_s = self._estimate_first_token(
                record, tokens - cached, now_s
            )
            score = self._price(request, record, floor)
            score += (tokens - cached) * self.rules.compute_s_per_token
            score += self.rules.late_s * (first_s / left_s) ** 2
            if not request.idempotent:
                score += _penalize_probe(record)
            if best is None or score < best[0]:
                best = score, record, cached, first_s
        _, record, cached, first_s = best
        return requests.Chosen(
            endpoint_id=record.endpoint.id,
            address=record.endpoint.address,
            version=record.endpoint.version,
            cost=self._nodes
            * (tokens - cached)
            * self.rules.compute_s_per_token,
            cached_tokens=cached,
            computed_tokens=tokens - cached,
            expected_first_token_s=first_s,
            hashes=hashes,
        )

    def _estimate_first_token(self, record, computed_tokens, now_s):
        """Return the expected time to the first token, in seconds."""
        rules = self.rules
        load = record.load
        waiting = max(0.0, load + 1.0 - record.slots)
        wait_s = rules.hold_s * waiting / record.slots
        busy_s = rules.load_s * load / record.slots
        busy_s += record.get_backlog_s(now_s)
        return wait_s + busy_s + computed_tokens * rules.compute_s_per_token

    def _price(self, request, record, floor):
        """Return the price above the cheapest candidate, in seconds."""
        if not floor:
            return 0.0
        match request.request_class:
            case environment.RequestClass.PATIENT:
                weight_s = self.rules.patient_price_s
            case _:
                weight_s = self.rules.price_s
        return weight_s * (record.endpoint.price_per_hour / floor - 1.0)


def _hash_prompt(request, prefixes):
    """Return the prefix hashes of a prompt, if there is an index."""
    if prefixes is None or not request.prompt:
        return ()
    return prefix_index.hash_prefixes(request.prompt)


def _penalize_probe(record):
    """Return the penalty of an endpoint that has yet to prove itself."""
    is_closed = record.circuit.state is endpoints.CircuitState.CLOSED
    return 0.0 if is_closed else PROBE_PENALTY_S


def refuse(service):
    """Return the refusal of a request that no endpoint can take."""
    return Refusal(
        RefusalKind.NO_CAPACITY,
        f"no endpoint of service {service} takes new work",
        "send the request again after the given time",
        Ran.NOT_RUN,
        RETRY_AFTER_S,
    )
