"""Times that the requests of one service take at an average endpoint."""

import attrs

from mulberryhollow.coordination.work import levels
from mulberryhollow.coordination.work import prompts
from mulberryhollow.coordination.work import shared_means

__all__ = ["KnownTimes", "ServiceTimes"]

DEFAULT_TOKEN_S = 2e-5
"""Time to compute one prompt token until it is learned, in seconds."""

DEFAULT_GAP_S = 0.01
"""Time between two events until it is learned, in seconds."""

DEFAULT_WHOLE_S = 0.1
"""Time of a request to a plain service until it is learned, in seconds."""

MAX_SHORT_TOKENS = 700
"""Maximum number of computed tokens of a short prompt.

Its time to the first token is mostly a few steps and the network.
"""

MIN_LONG_TOKENS = 2_000
"""Minimum number of computed tokens from which the token time is learned."""

BATCH_MEMORY = 200.0
"""Number of latest answers from which the effect of the batch is learned."""

BATCH_RIDGE = 4.0
"""Variance of the batch, in answers, that counts as no effect of it."""

UNDELAYED_FRACTION = 0.1
"""Fraction of the first tokens that are assumed not to have been delayed.

The times to the first token of the others contain waits that were not known.
"""

MAX_CHANGE = 3.0
"""Factor by which one observation may differ from what is expected."""


_GAP_BATCHES = {"gap low": 1.0, "gap high": 33.0}
"""Batches at which the line of the gaps is shared, by name."""


@attrs.define
class _BatchLine:
    """Time between events as a line over the batch, fitted with forgetting."""

    weight: float = 0.0
    batch: float = 0.0
    gap_s: float = 0.0
    variance: float = 0.0
    covariance: float = 0.0

    def observe(self, batch, gap_s):
        """Add a gap at a batch."""
        self.weight = min(self.weight + 1.0, BATCH_MEMORY)
        share = 1.0 / self.weight
        batch_change, gap_change = batch - self.batch, gap_s - self.gap_s
        self.batch += share * batch_change
        self.gap_s += share * gap_change
        kept = 1.0 - share
        self.variance = kept * (self.variance + share * batch_change**2)
        self.covariance = kept * (
            self.covariance + share * batch_change * gap_change
        )

    def estimate(self, batch):
        """Return the expected gap at a batch."""
        ridge = BATCH_RIDGE / max(1.0, self.weight)
        slope = max(0.0, self.covariance / (self.variance + ridge))
        gap_s = self.gap_s + slope * (batch - self.batch)
        return min(MAX_CHANGE * self.gap_s, max(self.gap_s / 3.0, gap_s))


@attrs.frozen
class KnownTimes:
    """Times of one service, as far as they are learned at one moment.

    Parameters
    ----------
    first_s : float
        Time of a short prompt until its first token, in seconds.
    token_s : float
        Time to compute one weighted prompt token, in seconds.
    gap_s, gap_slope_s : float
        Time between two events with a single request, and what each further
        request adds to it, in seconds.
    long_prompt_s : float
        High quantile of the expected times of the prompts, in seconds.
    """

    first_s: float
    token_s: float
    gap_s: float
    gap_slope_s: float
    long_prompt_s: float

    def estimate_gap_s(self, batch):
        """Return the expected time between two events, in seconds."""
        more = batch - _GAP_BATCHES["gap low"]
        return self.gap_s + self.gap_slope_s * (more if more > 0.0 else 0.0)

    def estimate_prompt_s(self, tokens, computed):
        """Return the time to compute a prompt, in seconds."""
        weighted = prompts.compute_weighted_tokens(tokens, computed)
        return self.first_s + self.token_s * weighted


class ServiceTimes:
    """Learns the times of one service.

    Parameters
    ----------
    token_s : float
        Time to compute one weighted prompt token until it is learned, in
        seconds.

    Attributes
    ----------
    shared : SharedMeans
        The times, blended with those that other instances have learned.
    """

    def __init__(self, token_s=DEFAULT_TOKEN_S):
        self._first = levels.Window(UNDELAYED_FRACTION)
        self._token = levels.Window(UNDELAYED_FRACTION)
        self._prompt = levels.Level()
        self._line = _BatchLine()
        self._wholes = levels.LevelTable()
        self._default_token_s = token_s
        self.shared = shared_means.SharedMeans()

    @property
    def first_s(self):
        """Time of a short prompt until its first token, in seconds."""
        return self.shared.get("first", 0.0)

    @property
    def token_s(self):
        """Time to compute one weighted prompt token, in seconds."""
        return self.shared.get("token", self._default_token_s)

    @property
    def long_prompt_s(self):
        """High quantile of the expected times of the prompts, in seconds."""
        return max(self._prompt.mean, self._prompt.quantile)

    def observe_first(self, tokens, computed, first_s):
        """Add the time to the first token of a prompt that did not wait."""
        if computed <= MAX_SHORT_TOKENS:
            short_s = first_s - self.token_s * prompts.compute_weighted_tokens(
                tokens, computed
            )
            self._first.observe(max(0.0, short_s))
            self.shared.set("first", len(self._first), self._first.quantile)
        elif computed >= MIN_LONG_TOKENS:
            weighted = prompts.compute_weighted_tokens(tokens, computed)
            self._token.observe(max(0.0, first_s - self.first_s) / weighted)
            self.shared.set("token", len(self._token), self._token.quantile)

    def observe_prompt(self, prompt_s):
        """Add the expected time of a prompt that was computed."""
        self._prompt.observe(prompt_s)

    def observe_gap(self, batch, gap_s):
        """Add the usual gap between the events of an answer, in seconds."""
        expected_s = self.estimate_gap_s(batch)
        if self._line.weight:
            gap_s = _limit(gap_s, expected_s)
        self._line.observe(batch, gap_s)
        for name, known_batch in _GAP_BATCHES.items():
            gap_s = self._line.estimate(known_batch)
            self.shared.set(name, self._line.weight, gap_s)

    def observe_whole(self, route, whole_s):
        """Add the time that a plain request took, in seconds."""
        level = self._wholes.get(route)
        if level is not None:
            whole_s = _limit(whole_s, level.mean)
        self._wholes.observe(route, whole_s)
        level = self._wholes.get(route)
        self.shared.set(f"whole {route}", level.weight, level.mean)

    def estimate_gap_s(self, batch):
        """Return the expected time between two events, in seconds."""
        return self.read().estimate_gap_s(batch)

    def estimate_prompt_s(self, tokens, computed):
        """Return the time to compute a prompt, in seconds."""
        return self.read().estimate_prompt_s(tokens, computed)

    def read(self):
        """Return the KnownTimes, to estimate for several endpoints."""
        low_s = self.shared.get("gap low", DEFAULT_GAP_S)
        high_s = self.shared.get("gap high", low_s)
        span = _GAP_BATCHES["gap high"] - _GAP_BATCHES["gap low"]
        return KnownTimes(
            self.first_s,
            self.token_s,
            low_s,
            (high_s - low_s) / span,
            self.long_prompt_s,
        )

    def estimate_whole_s(self, route):
        """Return the time of a plain request and a high quantile, in s."""
        level = self._wholes.get(route)
        mean_s = self.shared.get(f"whole {route}", DEFAULT_WHOLE_S)
        return mean_s, max(mean_s, level.quantile if level else 0.0)


def _limit(value, expected):
    """Return a value, limited to `MAX_CHANGE` times what is expected."""
    return min(MAX_CHANGE * expected, max(expected / MAX_CHANGE, value))
