"""Expected number of events of an answer."""

from mulberryhollow.coordination.work import levels
from mulberryhollow.coordination.work import shared_means

__all__ = ["LengthTable"]

DEFAULT_EVENTS = 32.0
"""Events of an answer that are assumed before one has ended."""

PRIOR_WEIGHT = 4.0
"""Answers of the wider group that count beside those of a narrower one."""

HINT_WEIGHT = 4.0
"""Weight of a caller's hint that has proven right, in answers."""

MAX_HINT_FACTOR = 8.0
"""Factor by which events and a hint may differ; others count as it."""


class LengthTable:
    """Learns how many events answers have, by route, account and prompt.

    Answers of the same route, account and shared prompt parts are likely to
    have similar lengths. Each narrower group starts from the wider one.

    Attributes
    ----------
    shared : SharedMeans
        Mean by route, blended with that of other instances.
    """

    def __init__(self):
        self.shared = shared_means.SharedMeans()
        self._lengths = levels.LevelTable()
        self._hints = levels.LevelTable()

    def observe(self, features, events):
        """Add the number of events of an answer that has ended."""
        for key in _list_keys(features):
            self._lengths.observe(key, events)
        route = _list_keys(features)[0]
        level = self._lengths.get(route)
        self.shared.set("\t".join(route), level.weight, level.mean)
        if features.hinted_output_tokens > 0:
            ratio = events / features.hinted_output_tokens
            key = features.service, features.route
            self._hints.observe(key, ratio)

    def estimate(self, features):
        """Return the expected number of events and a high quantile."""
        known = "\t".join(_list_keys(features)[0])
        mean = self.shared.get(known, None)
        high = None if mean is None else 2.0 * mean
        for key in _list_keys(features):
            level = self._lengths.get(key)
            if level is None:
                break
            share = level.weight / (level.weight + PRIOR_WEIGHT)
            mean += share * (level.mean - mean)
            high += share * (level.quantile - high)
        mean = self._apply_hint(features, mean)
        high = max(mean, 2.0 * mean if high is None else high)
        limit = features.max_output_tokens or high
        return min(mean, limit), min(high, limit)

    def _apply_hint(self, features, mean):
        """Return an expected number of events that heeds the hint."""
        hint = features.hinted_output_tokens
        if not hint:
            return DEFAULT_EVENTS if mean is None else mean
        level = self._hints.get((features.service, features.route))
        if level is None or not level.mean:
            return float(hint) if mean is None else mean
        hinted = hint * level.mean
        error = level.deviation / level.mean
        weight = HINT_WEIGHT / (1.0 + HINT_WEIGHT * error)
        factor = min(MAX_HINT_FACTOR, max(1 / MAX_HINT_FACTOR, hinted / mean))
        return mean * (1.0 + weight / (weight + 1.0) * (factor - 1.0))


def _list_keys(features):
    """Return the keys of the groups of a request, the widest first."""
    route = features.service, features.route
    keys = [route]
    if features.account:
        keys.append((*route, features.account))
    if features.affinity is not None:
        keys.append((*route, features.account, features.affinity))
    return keys
