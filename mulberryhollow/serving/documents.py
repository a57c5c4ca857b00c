"""Actor that holds the active environment document."""

import attrs

from mulberryhollow.coordination import configuration
from mulberryhollow import events
from mulberryhollow.protocol import document as documents
from mulberryhollow.serving import watch
from mulberryhollow.transport import actors

__all__ = [
    "DocumentActor",
    "DocumentFollower",
    "DocumentUpdate",
    "PublishedDocument",
    "watch_document",
]

KIND = "environment"
"""Kind of the stored objects that hold documents."""


@attrs.frozen
class DocumentUpdate:
    """A version of the document, read from the store.

    Parameters
    ----------
    version : int
        Version of the stored object that holds the document.
    data : bytes
        Encoded document.
    """

    version: int
    data: bytes


@attrs.frozen
class PublishedDocument:
    """A document that a peer has published as active.

    Parameters
    ----------
    version : int
        Version under which it is published.
    data : bytes
        Encoded document.
    """

    version: int
    data: bytes


class DocumentActor(actors.ResilientActor):
    """Owns the active document; an earlier one never replaces it.

    Parameters
    ----------
    on_applied : callable
        Called with each Document that becomes active.
    parse : callable
        ``parse(data, version)`` returns the typed content, which has a
        `digest` and a `number`, or raises ConfigurationError.
    on_republished : callable
        Called with the active Document if only the version under which it is
        published has changed.
    """

    use_daemon_thread = True

    def __init__(
        self,
        on_applied,
        parse=documents.parse,
        on_republished=lambda document: None,
    ):
        super().__init__()
        self._active_document = configuration.ActiveDocument(parse)
        self._on_applied = on_applied
        self._on_republished = on_republished

    def on_receive(self, message):
        """Handle an offered document; return its result, such as Applied."""
        match message:
            case PublishedDocument(version, data):
                result = self._active_document.offer_published(version, data)
            case DocumentUpdate(version, data):
                result = self._active_document.offer(version, data)
        match result:
            case configuration.Applied(document, is_number_repeated):
                events.log(
                    configuration.APPLIED,
                    version=document.checked_version,
                    digest=document.environment.digest,
                )
                if is_number_repeated:
                    events.log(
                        configuration.NUMBER_REPEATED,
                        version=document.checked_version,
                        number=document.number,
                    )
                self._on_applied(document)
            case configuration.Republished(document):
                self._on_republished(document)
            case configuration.LowerNumber(version, number, active_number):
                events.log(
                    configuration.LOWER_NUMBER,
                    version=version,
                    number=number,
                    active=active_number,
                )
            case configuration.Rejected(is_repeated=False):
                events.log(
                    configuration.REJECTED,
                    version=result.version,
                    faults=[str(fault) for fault in result.faults],
                )
        return result


def watch_document(store, name, actor, clock):
    """Return a watch that sends each version of a document to its actor.

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
        lambda item: actor.tell(DocumentUpdate(item.version, item.value)),
        lambda item: item.name == name,
    )


class DocumentFollower:
    """Sends each version of one object to the document actor.

    Implements the callbacks that `ObjectFollower` calls.

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

    def handle_list(self, items, revision=0):
        """Send the object to the actor if it is listed."""
        self.handle_changes(items)

    def handle_changes(self, items):
        """Send the object to the actor if it is among the changed ones."""
        for item in items:
            if item.name == self._name and not item.is_deleted:
                self._actor.tell(DocumentUpdate(item.version, item.value))

    def record_recovery(self, at_s, last_use_s):
        """Do nothing, since a document does not expire."""
