"""One measured figure and its bound."""

import attrs

__all__ = ["Figure"]


@attrs.frozen
class Figure:
    """A measured figure.

    Parameters
    ----------
    name : str
        What was measured.
    value : float
        What the run gave.
    unit : str
        Its unit; ``ratio`` and ``count`` included.
    at_most, at_least : float or None
        Bounds from the stated goals; None where there is none.
    """

    name: str
    value: float
    unit: str
    at_most: float | None = None
    at_least: float | None = None

    def is_within(self):
        """Return whether the figure keeps its bounds."""
        low = self.at_least is None or self.value >= self.at_least
        high = self.at_most is None or self.value <= self.at_most
        return low and high
