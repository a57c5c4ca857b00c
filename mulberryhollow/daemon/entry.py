"""Wiring of one entry daemon."""

import functools
import threading
import zlib

import attrs

from mulberryhollow.coordination import configuration
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

_DRAIN_POLL_S = 0.02
_FLUSH_LIMIT_S = 2.0
_QUIET_LIMIT_S = http_server.FIRST_REQUEST_TIMEOUT_S + 2.0
"""Longest wait for connections to be quiet, in seconds.

A caller that has just connected gets its time to send, and its answer the
time of a flush.
"""

_WATCH_RETRY_S = 0.2
_RETRY_S = 0.5
_EXPIRY_INTERVAL_S = 300.0
_WATCHERS_PER_DOMAIN = 2


@attrs.frozen
class _DomainMember:
    """An instance and its failure domain, for the choice of watchers."""

    instance: str
    failure_domain: str


class EntryDaemon:
    """All parts of one instance.

    Parameters
    ----------
    settings : Settings
        Checked settings.
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
        self._notice_feed = pollers.NoticePoller(
            self._cloud,
            self.dispatcher,
            self.notices,
            self._take_notice,
            lambda notice: self._link.publish_notice(notice),
        )
        self._link = self._make_link()
        self._moves = self._start_moves()
        self._move_watch = moves.watch_moves(
            self._store, self._moves, self._clock
        )
        self._registry = registry.Registry(
            self._store, self._cloud, self._peers
        )
        self._watch = documents.watch_document(
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
        """Where callers connect, ``host:port``."""
        return f"{self._server.effective_host}:{self._server.effective_port}"

    def start(self):
        """Start to read the platform and to answer callers."""
        self._link.connect()
        for loop in self._loops:
            loop.start()
        threading.Thread(
            target=self._server.run, name="callers", daemon=True
        ).start()

    def stop(self):
        """Leave: finish or hand over what runs, then end."""
        self.gateway.leave()
        self._remove_registration()
        grace_end_s = self._clock.now_s() + self._settings.get(
            declared.GRACE_S
        )
        self._wait_idle(gateways.LEAVE_LEAD_S, is_least=True)
        self._wait_idle(grace_end_s - self._clock.now_s())
        self.gateway.move_relays()
        self._wait_idle(_FLUSH_LIMIT_S)
        closed = http_server.stop_accepting(self._server)
        self._clock.wait(closed, _FLUSH_LIMIT_S)
        self._wait_quiet()
        for loop in self._loops:
            loop.stop()
        self._peers.leave()

    def _remove_registration(self):
        """Take the registration away; the store may be down."""
        try:
            self._registry.remove()
        except errors.StoreUnavailableError as error:
            events.log(pollers.READ_FAILED, reason=error.message)

    def _list_pages(self):
        """Return the status pages by path."""
        get = self._settings.get
        shown = pages.Pages(
            pages.PageParts(
                instance=self.instance,
                failure_domain=get(declared.FAILURE_DOMAIN),
                environment=get(declared.ENVIRONMENT),
                gateway=self.gateway,
                dispatcher=self.dispatcher,
                link=self._link,
                peers=self._peers,
                moves=self._moves,
                observer=self.observer,
                watch=self._watch,
                get_document=lambda: self._document,
                clock=self._clock,
            )
        )
        return shown.list_pages()

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
        """Return the threads that read the platform and endpoints."""
        endpoint_feed = pollers.EndpointPoller(
            self._cloud, self.dispatcher, self.notices
        )
        load_feed = pollers.LoadPoller(
            self._client, self.dispatcher, endpoint_feed
        )
        make = self._make_loop
        loops = [
            make("list", declared.LIST_INTERVAL_S, endpoint_feed.read),
            make("notices", declared.NOTICE_INTERVAL_S, self._read_notices),
            make("load", declared.LOAD_INTERVAL_S, load_feed.read),
            make("moves", declared.JUDGE_INTERVAL_S, self._tick_moves),
            pollers.Loop(
                "move-watch", self._clock, _WATCH_RETRY_S, self._read_moves
            ),
            make("peers", declared.TELL_INTERVAL_S, self._link.tick),
            pollers.Loop(
                "document", self._clock, _WATCH_RETRY_S, self._read_document
            ),
            pollers.Loop(
                "registry", self._clock, _RETRY_S, self._registry.register
            ),
        ]
        expired = claims.ExpiredClaimCleaner(
            self._store,
            self._clock,
            lambda: self._link.is_owner("expired claims"),
        )
        loops.append(
            pollers.Loop(
                "expired", self._clock, _EXPIRY_INTERVAL_S, expired.remove
            )
        )
        if self._settings.get(declared.CAPACITY_MODE) == "act":
            keeper = self._make_capacity_keeper()
            loops.append(
                make("capacity", declared.CAPACITY_INTERVAL_S, keeper.tick)
            )
        return loops

    def _make_capacity_keeper(self):
        """Return the planner of instances."""
        return capacity.CapacityController(
            capacity.CapacityDependencies(
                instance=self.instance,
                environment=self._settings.get(declared.ENVIRONMENT),
                store=self._store,
                cloud=self._cloud,
                dispatcher=self.dispatcher,
                peering=self._link,
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
        )

    def _apply(self, document):
        """Bring a document into force."""
        environment = document.environment
        self.gateway.apply_environment(environment)
        self.dispatcher.change(
            functools.partial(dispatching.apply_environment, environment)
        )
        self._document = document
        self._link.publish_document(environment.name, document)

    def _start_peers(self):
        """Start to exchange facts with peers."""
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

    def _make_link(self):
        """Return the peering, hooked into the other components."""
        link = peering.InstancePeering(
            peering.InstancePeeringDependencies(
                self._peers,
                self._clock,
                self.dispatcher,
                self._documents,
                self._detached_answers,
                self._claims,
                self._notice_feed.apply_notice,
            )
        )
        self.dispatcher.on_retry = self.observer.count_retry
        self.dispatcher.on_crash = link.report_crash
        self.gateway.fetch_from_peers = link.fetch
        self.gateway.hand_over = link.hand_over
        self._claims.find_owner = link.find_claim_owner
        self._claims.forward = link.forward_claim
        return link

    def _start_moves(self):
        """Start to judge and drive version moves."""
        get = self._settings.get
        self._moving = moves.MovingServices()
        actor = moves.MoveActor.start(
            moves.MoveDependencies(
                instance=self.instance,
                incarnation=self._peers.local_member().incarnation,
                store=self._store,
                client=self._client,
                peers=self._peers,
                dispatcher=self.dispatcher,
                clock=self._clock,
                moving=self._moving,
                environment=get(declared.ENVIRONMENT),
                times=rollout.Times(
                    step_s=get(declared.ROLLOUT_STEP_S),
                    confirm_s=get(declared.ROLLOUT_CONFIRM_S),
                    reserve_s=get(declared.ROLLOUT_RESERVE_S),
                ),
            )
        )
        recorder = moves.MoveRecorder(actor, self._moving)
        recorder.connect(self._peers)
        self.dispatcher.on_attempt_end = recorder.record
        return actor

    def _tick_moves(self):
        """Let the moves be looked at, if there are any."""
        if not self._moving.has_records:
            return
        names = [each.instance_id for each in self._link.usable]
        self._moves.tell(
            moves.Tick(
                self._clock.wall_s(),
                self.dispatcher.read(moves.read_capacities),
                (self.instance, *names),
            )
        )

    def _read_moves(self):
        """Watch the moves, or leave that to the watchers."""
        if self._is_watcher():
            self._move_watch.read()

    def _is_watcher(self):
        """Return whether this instance reads the platform for others."""
        domain = self._settings.get(declared.FAILURE_DOMAIN)
        members = [
            _DomainMember(each.instance_id, each.failure_domain)
            for each in self._link.usable
        ]
        members.append(_DomainMember(self.instance, domain))
        chosen = configuration.choose_watchers(
            members, domain, _WATCHERS_PER_DOMAIN
        )
        return self.instance in chosen

    def _read_document(self):
        """Watch the document, or leave that to the watchers."""
        if self._document is None or self._is_watcher():
            self._watch.read()

    def _read_notices(self):
        """Read the notices, or leave that to the watchers."""
        if self._is_watcher():
            self._notice_feed.read()

    def _take_notice(self, notice):
        """Leave when a notice concerns this instance."""
        domain = self._settings.get(declared.FAILURE_DOMAIN)
        concerns_us = notice.instance == self.instance or (
            not notice.instance and notice.failure_domain == domain
        )
        if concerns_us:
            self.gateway.leave(lead_s=0.0)
            self.gateway.move_relays()

    def _wait_idle(self, limit_s, is_least=False):
        """Wait until no request runs, or for the whole time if so told."""
        end_s = self._clock.now_s() + limit_s
        while self._clock.now_s() < end_s:
            if not is_least and self.gateway.active_count == 0:
                return
            self._clock.sleep(_DRAIN_POLL_S)

    def _wait_quiet(self):
        """Wait until no connection has anything under way."""
        end_s = self._clock.now_s() + _QUIET_LIMIT_S
        while self._clock.now_s() < end_s:
            if callers.is_idle(self._server, self._clock.wall_s()):
                return
            self._clock.sleep(_DRAIN_POLL_S)
