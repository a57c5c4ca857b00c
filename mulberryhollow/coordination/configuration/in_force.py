"""The document in force at one instance, whose version only grows."""

import dataclasses
import logging

import attrs

from mulberryhollow.errors import ConfigurationError
from mulberryhollow.events import declare
from mulberryhollow.state.environment import Environment

__all__ = [
    "APPLIED",
    "REJECTED",
    "Applied",
    "Document",
    "InForce",
    "Rejected",
    "Stale",
]

APPLIED = declare(
    6000, logging.INFO, "an environment document came into force"
)
REJECTED = declare(
    6001,
    logging.ERROR,
    "an environment document has faults; the former one stays in force",
    "correct each named fault and apply the document again",
)


@attrs.frozen
class Document:
    """A checked document with its bytes.

    Parameters
    ----------
    version : int
        Version of the object that holds it.
    data : bytes
        Its bytes, as peers receive them.
    environment : Environment
        The same as typed data.
    """

    version: int
    data: bytes
    environment: Environment


@dataclasses.dataclass(frozen=True)
class Applied:
    """The offered document is in force now.

    Parameters
    ----------
    document : Document
        The document.
    """

    document: Document


@dataclasses.dataclass(frozen=True)
class Stale:
    """The offered version is not above the one in force.

    Parameters
    ----------
    offered_version, version_in_force : int
        The two versions.
    """

    offered_version: int
    version_in_force: int


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The offered document has faults; nothing changed.

    Parameters
    ----------
    version : int
        Version of the offered object.
    faults : tuple of Fault
        Every fault.
    is_repeated : bool
        Whether the same version was rejected before, so that it is
        reported once.
    """

    version: int
    faults: tuple
    is_repeated: bool = False


class InForce:
    """Keeps the highest good version offered by the store or a peer.

    Parameters
    ----------
    parse : callable
        ``parse(data, version)`` returns an Environment or raises
        ConfigurationError, as `protocol.document.parse` does.

    Notes
    -----
    One actor owns it. Readers in other threads take `document` once per
    request: it is replaced whole and never changed.
    """

    def __init__(self, parse):
        self._parse = parse
        self._document = None
        self._rejected = None
        self._heard_version = 0

    @property
    def document(self):
        """The Document in force; None before the first."""
        return self._document

    @property
    def version(self):
        """Version in force; 0 before the first document."""
        return self._document.version if self._document else 0

    @property
    def is_behind(self):
        """Whether a peer has a higher version in force."""
        return self._heard_version > self.version

    def hear(self, version):
        """Note a version that a peer reports to be in force.

        Parameters
        ----------
        version : int
            The peer's version; a lower one than before changes nothing.
        """
        self._heard_version = max(self._heard_version, version)

    def offer(self, version, data):
        """Consider a document from the store, a watch or a peer.

        Parameters
        ----------
        version : int
            Version of the object that holds it.
        data : bytes
            Its bytes.

        Returns
        -------
        Applied, Stale or Rejected
            What became of it.
        """
        if version <= self.version:
            return Stale(version, self.version)
        if self._rejected and self._rejected.version == version:
            return dataclasses.replace(self._rejected, is_repeated=True)
        try:
            environment = self._parse(data, version)
        except ConfigurationError as error:
            self._rejected = Rejected(version, error.faults)
            return self._rejected
        self._document = Document(version, data, environment)
        return Applied(self._document)
