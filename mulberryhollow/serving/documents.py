"""Actor that keeps the environment document in force."""

import attrs
import pykka

from mulberryhollow.coordination import configuration
from mulberryhollow import events
from mulberryhollow.protocol import document as documents

__all__ = ["DocumentActor", "DocumentWatch", "Offer"]

KIND = "environment"
"""Kind of the objects that hold documents."""

WATCH_WAIT_S = 3.0
"""Longest wait of one watch at the platform, in seconds.

With the time between two watches it stays below the time without contact
after which an instance leaves the balancer.
"""


@attrs.frozen
class Offer:
    """A version of the document, from the store or a peer.

    Parameters
    ----------
    version : int
        Version of the object that holds it.
    data : bytes
        Its bytes.
    """

    version: int
    data: bytes


class DocumentActor(pykka.ThreadingActor):
    """Owns the document in force; a lower version never replaces it.

    Parameters
    ----------
    on_applied : callable
        Called with each Document that comes into force.
    """

    use_daemon_thread = True

    def __init__(self, on_applied):
        super().__init__()
        self._in_force = configuration.InForce(documents.parse)
        self._on_applied = on_applied

    def on_receive(self, message):
        """Take an Offer; return what became of it."""
        result = self._in_force.offer(message.version, message.data)
        match result:
            case configuration.Applied(document):
                events.log(
                    configuration.APPLIED,
                    version=document.version,
                    digest=document.environment.digest,
                )
                self._on_applied(document)
            case configuration.Rejected(is_repeated=False):
                events.log(
                    configuration.REJECTED,
                    version=result.version,
                    faults=[str(fault) for fault in result.faults],
                )
        return result


class DocumentWatch:
    """Reads the document from the store and waits for newer ones.

    Parameters
    ----------
    store : StoreClient
        Adapter to the object API.
    name : str
        Name of the environment.
    actor : pykka.ActorRef
        A running DocumentActor.
    clock : Clock
        Source of time.
    """

    def __init__(self, store, name, actor, clock):
        self._store = store
        self._name = name
        self._actor = actor
        self._clock = clock
        self._revision = None
        self.last_contact_s = None

    def read(self):
        """Read or wait once.

        Raises
        ------
        StoreUnavailableError
            When the platform gave no usable answer; the next call lists
            the objects anew, so that nothing is missed.

        Notes
        -----
        A list may be stale although its revision is the latest one, so
        the watch begins after the version that the list showed.
        """
        known, self._revision = self._revision, None
        if known is None:
            _, found = self._store.list_objects(KIND)
            revision = max(map(self._get_version, found), default=0)
        else:
            revision, found = self._store.watch(KIND, known, WATCH_WAIT_S)
        self.last_contact_s = self._clock.now_s()
        for each in filter(self._get_version, found):
            self._actor.tell(Offer(each.version, each.value))
        self._revision = revision

    def _get_version(self, item):
        """Return the version of the document; 0 for other objects."""
        is_document = item.name == self._name and not item.is_deleted
        return item.version if is_document else 0
