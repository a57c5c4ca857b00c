"""Sequential evidence that one version has more hits than another."""

import functools
import math

import attrs

__all__ = ["Arm", "Evidence", "weigh_harmlessness"]

MAX_LOG_GAIN_PER_LOOK = 8.0
"""Most that one look adds to the logarithm of the evidence."""


@attrs.frozen
class Arm:
    """Requests of one version within one look.

    Parameters
    ----------
    trials : int
        Requests with a known result.
    hits : int
        Those that failed, or that were slow.
    """

    trials: int
    hits: int

    def plus(self, other):
        """Return the sum of two results."""
        return Arm(self.trials + other.trials, self.hits + other.hits)


@attrs.define
class Evidence:
    """Mixture of likelihood ratios over odds ratios and times of change.

    Parameters
    ----------
    odds_ratios : tuple of float
        Alternatives for the odds of a hit, new against old, all above one.

    Notes
    -----
    Given the hits and trials of both versions in a look, the hits of the new
    version follow Fisher's noncentral hypergeometric distribution, whatever
    the common rate of hits is at that time. The product of its likelihood
    ratios therefore stays small when everything fails at once, and by Ville's
    inequality exceeds 1/alpha with probability alpha or less however often it
    is looked at, as long as the new version's odds are no higher. For odds
    that are higher by much less than the least alternative the evidence still
    shrinks on average.

    The normalising constant is replaced by the binomial one, which is no less
    (Hoeffding 1963), so this can only lower the evidence.

    `begin` opens a start of the change with some prior weight; the weights
    add up to one or less over the whole move, so the sum over all starts keeps
    the bound, and a change late in the move is found as quickly as an early
    one.
    """

    odds_ratios: tuple
    _logs: list = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Start with no weight on any alternative."""
        self._logs = [-math.inf] * len(self.odds_ratios)

    @property
    def log_value(self):
        """Natural logarithm of the mixture."""
        total = functools.reduce(_add_logs, self._logs)
        return total - math.log(len(self._logs))

    def begin(self, weight):
        """Open a start of the change here, with a prior weight."""
        log_weight = math.log(weight)
        self._logs = [_add_logs(log, log_weight) for log in self._logs]

    def add(self, new, old):
        """Take in the results of one look.

        Parameters
        ----------
        new, old : Arm
            Results of both versions over the same time.
        """
        trials = new.trials + old.trials
        hits = new.hits + old.hits
        if not new.trials or not old.trials or hits in (0, trials):
            return
        share = new.trials / trials
        if 2 * hits > trials:
            counted, of, share = (
                old.trials - old.hits,
                trials - hits,
                1 - share,
            )
        else:
            counted, of = new.hits, hits
        self._logs = [
            log + _compute_gain(ratio, counted, of, share)
            for log, ratio in zip(self._logs, self.odds_ratios, strict=True)
        ]


def _compute_gain(ratio, counted, of, share):
    """Return the logarithm of one look's likelihood ratio.

    Of the rarer of hits and misses, ``counted`` out of ``of`` fell to the
    version whose odds the alternative raises, and ``share`` of the
    trials.
    """
    gain = counted * math.log(ratio)
    gain -= of * math.log1p((ratio - 1) * share)
    return min(gain, MAX_LOG_GAIN_PER_LOOK)


def _add_logs(first, second):
    """Return the logarithm of the sum of two exponentials."""
    if first < second:
        first, second = second, first
    if second == -math.inf:
        return first
    return first + math.log1p(math.exp(second - first))


def weigh_harmlessness(new, old, excess):
    """Return the evidence that the new version has no excess of hits.

    Parameters
    ----------
    new, old : Arm
        Results of both versions over the same time.
    excess : float
        Excess of the share of hits that would be too much.

    Returns
    -------
    float
        Logarithm of the likelihood of the new version's results at the old
        one's rate against that rate plus the excess.
    """
    rate = (old.hits + 0.5) / (old.trials + 1)
    raised = rate + excess
    if raised >= 1:
        return 0.0
    misses = new.trials - new.hits
    return misses * math.log((1 - rate) / (1 - raised)) + new.hits * math.log(
        rate / raised
    )
