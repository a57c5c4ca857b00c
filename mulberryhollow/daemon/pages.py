"""Status pages of an instance."""

import attrs

from mulberryhollow.coordination import configuration
from mulberryhollow.protocol import status
from mulberryhollow.serving import moves
from mulberryhollow.serving import registry

__all__ = ["PageDependencies", "Pages"]

_OK = 200
_UNAVAILABLE = 503


@attrs.frozen
class PageDependencies:
    """Dependencies of the status pages.

    Parameters
    ----------
    instance, failure_domain, environment : str
        Names of this instance, its failure domain and its environment.
    gateway : Gateway
        Source of the active requests and of the leaving state.
    dispatcher : Dispatcher
        Source of the known endpoints.
    peering : InstancePeering
        Source of the reachable peers and of the last contact with them.
    peers : Peers
        Source of the count of control traffic bytes.
    moves : pykka.ActorRef
        Actor that follows the version moves.
    observer : Observer
        Source of the counters and latency histograms.
    document_watch : ObjectWatch
        Watch of the document; source of the last contact with the store.
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
    peering: object
    peers: object
    moves: object
    observer: object
    document_watch: object
    get_document: object
    clock: object


class Pages:
    """Status pages, each a function that returns (HTTP status, value).

    Parameters
    ----------
    dependencies : PageDependencies
        Dependencies of the pages.
    """

    def __init__(self, dependencies):
        self._dependencies = dependencies

    def list_pages(self):
        """Return the function of each page by its path."""
        return {
            "/status": self.render_status,
            "/readyz": self.render_readiness,
            "/histograms": self.render_histograms,
            "/member": lambda: registry.render_member(
                self._dependencies.peers
            ),
            "/healthz": lambda: (_OK, {"alive": True}),
        }

    def render_status(self):
        """Return the status page for operators."""
        dependencies = self._dependencies
        followed = moves.list_moves(dependencies.moves)
        return _OK, {
            **attrs.asdict(self._read_status()),
            "active": dependencies.gateway.active_count,
            "endpoints": dependencies.dispatcher.read(_count_endpoints),
            "peers": len(dependencies.peering.usable),
            "control_bytes": dependencies.peers.traffic.control_bytes,
            "leaving_endpoints": dependencies.dispatcher.read(_list_leaving),
            "moves": [attrs.asdict(each) for each in followed],
            "counts": dependencies.observer.list_counts(),
        }

    def render_histograms(self):
        """Return the page of latency histograms."""
        records = self._dependencies.observer.histograms.snapshot()
        return _OK, status.list_histograms(records)

    def render_readiness(self):
        """Return the readiness page for the load balancer."""
        is_ready = self.is_ready()
        return (_OK if is_ready else _UNAVAILABLE), {"ready": is_ready}

    def is_ready(self):
        """Return whether the load balancer may send new callers here."""
        dependencies = self._dependencies
        decision = configuration.decide_ready(
            dependencies.clock.now_s(),
            dependencies.document_watch.last_contact_s,
            dependencies.peering.last_contact_s,
            dependencies.get_document() is not None,
        )
        is_ready = isinstance(decision, configuration.Ready)
        return is_ready and not dependencies.gateway.is_leaving

    def _read_status(self):
        """Return the part of the status that the command line reads."""
        document = self._dependencies.get_document()
        return status.InstanceStatus(
            instance=self._dependencies.instance,
            failure_domain=self._dependencies.failure_domain,
            document_version=document.version if document else 0,
            document_digest=document.environment.digest if document else "",
            ready=self.is_ready(),
            environment=self._dependencies.environment,
        )


def _count_endpoints(actor, now_s):
    """Return how many endpoints are listed."""
    return len(actor.view)


def _list_leaving(actor, now_s):
    """Return the ids of the endpoints that are leaving."""
    return sorted(
        record.endpoint.id for record in actor.view if record.is_leaving
    )
