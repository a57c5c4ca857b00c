"""Finding of the check of a configuration."""

import enum

import attrs

__all__ = ["Finding", "Severity"]


class Severity(enum.IntEnum):
    """Severity of a finding, least severe first."""

    NOTE = 0
    WARNING = 1
    ERROR = 2


@attrs.frozen
class Finding:
    """What a rule found in a configuration.

    Parameters
    ----------
    severity : Severity
        A note is a difference from the version in force. A warning is an
        entry without an effect or a contradiction. An error refuses
        requests, or the whole configuration.
    entry : str
        Kind and name of the entry, for example ``route r1``.
    message : str
        Description of what was found.
    remedy : str
        What the operator can do about it.
    """

    severity: Severity
    entry: str
    message: str
    remedy: str

    def __str__(self):
        name = self.severity.name.lower()
        return f"{name}: {self.entry}: {self.message} ({self.remedy})"
