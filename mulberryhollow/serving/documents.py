"""Actor that keeps the environment document in force."""

import attrs
import pykka

from mulberryhollow.coordination import configuration
from mulberryhollow import events
from mulberryhollow.protocol import document as documents
from mulberryhollow.serving import watch

__all__ = ["DocumentActor", "DocumentFollower", "Offer", "watch_document"]

KIND = "environment"
"""Kind of the objects that hold documents."""


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
    parse : callable
        ``parse(data, version)`` returns the typed content, which has a
        `digest`, or raises ConfigurationError.
    """

    use_daemon_thread = True

    def __init__(self, on_applied, parse=documents.parse):
        super().__init__()
        self._in_force = configuration.InForce(parse)
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


def watch_document(store, name, actor, clock):
    """Return the watch that offers each version of a document.

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
    return watch.ObjectWatch(
        store,
        KIND,
        clock,
        lambda item: actor.tell(Offer(item.version, item.value)),
        lambda item: item.name == name,
    )


class DocumentFollower:
    """Offers each version of one object that `ObjectFollow` finds.

    Parameters
    ----------
    name : str
        Name of the object.
    actor : pykka.ActorRef
        A running DocumentActor.
    """

    def __init__(self, name, actor):
        self._name = name
        self._actor = actor

    def take_list(self, items):
        """Offer the object if it is among those listed."""
        self.take_changes(items)

    def take_changes(self, items):
        """Offer the object if it has changed."""
        for item in items:
            if item.name == self._name and not item.is_deleted:
                self._actor.tell(Offer(item.version, item.value))

    def note_return(self):
        """Do nothing, since a document does not lapse."""
