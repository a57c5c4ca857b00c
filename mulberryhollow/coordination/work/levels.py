"""Mean and quantile of a stream of values, with forgetting."""

import collections

import attrs

__all__ = ["Level", "LevelTable", "Window"]

MAX_WEIGHT = 40.0
"""Number of latest values that a level remembers."""

HIGH_FRACTION = 0.9
"""Fraction of the values that are below a high quantile."""

STEP_FRACTION = 0.3
"""Step of the quantile, relative to the mean deviation of the values."""

MAX_WINDOW = 64
"""Number of latest values in a window."""

MAX_LEVELS = 4096
"""Number of levels kept in a table; the least recently used go first."""


@attrs.define
class Level:
    """Level of a stream of values.

    Parameters
    ----------
    fraction : float
        Fraction of the values that are below `quantile`.
    weight : float
        Effective number of values, up to `MAX_WEIGHT`.
    mean : float
        Mean of the latest values.
    deviation : float
        Their mean absolute deviation.
    quantile : float
        Quantile of them.
    """

    fraction: float = HIGH_FRACTION
    weight: float = 0.0
    mean: float = 0.0
    deviation: float = 0.0
    quantile: float = 0.0

    def observe(self, value):
        """Add a value."""
        if not self.weight:
            self.weight, self.mean, self.quantile = 1.0, value, value
            return
        self.weight = min(self.weight + 1.0, MAX_WEIGHT)
        self.mean += (value - self.mean) / self.weight
        self.deviation += (
            abs(value - self.mean) - self.deviation
        ) / self.weight
        step = STEP_FRACTION * self.deviation
        self.quantile += step * (self.fraction - (value <= self.quantile))


class Window:
    """Exact quantile of the latest values of a stream.

    Parameters
    ----------
    fraction : float
        Fraction of the values that are below the quantile.

    Attributes
    ----------
    quantile : float
        The quantile; 0 without values.
    """

    def __len__(self):
        return len(self._values)

    def __init__(self, fraction):
        self.quantile = 0.0
        self._fraction = fraction
        self._values = collections.deque(maxlen=MAX_WINDOW)

    def observe(self, value):
        """Add a value."""
        self._values.append(value)
        ordered = sorted(self._values)
        self.quantile = ordered[int(self._fraction * len(ordered))]


class LevelTable:
    """Levels by key, of which the least recently used are dropped.

    Parameters
    ----------
    max_levels : int
        Maximum number of levels.
    """

    def __init__(self, max_levels=MAX_LEVELS):
        self._max_levels = max_levels
        self._levels = collections.OrderedDict()

    def __len__(self):
        return len(self._levels)

    def __iter__(self):
        return iter(list(self._levels.items()))

    def get(self, key):
        """Return the Level of a key, or None."""
        return self._levels.get(key)

    def observe(self, key, value):
        """Add a value to the level of a key."""
        level = self._levels.get(key)
        if level is None:
            level = self._levels[key] = Level()
            if len(self._levels) > self._max_levels:
                self._levels.popitem(last=False)
        self._levels.move_to_end(key)
        level.observe(value)
