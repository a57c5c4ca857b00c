"""Standard load balancing policies, as a baseline for `Router`."""

import random

from mulberryhollow.coordination.routing import request as requests
from mulberryhollow.coordination.routing import router
from mulberryhollow.coordination.routing import shares

__all__ = ["LeastOutstanding", "PowerOfTwo", "RoundRobin"]


class _Baseline:
    """Base of the policies: finds the endpoints that may be chosen."""

    def choose(self, request, view, prefixes, now_s, excluded=frozenset()):
        """Choose an endpoint; see `Router.choose`."""
        view.advance(now_s)
        versions = shares.list_versions(
            request.request_id, request.version_shares
        )
        for version in versions:
            group = view.get_group(request.service, version)
            allowed = [
                record
                for record in group
                if record.endpoint.id not in excluded
            ]
            if allowed:
                return _wrap(self._pick(allowed))
        return requests.NoEndpoint(router.refuse_no_endpoint(request.service))

    def _pick(self, records):
        """Return one of the records."""
        raise NotImplementedError


class RoundRobin(_Baseline):
    """Chooses the endpoints in turn."""

    def __init__(self):
        self._turn = 0

    def _pick(self, records):
        """Return the record whose turn it is."""
        ordered = sorted(records, key=lambda record: record.endpoint.id)
        self._turn += 1
        return ordered[self._turn % len(ordered)]


class LeastOutstanding(_Baseline):
    """Chooses the endpoint with the fewest local requests in flight.

    Parameters
    ----------
    rng : random.Random or None
        Breaks ties; seeded with 0 when None.
    """

    def __init__(self, rng=None):
        self._rng = rng or random.Random(0)

    def _pick(self, records):
        """Return the record with the fewest local requests in flight."""
        fewest = min(record.local_load for record in records)
        return self._rng.choice(
            [record for record in records if record.local_load == fewest]
        )


class PowerOfTwo(_Baseline):
    """Chooses the less loaded of two endpoints drawn at random.

    Parameters
    ----------
    rng : random.Random or None
        Source of the draws; seeded with 0 when None.
    """

    def __init__(self, rng=None):
        self._rng = rng or random.Random(0)

    def _pick(self, records):
        """Return the less loaded of two records."""
        drawn = self._rng.sample(records, min(2, len(records)))
        return min(drawn, key=lambda record: record.relative_load)


def _wrap(record):
    """Return a record as the chosen endpoint."""
    return requests.Chosen(
        endpoint_id=record.endpoint.id,
        address=record.endpoint.address,
        version=record.endpoint.version,
    )
