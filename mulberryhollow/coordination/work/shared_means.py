"""Means that an instance learns from its own answers and those of others."""

import attrs

__all__ = ["SharedMeans"]


@attrs.define
class SharedMeans:
    """Estimates of this instance, blended with those of all others.

    An instance of a large fleet sees few answers a second, and a holder
    places many more requests than it sees answers of.

    Parameters
    ----------
    own : dict
        Name of a quantity to this instance's (weight, estimate) of it.
    remote : dict
        Name of a quantity to the sums of all others, as of `list_sums`.
    """

    own: dict = attrs.field(factory=dict)
    remote: dict = attrs.field(factory=dict)

    def set(self, name, weight, estimate):
        """Set this instance's estimate of a quantity.

        Parameters
        ----------
        name : str
            Name of the quantity.
        weight : float
            Number of answers that the estimate rests on.
        estimate : float
            The estimate.
        """
        self.own[name] = weight, estimate

    def get(self, name, default):
        """Return the blended estimate of a quantity, or the default."""
        weight, estimate = self.own.get(name, (0.0, 0.0))
        remote_weight, remote_sum = self.remote.get(name, (0.0, 0.0))
        whole = weight + remote_weight
        if whole <= 0.0:
            return default
        return (weight * estimate + remote_sum) / whole

    def get_weight(self, name):
        """Return the number of answers that an estimate rests on."""
        weight, _ = self.own.get(name, (0.0, 0.0))
        remote_weight, _ = self.remote.get(name, (0.0, 0.0))
        return weight + remote_weight

    def list_sums(self):
        """Return name to (weight, weight times estimate) of this instance."""
        return {
            name: (weight, weight * estimate)
            for name, (weight, estimate) in self.own.items()
        }
