"""Construction, start and shutdown of one entry instance."""

import functools
import threading
import zlib

import attrs

from mulberryhollow.coordination import configuration
from mulberryhollow.coordination import intake
from mulberryhollow.coordination import membership
from mulberryhollow.coordination import rollout
from mulberryhollow.daemon import pages
from mulberryhollow.daemon import settings as declared
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow import metrics
from mulberryhollow.serving import bookings
from mulberryhollow.serving import capacity
from mulberryhollow.serving import claims
from mulberryhollow.serving import detached_answers
from mulberryhollow.serving import dispatcher as dispatching
from mulberryhollow.serving import documents
from mulberryhollow.serving import gateway as gateways
from mulberryhollow.serving import lookups
from mulberryhollow.serving import moves
from mulberryhollow.serving import notices as notices_module
from mulberryhollow.serving import observed_store
from mulberryhollow.serving import observer as observing
from mulberryhollow.serving import peering
from mulberryhollow.serving import pollers
from mulberryhollow.serving import registry
from mulberryhollow.serving import relay
from mulberryhollow.transport import callers
from mulberryhollow.transport import cloud
from mulberryhollow.transport import endpoints
from mulberryhollow.transport import gossip
from mulberryhollow.transport import http_server
from mulberryhollow.transport import peers
from mulberryhollow.transport import store

__all__ = ["EntryDaemon"]

_DRAIN_POLL_INTERVAL_S = 0.02
_FLUSH_TIMEOUT_S = 2.0
_IDLE_CONNECTIONS_TIMEOUT_S = http_server.FIRST_REQUEST_TIMEOUT_S + 2.0
"""Maximum wait until every connection is idle, in seconds.

Covers the wait for the first request of a caller that has just connected
and 2 s to send its answer.
"""

_HANDSHAKE_S = 0.1
"""Time in which callers complete the connections that they open, in seconds.

Some round trips between two regions.
"""

_WATCH_RETRY_INTERVAL_S = 0.2
_REGISTRATION_INTERVAL_S = 0.5
_CLAIM_CLEANUP_INTERVAL_S = 300.0
_WATCHERS_PER_DOMAIN = 2


@attrs.frozen
class _DomainMember:
    """An instance and its failure domain, to choose the watchers from."""

    instance: str
    failure_domain: str


class EntryDaemon:
    """One entry instance with all its components.

    Parameters
    ----------
    settings : Settings
        Parsed settings of the instance.
    clock : Clock
        Source of time.
    """

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self.instance = settings.get(declared.INSTANCE)
        self.observer = observing.Observer(
            metrics.Metrics(settings.get(metrics.ADDRESS))
        )
        self.notices = notices_module.Notices()
        self._store = observed_store.ObservedStore(
            settings.get(declared.STORE_ADDRESS), self.observer
        )
        self._cloud = cloud.CloudClient(settings.get(declared.CLOUD_ADDRESS))
        self._client = endpoints.EndpointClient(clock)
        self._detached_answers = detached_answers.DetachedAnswerCache(clock)
        self.dispatcher = self._make_dispatcher()
        self.gateway = self._make_gateway()
        self._pages = {}
        self._server = self._make_server()
        self._peers = self._start_peers()
        self._documents = documents.DocumentActor.start(self._apply)
        self._notice_poller = pollers.NoticePoller(
            self._cloud,
            self.dispatcher,
            self.notices,
            self._leave_if_reclaimed,
            lambda notice: self._peering.publish_notice(notice),
        )
        self._peering = self._make_peering()
        self._moves = self._start_moves()
        self._move_watch = moves.watch_moves(
            self._store, self._moves, self._clock
        )
        self._registry = registry.Registry(
            self._store, self._cloud, self._peers
        )
        self._document_watch = documents.watch_document(
            self._store,
            settings.get(declared.ENVIRONMENT),
            self._documents,
            clock,
        )
        self._document = None
        self._pages.update(self._list_pages())
        self._loops = self._make_loops()

    @property
    def address(self):
        """Address that the server for callers listens on, ``host:port``."""
        return f"{self._server.effective_host}:{self._server.effective_port}"

    def start(self):
        """Connect to peers, start the polling loops and serve callers."""
        self._peering.connect()
        for loop in self._loops:
            loop.start()
        threading.Thread(
            target=self._server.run, name="callers", daemon=True
        ).start()

    def stop(self):
        """Drain the instance and shut it down.

        New requests are still accepted for `LEAVE_LEAD_S`. Running requests
        get the grace time to finish; then their answers move to a peer.
        """
        self.gateway.leave()
        self._remove_registration()
        grace_end_s = self._clock.now_s() + self._settings.get(
            declared.GRACE_S
        )
        self._wait_idle(gateways.LEAVE_LEAD_S, waits_full_time=True)
        self._wait_idle(grace_end_s - self._clock.now_s())
        self.gateway.move_relays()
        self._wait_idle(_FLUSH_TIMEOUT_S)
        http_server.ignore_connections(self._server)
        self._clock.sleep(_HANDSHAKE_S)
        closed = http_server.stop_accepting(self._server)
        self._clock.wait(closed, _FLUSH_TIMEOUT_S)
        self._wait_connections_idle()
        for loop in self._loops:
            loop.stop()
        self._peers.leave()

    def _remove_registration(self):
        """Delete the registration; log the failure if the store is down."""
        try:
            self._registry.remove()
        except errors.StoreUnavailableError as error:
            events.log(pollers.READ_FAILED, reason=error.message)

    def _list_pages(self):
        """Return the function of each status page by its path."""
        get = self._settings.get
        status_pages = pages.Pages(
            pages.PageDependencies(
                instance=self.instance,
                failure_domain=get(declared.FAILURE_DOMAIN),
                environment=get(declared.ENVIRONMENT),
                gateway=self.gateway,
                dispatcher=self.dispatcher,
                peering=self._peering,
                peers=self._peers,
                moves=self._moves,
                observer=self.observer,
                document_watch=self._document_watch,
                get_document=lambda: self._document,
                clock=self._clock,
            )
        )
        return status_pages.list_pages()

    def _make_dispatcher(self):
        """Start the dispatch actor and return its facade."""
        seed = zlib.crc32(self.instance.encode())
        actor = dispatching.DispatchActor.start(self._clock, seed)
        return dispatching.Dispatcher(actor, self._clock)

    def _make_gateway(self):
        """Return the gateway with the handlers behind it."""
        self._claims = claims.ClaimStore(claims.ClaimActor.start(self._store))
        return gateways.Gateway(
            gateways.GatewayDependencies(
                instance=self.instance,
                dispatcher=self.dispatcher,
                relay_dependencies=relay.RelayDependencies(
                    self.dispatcher,
                    self._client,
                    self._clock,
                    self.observer,
                    self.notices,
                ),
                bookings=bookings.BookingHandler(
                    self._claims, self._client, self.dispatcher, self._clock
                ),
                lookups=lookups.LookupHandler(
                    self._client, self.dispatcher, self._clock
                ),
                detached_answers=self._detached_answers,
                clock=self._clock,
            )
        )

    def _make_loops(self):
        """Return the loops that run periodic work, each in a thread."""
        endpoint_poller = pollers.EndpointPoller(
            self._cloud, self.dispatcher, self.notices
        )
        load_poller = pollers.LoadPoller(
            self._client, self.dispatcher, endpoint_poller
        )
        make = self._make_loop
        loops = [
            make("list", declared.LIST_INTERVAL_S, endpoint_poller.read),
            make("notices", declared.NOTICE_INTERVAL_S, self._read_notices),
            make("load", declared.LOAD_INTERVAL_S, load_poller.read),
            make(
                "moves", declared.MOVE_EVALUATION_INTERVAL_S, self._tick_moves
            ),
            pollers.Loop(
                "move-watch",
                self._clock,
                _WATCH_RETRY_INTERVAL_S,
                self._read_moves,
            ),
            make("peers", declared.REPORT_INTERVAL_S, self._peering.tick),
            pollers.Loop(
                "document",
                self._clock,
                _WATCH_RETRY_INTERVAL_S,
                self._read_document,
            ),
            pollers.Loop(
                "registry",
                self._clock,
                _REGISTRATION_INTERVAL_S,
                self._registry.register,
            ),
        ]
        expired = claims.ExpiredClaimCleaner(
            self._store,
            self._clock,
            lambda: self._peering.is_owner("expired claims"),
        )
        loops.append(
            pollers.Loop(
                "expired",
                self._clock,
                _CLAIM_CLEANUP_INTERVAL_S,
                expired.remove,
            )
        )
        if self._settings.get(declared.CAPACITY_MODE) == "act":
            controller = self._make_capacity_controller()
            loops.append(
                make("capacity", declared.CAPACITY_INTERVAL_S, controller.tick)
            )
        return loops

    def _make_capacity_controller(self):
        """Return the controller that starts and stops instances."""
        return capacity.CapacityController(
            capacity.CapacityDependencies(
                instance=self.instance,
                environment=self._settings.get(declared.ENVIRONMENT),
                store=self._store,
                cloud=self._cloud,
                dispatcher=self.dispatcher,
                peering=self._peering,
                get_environment=lambda: self.gateway.environment,
                clock=self._clock,
            )
        )

    def _make_loop(self, name, interval, call):
        """Return a loop whose interval is a setting."""
        return pollers.Loop(
            name, self._clock, self._settings.get(interval), call
        )

    def _make_server(self):
        """Return the HTTP server for callers."""
        host, port = store.split_address(
            self._settings.get(declared.HTTP_ADDRESS)
        )
        return callers.make_server(
            callers.CallerApp(self.gateway, self._pages),
            host,
            port,
            self._settings.get(declared.THREADS),
            intake.MemoryShares(
                self._settings.get(declared.MEMORY_MB) * intake.MIB
            ),
            clock=self._clock,
            count=self.observer.count,
        )

    def _apply(self, document):
        """Activate a document and publish it to peers."""
        environment = document.environment
        self.gateway.apply_environment(environment)
        self.dispatcher.change(
            functools.partial(dispatching.apply_environment, environment)
        )
        self._document = document
        self._peering.publish_document(environment.name, document)

    def _start_peers(self):
        """Start the gossip with peers and return its facade."""
        get = self._settings.get
        local_member = membership.Member(
            instance_id=self.instance,
            incarnation=membership.find_next_incarnation(self._clock.wall_s()),
            peer_address=get(declared.PEER_ADDRESS),
            http_address=self.address,
            failure_domain=get(declared.FAILURE_DOMAIN),
            region=get(declared.REGION),
            started_s=self._clock.wall_s(),
        )
        key = peers.read_key(get(declared.PEER_KEY_FILE))
        actor = gossip.Gossip.start(
            local_member, key, self._clock, [], get(declared.PEER_ADDRESS)
        )
        return gossip.Peers(actor)

    def _make_peering(self):
        """Return the peering, connected to the other components."""
        instance_peering = peering.InstancePeering(
            peering.InstancePeeringDependencies(
                self._peers,
                self._clock,
                self.dispatcher,
                self._documents,
                self._detached_answers,
                self._claims,
                self._notice_poller.apply_notice,
            )
        )
        self.dispatcher.on_retry = self.observer.count_retry
        self.dispatcher.on_crash = instance_peering.report_crash
        self.dispatcher.on_sound = instance_peering.report_sound
        self.gateway.fetch_from_peers = instance_peering.fetch
        self.gateway.hand_over = instance_peering.hand_over
        self._claims.find_owner = instance_peering.find_claim_owner
        self._claims.forward = instance_peering.forward_claim
        return instance_peering

    def _start_moves(self):
        """Start the actor that evaluates and drives version moves."""
        get = self._settings.get
        self._moving_services = moves.MovingServices()
        actor = moves.MoveActor.start(
            moves.MoveDependencies(
                instance=self.instance,
                incarnation=self._peers.local_member().incarnation,
                store=self._store,
                client=self._client,
                peers=self._peers,
                dispatcher=self.dispatcher,
                clock=self._clock,
                moving=self._moving_services,
                environment=get(declared.ENVIRONMENT),
                times=rollout.Times(
                    step_s=get(declared.ROLLOUT_STEP_S),
                    confirm_s=get(declared.ROLLOUT_CONFIRM_S),
                    reserve_s=get(declared.ROLLOUT_RESERVE_S),
                ),
            )
        )
        recorder = moves.MoveRecorder(
            actor,
            self._moving_services,
            self._clock,
            moves.MoveRecord,
            moves.KIND,
        )
        recorder.connect(self._peers)
        recorder.observe(self.dispatcher)
        self._move_recorder = recorder
        return actor

    def _tick_moves(self):
        """Let the move actor evaluate its moves, if there are any."""
        if not self._moving_services.has_records:
            return
        self._move_recorder.count_overdue()
        instance_ids = [each.instance_id for each in self._peering.usable]
        self._moves.tell(
            moves.Tick(
                self._clock.wall_s(),
                self.dispatcher.read(moves.read_capacities),
                (self.instance, *instance_ids),
            )
        )

    def _read_moves(self):
        """Read the watch of the moves if this instance is a watcher."""
        return self._move_watch.read() if self._is_watcher() else None

    def _is_watcher(self):
        """Return whether this instance is a watcher of its domain.

        The watchers of a failure domain read the store and the cloud API
        for all its instances.
        """
        domain = self._settings.get(declared.FAILURE_DOMAIN)
        members = [
            _DomainMember(each.instance_id, each.failure_domain)
            for each in self._peering.usable
        ]
        members.append(_DomainMember(self.instance, domain))
        chosen = configuration.choose_watchers(
            members, domain, _WATCHERS_PER_DOMAIN
        )
        return self.instance in chosen

    def _read_document(self):
        """Read the watch of the document if this instance needs to.

        A watcher always reads it; another instance only until it has a
        document.
        """
        if self._document is None or self._is_watcher():
            return self._document_watch.read()
        return None

    def _read_notices(self):
        """Poll the reclaim notices if this instance is a watcher."""
        if self._is_watcher():
            self._notice_poller.read()

    def _leave_if_reclaimed(self, notice):
        """Drain at once if a reclaim notice concerns this instance."""
        domain = self._settings.get(declared.FAILURE_DOMAIN)
        is_concerned = notice.instance == self.instance or (
            not notice.instance and notice.failure_domain == domain
        )
        if is_concerned:
            self.gateway.leave(lead_s=0.0)
            self.gateway.move_relays()

    def _wait_idle(self, limit_s, waits_full_time=False):
        """Wait until no request is active, or for the whole time.

        Parameters
        ----------
        limit_s : float
            Maximum wait, in seconds.
        waits_full_time : bool
            Whether to wait for the whole time also without requests.
        """
        end_s = self._clock.now_s() + limit_s
        while self._clock.now_s() < end_s:
            if not waits_full_time and self.gateway.active_count == 0:
                return
            self._clock.sleep(_DRAIN_POLL_INTERVAL_S)

    def _wait_connections_idle(self):
        """Wait until every connection is idle."""
        end_s = self._clock.now_s() + _IDLE_CONNECTIONS_TIMEOUT_S
        while self._clock.now_s() < end_s:
            if callers.is_idle(self._server, self._clock.wall_s()):
                return
            self._clock.sleep(_DRAIN_POLL_INTERVAL_S)
