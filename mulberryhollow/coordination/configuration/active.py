"""The active document of one instance; its version never decreases."""

import dataclasses
import logging

import attrs

from mulberryhollow.errors import ConfigurationError
from mulberryhollow.events import declare
from mulberryhollow.state.environment import Environment

__all__ = [
    "APPLIED",
    "ActiveDocument",
    "Applied",
    "Document",
    "REJECTED",
    "Rejected",
    "Stale",
]

APPLIED = declare(6000, logging.INFO, "an environment document became active")
REJECTED = declare(
    6001,
    logging.ERROR,
    "an environment document has faults; the previous one stays active",
    "correct each listed fault and apply the document again",
)


@attrs.frozen
class Document:
    """A valid document, as bytes and parsed.

    Parameters
    ----------
    version : int
        Version of the stored object that holds the document.
    data : bytes
        The document's bytes, as sent to peers.
    environment : Environment
        The parsed document.
    """

    version: int
    data: bytes
    environment: Environment


@dataclasses.dataclass(frozen=True)
class Applied:
    """The offered document is active now.

    Parameters
    ----------
    document : Document
        The active document.
    """

    document: Document


@dataclasses.dataclass(frozen=True)
class Stale:
    """The offered version is not higher than the active one.

    Parameters
    ----------
    offered_version, active_version : int
        The two versions.
    """

    offered_version: int
    active_version: int


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The offered document has faults; the active document stays.

    Parameters
    ----------
    version : int
        Version of the offered document.
    faults : tuple of Fault
        All faults found.
    is_repeated : bool
        Whether the same version was rejected before; callers use it to
        log a rejection only once.
    """

    version: int
    faults: tuple
    is_repeated: bool = False


class ActiveDocument:
    """Holds the highest valid version offered by the store or a peer.

    Parameters
    ----------
    parse : callable
        ``parse(data, version)`` returns an Environment or raises
        ConfigurationError, as `protocol.document.parse` does.

    Notes
    -----
    Only one actor may call `offer`. Other threads read `document` once per
    request; the Document is immutable and is replaced as a whole.
    """

    def __init__(self, parse):
        self._parse = parse
        self._document = None
        self._rejected = None
        self._peer_version = 0

    @property
    def document(self):
        """The active Document; None before the first one."""
        return self._document

    @property
    def version(self):
        """Version of the active document; 0 before the first one."""
        return self._document.version if self._document else 0

    @property
    def is_behind(self):
        """Whether a peer has reported a higher active version."""
        return self._peer_version > self.version

    def record_peer_version(self, version):
        """Record the version that a peer reports as active.

        Parameters
        ----------
        version : int
            The peer's version; ignored unless it is the highest so far.
        """
        self._peer_version = max(self._peer_version, version)

    def offer(self, version, data):
        """Make a document active if its version is higher and it is valid.

        Parameters
        ----------
        version : int
            Version of the stored object that holds the document.
        data : bytes
            The document's bytes, from the store, a watch or a peer.

        Returns
        -------
        Applied, Stale or Rejected
            Applied if the document is active now.
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
