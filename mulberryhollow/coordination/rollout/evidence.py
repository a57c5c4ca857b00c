"""Sequential likelihood-ratio evidence that one version has more hits."""

import functools
import math

import attrs

__all__ = ["Arm", "Evidence", "compute_health_evidence"]

MAX_LOG_GAIN_PER_EVALUATION = 8.0
"""Maximum that one evaluation adds to the natural logarithm of the
evidence."""


@attrs.frozen
class Arm:
    """Requests of one version within one evaluation.

    Parameters
    ----------
    trials : int
        Number of requests with a known result.
    hits : int
        Number of these requests that failed, or that were slow.
    """

    trials: int
    hits: int

    def plus(self, other):
        """Return the sum of two arms."""
        return Arm(self.trials + other.trials, self.hits + other.hits)


@attrs.define
class Evidence:
    """Mixture of likelihood ratios over odds ratios and change points.

    Parameters
    ----------
    odds_ratios : tuple of float
        Alternative hypotheses: odds of a hit of the new version against the
        old one, all above one.

    Notes
    -----
    Given the hits and trials of both versions in an evaluation, the hits of
    the new version follow Fisher's noncentral hypergeometric distribution,
    whatever the common rate of hits is at that time. The product of the
    likelihood ratios therefore stays small when everything fails at once. By
    Ville's inequality it exceeds 1/alpha with probability alpha or less,
    however often it is evaluated, as long as the new version's odds are no
    higher than the old one's. If they are higher by much less than the
    smallest alternative, the evidence still shrinks on average.

    The normalising constant is replaced by the binomial one, which is no less
    (Hoeffding 1963); this can only lower the evidence.

    `add_change_point` adds a possible change point with some prior weight.
    The weights add up to one or less over the whole move, so the sum over all
    change points keeps the bound, and a change late in the move is found as
    quickly as an early one.
    """

    odds_ratios: tuple
    _logs: list = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Start with zero weight on all alternatives."""
        self._logs = [-math.inf] * len(self.odds_ratios)

    @property
    def log_value(self):
        """Natural logarithm of the mixture."""
        total = functools.reduce(_add_logs, self._logs)
        return total - math.log(len(self._logs))

    def add_change_point(self, weight):
        """Add a change point at this time, with a prior weight."""
        log_weight = math.log(weight)
        self._logs = [_add_logs(log, log_weight) for log in self._logs]

    def add(self, new, old):
        """Update the evidence with the results of one evaluation.

        Parameters
        ----------
        new, old : Arm
            Results of both versions over the same period.
        """
        trials = new.trials + old.trials
        hits = new.hits + old.hits
        if not new.trials or not old.trials or hits in (0, trials):
            return
        share = new.trials / trials
        if 2 * hits > trials:
            rarer_count, rarer_total, share = (
                old.trials - old.hits,
                trials - hits,
                1 - share,
            )
        else:
            rarer_count, rarer_total = new.hits, hits
        self._logs = [
            log + _compute_gain(ratio, rarer_count, rarer_total, share)
            for log, ratio in zip(self._logs, self.odds_ratios, strict=True)
        ]


def _compute_gain(ratio, rarer_count, rarer_total, share):
    """Return the logarithm of one evaluation's likelihood ratio.

    Only the rarer outcome, hits or misses, is counted. Of its
    ``rarer_total`` occurrences, ``rarer_count`` are those of the version for
    which the alternative hypothesis raises the odds of this outcome; that
    version has the fraction ``share`` of the trials.
    """
    gain = rarer_count * math.log(ratio)
    gain -= rarer_total * math.log1p((ratio - 1) * share)
    return min(gain, MAX_LOG_GAIN_PER_EVALUATION)


def _add_logs(first, second):
    """Return the logarithm of the sum of two exponentials."""
    if first < second:
        first, second = second, first
    if second == -math.inf:
        return first
    return first + math.log1p(math.exp(second - first))


def compute_health_evidence(new, old, excess, min_rate=0.0):
    """Return the evidence that the new version has no excess of hits.

    Parameters
    ----------
    new, old : Arm
        Results of both versions over the same period.
    excess : float
        Excess of the share of hits that would be too high.
    min_rate : float
        Minimum of the old version's share of hits, which few results of it
        can understate.

    Returns
    -------
    float
        Natural logarithm of the likelihood ratio of the new version's
        results: at the old version's rate of hits, against that rate plus
        the excess.
    """
    rate = max((old.hits + 0.5) / (old.trials + 1), min_rate)
    raised = rate + excess
    if raised >= 1:
        return 0.0
    misses = new.trials - new.hits
    return misses * math.log((1 - rate) / (1 - raised)) + new.hits * math.log(
        rate / raised
    )
