"""A measured figure and its bounds."""

import attrs

__all__ = ["Figure"]


@attrs.frozen
class Figure:
    """A measured figure.

    Parameters
    ----------
    name : str
        Name of the quantity.
    value : float
        Measured value.
    unit : str
        Unit of the value; ``ratio`` or ``count`` for a plain number.
    at_most, at_least : float or None
        Upper and lower bound, inclusive; None for no bound.
    """

    name: str
    value: float
    unit: str
    at_most: float | None = None
    at_least: float | None = None

    def is_within(self):
        """Return whether the value is within the bounds."""
        low = self.at_least is None or self.value >= self.at_least
        high = self.at_most is None or self.value <= self.at_most
        return low and high
