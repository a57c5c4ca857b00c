"""Status pages of an instance."""

import attrs

from mulberryhollow.coordination import configuration
from mulberryhollow.protocol import status
from mulberryhollow.serving import moves
from mulberryhollow.serving import registry

__all__ = ["PageParts", "Pages"]

_OK = 200
_UNAVAILABLE = 503


@attrs.frozen
class PageParts:
    """Dependencies of the status pages.

    Parameters
    ----------
    instance, failure_domain, environment : str
        Names of this instance, its failure domain and its environment.
    gateway : Gateway
        Source of the active requests and of the leaving state.
    dispatcher : Dispatcher
        Source of the known endpoints.
    link : InstancePeering
        Source of the reachable peers and of the last contact with them.
    peers : Peers
        Source of the count of control traffic bytes.
    moves : pykka.ActorRef
        Actor that follows the version moves.
    observer : Observer
        Source of the counters and latency histograms.
    watch : ObjectWatch
        Watch of the document, with the time of its last contact.
    get_document : callable
        Returns the active Document, or None.
    clock : Clock
        Source of time.
    """

    instance: str
    failure_domain: str
    environment: str
    gateway: object
    dispatcher: object
    link: object
    peers: object
    moves: object
    observer: object
    watch: object
    get_document: object
    clock: object


class Pages:
    """Status pages, each a function that returns (HTTP status, value).

    Parameters
    ----------
    parts : PageParts
        Dependencies of the pages.
    """

    def __init__(self, parts):
        self._parts = parts

    def list_pages(self):
        """Return the function of each page by its path."""
        return {
            "/status": self.show_status,
            "/readyz": self.show_ready,
            "/histograms": self.show_histograms,
            "/member": lambda: registry.render_member(self._parts.peers),
            "/healthz": lambda: (_OK, {"alive": True}),
        }

    def show_status(self):
        """Return the status page for operators."""
        parts = self._parts
        followed = moves.list_moves(parts.moves)
        return _OK, {
            **attrs.asdict(self._read_status()),
            "active": parts.gateway.active_count,
            "endpoints": parts.dispatcher.read(_count_endpoints),
            "peers": len(parts.link.usable),
            "control_bytes": parts.peers.traffic.control_bytes,
            "leaving_endpoints": parts.dispatcher.read(_list_leaving),
            "moves": [attrs.asdict(each) for each in followed],
            "counts": parts.observer.list_counts(),
        }

    def show_histograms(self):
        """Return the page of latency histograms."""
        records = self._parts.observer.histograms.snapshot()
        return _OK, status.list_histograms(records)

    def show_ready(self):
        """Return the readiness page for the load balancer."""
        is_ready = self.is_ready()
        return (_OK if is_ready else _UNAVAILABLE), {"ready": is_ready}

    def is_ready(self):
        """Return whether the load balancer may send new callers here."""
        parts = self._parts
        decision = configuration.decide_ready(
            parts.clock.now_s(),
            parts.watch.last_contact_s,
            parts.link.last_contact_s,
            parts.get_document() is not None,
        )
        is_ready = isinstance(decision, configuration.Ready)
        return is_ready and not parts.gateway.is_leaving

    def _read_status(self):
        """Return the part of the status that the command line reads."""
        document = self._parts.get_document()
        return status.InstanceStatus(
            instance=self._parts.instance,
            failure_domain=self._parts.failure_domain,
            document_version=document.version if document else 0,
            document_digest=document.environment.digest if document else "",
            ready=self.is_ready(),
            environment=self._parts.environment,
        )


def _count_endpoints(actor, now_s):
    """Return how many endpoints are listed."""
    return len(actor.view)


def _list_leaving(actor, now_s):
    """Return the ids of the endpoints that are leaving."""
    return sorted(
        record.endpoint.id for record in actor.view if record.is_leaving
    )
