"""The active document of one instance, which no older one replaces."""

import dataclasses
import logging

import attrs

from mulberryhollow.errors import ConfigurationError
from mulberryhollow.events import declare
from mulberryhollow.state.environment import Environment
from mulberryhollow.state import objects

__all__ = [
    "APPLIED",
    "ActiveDocument",
    "Applied",
    "Document",
    "LOWER_NUMBER",
    "LowerNumber",
    "NUMBER_REPEATED",
    "REJECTED",
    "Rejected",
    "Republished",
    "Stale",
]

APPLIED = declare(6000, logging.INFO, "an environment document became active")
REJECTED = declare(
    6001,
    logging.ERROR,
    "an environment document has faults; the previous one stays active",
    "correct each listed fault and apply the document again",
)
LOWER_NUMBER = declare(
    6010,
    logging.WARNING,
    "a document with a lower number than the active one was written later; "
    "the active one stays",
    "give it a higher number if it is to replace the active one; after a "
    "restore of the store, wait until its author has written it again",
)
NUMBER_REPEATED = declare(
    6011,
    logging.WARNING,
    "a document has the number of the previous one and another content; the "
    "one that was written later is active",
    "give each document a number of its own",
)

MAX_PUBLISHED_STEP = 1000
"""Most by which a published version exceeds the one published before.

Builds that know no eras refuse what they read in the store until its
revisions have reached the published version. Numbers that are dates or times
would raise it for months.
"""


@attrs.frozen
class Document:
    """A valid document, as bytes and parsed.

    Parameters
    ----------
    version : int
        Version of the stored object from which the document became active;
        0 if a peer had published it.
    data : bytes
        The document's bytes, as sent to peers.
    environment : Environment
        The parsed document.
    published_version : int
        Version under which the document is published to peers.
    checked_version : int
        Highest version in the store that is known to hold no later document;
        0 if only peers have offered documents.
    """

    version: int
    data: bytes
    environment: Environment
    published_version: int
    checked_version: int

    @property
    def number(self):
        """Number that the document's author assigned; None if it has none."""
        return self.environment.number


@dataclasses.dataclass(frozen=True)
class Applied:
    """The offered document is active now.

    Parameters
    ----------
    document : Document
        The active document.
    is_number_repeated : bool
        Whether the previous document had the same number.
    """

    document: Document
    is_number_repeated: bool = False


@dataclasses.dataclass(frozen=True)
class Republished:
    """The active document stays and is to be published with another version.

    A peer has published a lower number with a version that is not lower, and
    peers keep what has the highest version.

    Parameters
    ----------
    document : Document
        The active document with its new published version.
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
class LowerNumber:
    """The offered version is higher, but the document's number is lower.

    Parameters
    ----------
    version : int
        Version of the offered document.
    number, active_number : int
        Numbers of the offered and the active document.
    """

    version: int
    number: int
    active_number: int


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
    """Holds the latest valid document offered by the store or a peer.

    Documents with a number, which their author assigns and which never
    decreases, are ordered by it, those without by their version. The store
    may come back from an older copy, whose documents then have later versions
    than the newer ones had that were lost.

    Parameters
    ----------
    parse : callable
        ``parse(data, version)`` returns an Environment or raises
        ConfigurationError, as `protocol.document.parse` does.

    Notes
    -----
    Only one actor may call `offer` and `offer_published`. Other threads read
    `document` once per request; the Document is immutable and is replaced as
    a whole.
    """

    def __init__(self, parse):
        self._parse = parse
        self._document = None
        self._rejected = None
        self._rejected_data = None
        self._peer_version = 0
        self._last_published = 0
        self._first_era = None

    @property
    def document(self):
        """The active Document; None before the first one."""
        return self._document

    @property
    def checked_version(self):
        """The active document's `checked_version`; 0 before the first one."""
        return self._document.checked_version if self._document else 0

    @property
    def is_behind(self):
        """Whether a peer has reported a higher active version."""
        return self._peer_version > self.checked_version

    def record_peer_version(self, version):
        """Record the version that a peer reports as active.

        Parameters
        ----------
        version : int
            The peer's version; ignored unless it is the highest so far.
        """
        self._peer_version = max(self._peer_version, version)

    def offer(self, version, data):
        """Make a document active if it is later and valid.

        Parameters
        ----------
        version : int
            Version of the stored object that holds the document.
        data : bytes
            The document's bytes, from the store or a watch.

        Returns
        -------
        Applied, Stale, LowerNumber or Rejected
            Applied if the document is active now.
        """
        if version <= self.checked_version:
            return Stale(version, self.checked_version)
        if self._first_era is None:
            self._first_era = objects.get_era(version)
        found = self._try_parse(version, data)
        if isinstance(found, Rejected):
            return found
        active = self._document
        if active is None or found.number is None or active.number is None:
            return self._apply(version, data, found)
        if found.number > active.number:
            return self._apply(version, data, found)
        if found.number == active.number and data != active.data:
            return self._apply(version, data, found)
        # What the store held before this version needs no further check.
        self._document = attrs.evolve(active, checked_version=version)
        if found.number == active.number:
            return Stale(version, active.checked_version)
        return LowerNumber(version, found.number, active.number)

    def offer_published(self, version, data):
        """Make a document that a peer has published active if it is later.

        Parameters
        ----------
        version : int
            Version under which it is published. It says nothing about the
            stored object if the document has a number.
        data : bytes
            The document's bytes.

        Returns
        -------
        Applied, Stale, LowerNumber, Republished or Rejected
            Applied if the document is active now.
        """
        active = self._document
        if active and active.number is None:
            return self.offer(version, data)
        self._last_published = max(self._last_published, version)
        if active and data == active.data:
            return Stale(version, active.checked_version)
        found = self._try_parse(version, data)
        if isinstance(found, Rejected):
            return found
        if found.number is None:
            return self.offer(version, data)
        if active and found.number < active.number:
            return self._publish_above(version)
        if active and found.number == active.number:
            return Stale(version, active.checked_version)
        self._document = Document(
            0, data, found, version, self.checked_version
        )
        return Applied(self._document)

    def _try_parse(self, version, data):
        """Return the parsed document, or Rejected if it has faults."""
        rejected = self._rejected
        if (
            rejected
            and rejected.version == version
            and self._rejected_data == data
        ):
            return dataclasses.replace(rejected, is_repeated=True)
        try:
            return self._parse(data, version)
        except ConfigurationError as error:
            self._rejected = Rejected(version, error.faults)
            self._rejected_data = data
            return self._rejected

    def _apply(self, version, data, found):
        """Make a document from the store active."""
        active = self._document
        self._document = Document(
            version,
            data,
            found,
            self._choose_published(version, found.number),
            version,
        )
        is_number_repeated = (
            active is not None
            and found.number is not None
            and found.number == active.number
        )
        return Applied(self._document, is_number_repeated)

    def _publish_above(self, version):
        """Publish the active document above the version of a lower number."""
        active = self._document
        if version < active.published_version:
            return Stale(version, active.checked_version)
        self._document = attrs.evolve(active, published_version=version + 1)
        self._last_published = max(self._last_published, version + 1)
        return Republished(self._document)

    def _choose_published(self, version, number):
        """Return the version under which a document is published.

        Builds that know no eras compare it with plain revisions. Since
        revisions may fall, it is raised above that of the earlier documents.
        It rises as the number does, so that instances of which some have
        missed a document choose the same one.
        """
        if number is None:
            return version
        step = 1
        active = self._document
        if (
            active is not None
            and active.number is not None
            and objects.get_era(version) > self._first_era
        ):
            step = max(1, min(number - active.number, MAX_PUBLISHED_STEP))
        self._last_published = max(
            objects.get_revision(version), self._last_published + step
        )
        return self._last_published
