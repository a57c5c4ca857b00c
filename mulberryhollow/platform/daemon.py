"""Wiring of one instance on the users' platform."""

import functools
import hashlib
import json
import logging
import random
import threading
import zlib

import attrs

from mulberryhollow import clock as clocks
from mulberryhollow.coordination import configuration
from mulberryhollow.coordination import duties
from mulberryhollow.coordination import intake
from mulberryhollow.coordination import membership
from mulberryhollow import events
from mulberryhollow import metrics
from mulberryhollow import platform as package
from mulberryhollow.platform import callers
from mulberryhollow.platform import cloud
from mulberryhollow.platform import endpoints
from mulberryhollow.platform import move_wiring
from mulberryhollow.platform import records
from mulberryhollow.platform import store
from mulberryhollow.protocol import peer_requests
from mulberryhollow.serving import aggregate_peering
from mulberryhollow.serving import caller_watch
from mulberryhollow.serving import dispatcher as dispatching
from mulberryhollow.serving import documents
from mulberryhollow.serving import duties as duty_manager
from mulberryhollow.serving import evacuations
from mulberryhollow.serving import fact_peering
from mulberryhollow.serving import fleet_peering
from mulberryhollow.serving import fleet_watcher
from mulberryhollow.serving import forwarder
from mulberryhollow.serving import ingress
from mulberryhollow.serving import metrics_page
from mulberryhollow.serving import observed_store
from mulberryhollow.serving import observer as observing
from mulberryhollow.serving import orders
from mulberryhollow.serving import peer_forwarding
from mulberryhollow.serving import permit_peering
from mulberryhollow.serving import pollers
from mulberryhollow.serving import quota_peering
from mulberryhollow.serving import recorder
from mulberryhollow.serving import registry
from mulberryhollow.serving import room_admission
from mulberryhollow.serving import stop_deadline
from mulberryhollow.serving import store_relay
from mulberryhollow.serving import stored_quarantine
from mulberryhollow.serving import usage
from mulberryhollow.serving import version_holds
from mulberryhollow.serving import watch
from mulberryhollow.serving import work_metrics
from mulberryhollow.state import change_bounds
from mulberryhollow.state.evacuations import NONE as NO_EVACUATIONS
from mulberryhollow.state import regions
from mulberryhollow.transport import forwarding
from mulberryhollow.transport import gossip
from mulberryhollow.transport import http_server
from mulberryhollow.transport import intake as intakes
from mulberryhollow.transport import peer_sockets

__all__ = ["PlatformDaemon"]

MAX_CONCURRENT_REQUESTS = 256
"""Maximum number of requests that are forwarded concurrently."""

STORE_TIMEOUT_S = 1.0
"""Timeout of a call to the store, in seconds.

The wait time of a watch is added to it.
"""

FOLLOW_INTERVAL_S = 0.1
"""Interval between reads by an `ObjectFollower`, in seconds."""

MAX_FOLLOW_INTERVAL_S = 0.8
"""Largest interval between failing reads by an `ObjectFollower`, in s.

A store that is available again has to be noticed within a second.
"""

INITIAL_PREFILL_S_PER_TOKEN = 1e-5
"""Initial estimate of the prefill time per prompt token, in seconds.

Middle of the range of engines with one accelerator; the router replaces it
by estimates learned from requests.
"""

MEMBERSHIP_SETTLING_S = 2.0
"""Time from the start until the members are known, in seconds.

Until then an instance does not compete for the lease on the duties.
"""

DUTY_INTERVAL_S = 0.25
"""Interval between ticks of the duties, in seconds."""

MEMBERSHIP_INTERVAL_S = 1.0
"""Interval between reads of the membership, in seconds."""

FLEET_PEERING_INTERVAL_S = 1.0
"""Interval between calls to peers for the list of endpoints, in seconds.

Peers are called only while no list is known.
"""

AGGREGATE_INTERVAL_S = 0.5
"""Interval between aggregate reports, in seconds."""

REGISTER_INTERVAL_S = 0.5
"""Interval between attempts to register in the store, in seconds."""

MAX_LOAD_INTERVAL_S = 4.0
"""Largest interval between attempts to read the stored quarantine, in seconds.

Each attempt without an answer delays the other loops of its thread.
"""

EXPIRY_INTERVAL_S = 0.25
"""Interval between removals of expired endpoint entries, in seconds.

An entry expires if it is not written again after a store outage.
"""

PATH_TEST_INTERVAL_S = 0.25
"""Interval between tests of lost paths to endpoints, in seconds."""

OUT_OF_ROTATION_S = 2.5
"""Time until an unready instance is out of rotation, in seconds.

The load balancer has seen two failed readiness checks by then.
"""

EXIT_MARGIN_S = 0.5
"""Part of the grace time reserved for the process to exit, in seconds."""

MAX_LOGGED_REQUESTS = 16
"""Number of requests that are named in one log line."""

CUT_OFF = events.declare(
    1017,
    logging.WARNING,
    "the end of the grace time cuts off requests or their answers",
    "if it repeats, set a longer grace time",
)

_DRAIN_POLL_INTERVAL_S = 0.05


class PlatformDaemon:
    """One instance on the users' platform, with its servers and threads.

    Parameters
    ----------
    settings : PlatformSettings
        Settings of the process.
    clock : Clock
        Source of time.
    """

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._document = None
        self._is_leaving = False
        self._settled_s = clock.now_s() + MEMBERSHIP_SETTLING_S
        self.observer = observing.Observer(metrics.Metrics())
        self._store = observed_store.ObservedStore(
            settings.store_address,
            self.observer,
            timeout_s=STORE_TIMEOUT_S,
            dialect=store.PlatformDialect(),
        )
        self.dispatcher = self._make_dispatcher()
        self._documents = documents.DocumentActor.start(
            self._apply, records.decode_catalogue, self._publish_document
        )
        self._peers = self._start_peers()
        self._fact_peering = fact_peering.FactPeering(
            self._peers,
            clock,
            self.dispatcher,
            self._documents,
            get_limits=None,
            named=len(self.list_entries()),
        )
        self.dispatcher.on_retry = self.observer.count_retry
        self.dispatcher.on_crash = self._fact_peering.report_crash
        self.dispatcher.on_sound = self._fact_peering.report_sound
        self.dispatcher.on_part_crash = self._fact_peering.report_part_crash
        self.dispatcher.on_part_cleared = self._fact_peering.report_sound_part
        self.dispatcher.on_endpoint_leaving = (
            self._fact_peering.report_said_leaving
        )
        self.dispatcher.on_long_prompt = self._fact_peering.report_long_prompt
        holds = version_holds.VersionHolds()
        self._fleet_watcher = fleet_watcher.FleetWatcher(
            records.decode_listing,
            self.dispatcher,
            clock,
            self._fact_peering.publish_leaving,
            holds if settings.has_moves else None,
        )
        self._moves = self._make_moves(holds)
        self._fleet_peering = fleet_peering.FleetPeering(
            self._peers, self._fleet_watcher, lambda: self._fact_peering.usable
        )
        self._caller_watch = caller_watch.CallerWatch(clock)
        self._stop_deadline = stop_deadline.StopDeadline()
        self._usage_ledger = self._make_usage_ledger()
        self._room = room_admission.RoomAdmission(
            self.dispatcher, clock, settings.instance, self.observer
        )
        self._quota_peering = quota_peering.QuotaPeering(
            self._peers, clock, self.dispatcher, self._room
        )
        self._permit_peering = self._make_permit_peering()
        self._evacuation_watcher = self._make_evacuation_watcher()
        self._followers = self._make_followers()
        self._store_relay = store_relay.StoreRelay(
            self._followers.values(),
            clock,
            lambda: self._fact_peering.collectors.is_local,
            self._get_change_bounds,
            self._is_relayed,
        )
        self._store.on_restored = self._store_relay.refresh
        self._aggregate_peering = aggregate_peering.AggregatePeering(
            self._peers,
            clock,
            self.dispatcher,
            self._usage_ledger,
            lambda: self._fact_peering.collectors,
            self._store_relay,
            self._room,
        )
        self._codec = endpoints.EndpointCodec()
        self._client = forwarding.ForwardClient(self._codec, self._clock)
        self._peer_forwarding = self._make_peer_forwarding()
        self.ingress = self._make_ingress()
        self._peer_ingress = self._make_peer_ingress()
        self._servers = self._make_servers()
        self._stored_quarantine = stored_quarantine.StoredQuarantine(
            self._store, clock, self.dispatcher
        )
        self._duty_manager = self._make_duty_manager()
        self._loops = self._make_loops()

    def start(self):
        """Start to read from the platform and to serve callers."""
        self._fact_peering.connect()
        self._fact_peering.announce_level()
        self._aggregate_peering.connect()
        self._fleet_peering.connect()
        self._quota_peering.connect()
        self._permit_peering.connect()
        if self._moves is not None:
            self._moves.connect()
        if self._evacuation_watcher is not None:
            self._evacuation_watcher.connect()
        self._caller_watch.start()
        for loop in self._loops:
            loop.start()
        for name, server in self._servers.items():
            threading.Thread(target=server.run, name=name, daemon=True).start()

    def apply_settings(self, settings):
        """Apply the grace time and the rules of limits of new settings.

        The other settings, such as addresses, the reports' windows and the
        lease, take effect at a restart.
        """
        self._settings = attrs.evolve(self._settings, bounds=settings.bounds)
        self.dispatcher.change(functools.partial(_set_bounds, settings.bounds))

    def stop(self):
        """Finish the running requests, then stop within the grace time.

        Requests that outlast it are answered at its end.
        """
        begin_s = self._clock.now_s()
        end_s = begin_s + self._settings.bounds.grace_s - EXIT_MARGIN_S
        requests_end_s = end_s - stop_deadline.ANSWER_MARGIN_S
        self._stop_deadline.begin(begin_s, requests_end_s)
        self._is_leaving = True
        servers = [self._servers["callers"], self._servers["peers"]]
        for server in servers:
            http_server.begin_leaving(server)
        self._peer_ingress.close()
        self._release_duties()
        self._wait(min(begin_s + OUT_OF_ROTATION_S, requests_end_s))
        # The load balancer may keep sending callers to an instance out of
        # rotation if few instances are in rotation. Requests that arrive
        # from here on are refused.
        self.ingress.close()
        while self._clock.now_s() < end_s and any(
            server.active_channels for server in servers
        ):
            for server in servers:
                http_server.close_idle(server, self._clock.wall_s())
            if self._clock.now_s() >= requests_end_s:
                for request in self._caller_watch.list_watched():
                    request.expire()
            self._wait(self._clock.now_s() + _DRAIN_POLL_INTERVAL_S)
        self._log_cut_off(servers)
        for server in servers:
            http_server.stop_accepting(server)
        for loop in self._loops:
            loop.stop()
        self._peers.leave()

    def _log_cut_off(self, servers):
        """Log the requests and answers that the exit cuts off."""
        running = [
            each.request_id for each in self._caller_watch.list_watched()
        ]
        unsent = [http_server.describe_unsent(each) for each in servers]
        connections, size_bytes = map(sum, zip(*unsent, strict=True))
        if running or connections:
            events.log(
                CUT_OFF,
                requests=running[:MAX_LOGGED_REQUESTS],
                running=len(running),
                unsent_connections=connections,
                unsent_bytes=size_bytes,
            )

    def _release_duties(self):
        """Release the duties, so that another instance acquires them now.

        The stop does not wait for the platform's answers.
        """
        if self._duty_manager is not None:
            threading.Thread(
                target=self._duty_manager.release,
                name="duty release",
                daemon=True,
            ).start()

    def _wait(self, until_s):
        """Sleep until a time of the monotonic clock."""
        remaining_s = until_s - self._clock.now_s()
        if remaining_s > 0:
            self._clock.sleep(remaining_s)

    def _make_dispatcher(self):
        """Start the dispatch actor; return its Dispatcher."""
        settings = self._settings
        seed = zlib.crc32(settings.instance.encode())
        actor = dispatching.DispatchActor.start(self._clock, seed)
        dispatcher = dispatching.Dispatcher(actor, self._clock)
        dispatcher.change(functools.partial(_set_bounds, settings.bounds))
        dispatcher.change(_set_prefill_estimate)
        region_map = regions.RegionMap(settings.domain_regions)
        dispatcher.change(
            lambda actor, now_s: actor.set_region_map(region_map)
        )
        if not settings.is_first_start:
            began_s = min(package.PROCESS_START_S, self._clock.now_s())
            dispatcher.change(
                lambda actor, now_s: (
                    actor.quotas.start_empty(began_s),
                    actor.shared_retries.start_again(began_s),
                )
            )
        return dispatcher

    def _start_peers(self):
        """Start the gossip with peers; return the Peers."""
        settings = self._settings
        address = f"{settings.ip}:{settings.peer_port}"
        local_member = membership.Member(
            instance_id=settings.instance,
            incarnation=membership.find_next_incarnation(self._clock.wall_s()),
            peer_address=address,
            http_address=settings.control_address,
            failure_domain=settings.failure_domain,
            region=settings.region,
            started_s=self._clock.wall_s(),
        )
        # The key only keeps deployments apart: the network between the
        # instances is private, and the settings hold no secret.
        key = hashlib.sha256(settings.store_address.encode()).digest()
        shares = intake.MemoryShares(settings.memory_bytes)
        actor = gossip.Gossip.start(
            local_member,
            key,
            self._clock,
            [],
            address,
            settings=gossip.GossipSettings(
                memory_bytes=shares.compute_peers(
                    peer_sockets.LARGEST_MESSAGE_BYTES
                )
            ),
        )
        return gossip.Peers(actor)

    def _make_permit_peering(self):
        """Return the PermitPeering, which grants the dispatcher's permits."""
        permits = permit_peering.PermitPeering(
            self._peers,
            self._clock,
            self.dispatcher,
            self._fact_peering.collectors,
        )
        self.dispatcher.permits = permits
        report_rate = self._fact_peering.report_rate
        self.dispatcher.change(
            lambda actor, now_s: setattr(actor, "on_rate_changed", report_rate)
        )
        return permits

    def _make_usage_ledger(self):
        """Return the ledger of started requests, shared with the peers."""
        local_member = self._peers.local_member()
        return usage.SharedUsageLedger(
            duties.UsageLedger(
                f"{local_member.instance_id}.{local_member.incarnation}",
                self._settings.bounds.report_window_s,
            ),
            clocks.SlewedWallClock(self._clock),
        )

    def _make_duty_manager(self):
        """Return the DutyManager, or None if the settings name no duty API."""
        settings = self._settings
        if not settings.cloud_address:
            return None
        client = cloud.DutyClient(settings.cloud_address, settings.instance)
        rules = duties.LeaseRules.derive(
            settings.bounds.lease_s, cloud.CALL_TIMEOUT_S
        )
        handlers = []
        if settings.has_usage_duty:
            handlers.append(self._make_usage_reporter(client, rules))
        if settings.has_order_duty:
            handlers.append(self._make_endpoint_scaler(client))
        handlers.append(self._stored_quarantine)
        manager = duty_manager.DutyManager(
            settings.instance,
            self._store,
            self._clock,
            tuple(handlers),
            rules,
            self._is_duty_candidate,
        )
        client.is_held = manager.is_held
        self._aggregate_peering.wants_usage = manager.is_held
        return manager

    def _is_duty_candidate(self):
        """Return whether this instance may acquire the lease on the duties."""
        is_settled = self._clock.now_s() >= self._settled_s
        return is_settled and self._fact_peering.collectors.is_local

    def _make_usage_reporter(self, client, rules):
        """Return the handler of the duty to report the usage."""
        return usage.UsageReporter(
            self._usage_ledger,
            self._store,
            client,
            self._clock,
            self._settings.bounds.report_delay_s,
            rules,
        )

    def _make_endpoint_scaler(self, client):
        """Return the handler of the duty to order endpoints."""
        return orders.EndpointScaler(
            self.dispatcher,
            client,
            self._clock,
            self._get_services,
            lambda: self._fleet_watcher.listings,
            get_evacuations=self._get_evacuations,
            get_moving=lambda: self._moves.moving if self._moves else (),
        )

    def _get_evacuations(self):
        """Return the current Evacuations."""
        watcher = self._evacuation_watcher
        return watcher.current if watcher is not None else NO_EVACUATIONS

    def _get_services(self):
        """Return the services: a dict from name to ServiceSpec."""
        catalogue = self.ingress.catalogue
        return catalogue.services if catalogue else {}

    def _make_ingress(self):
        """Return the Ingress, which accepts callers' requests."""
        request_forwarder = self._make_forwarder(
            recorder.ForwardRecorder(self.observer, self._usage_ledger),
            self._peer_forwarding,
        )
        return ingress.Ingress(
            ingress.IngressDependencies(
                request_forwarder,
                self._clock,
                self._quota_peering,
                self._room,
                self._settings.has_placement_rules,
            )
        )

    def _make_forwarder(self, request_recorder, peers):
        """Return a Forwarder with the given recorder and peers."""
        return forwarder.Forwarder(
            forwarder.ForwardDependencies(
                dispatcher=self.dispatcher,
                client=self._client,
                codec=self._codec,
                clock=self._clock,
                watch=self._caller_watch,
                recorder=request_recorder,
                peers=peers,
                stop=self._stop_deadline,
            )
        )

    def _make_peer_forwarding(self):
        """Return the PeerForwarding, for when no endpoint is reached."""
        port = self._settings.metrics_port
        return peer_forwarding.PeerForwarding(
            self.dispatcher,
            forwarding.ForwardClient(
                peer_forwarding.PeerCodec(), self._clock, is_id_required=False
            ),
            self._client,
            self._clock,
            lambda: self._fact_peering.usable,
            lambda member: f"{member.peer_address.rpartition(':')[0]}:{port}",
            random.Random(zlib.crc32(self._settings.instance.encode())),
            lambda: self._fact_peering.collectors.level,
        )

    def _make_peer_ingress(self):
        """Return the PeerIngress, which accepts the requests of peers."""
        return peer_forwarding.PeerIngress(
            self._make_forwarder(
                peer_forwarding.SilentRecorder(),
                peer_forwarding.OwnPathsOnly(self._peer_forwarding),
            ),
            self._clock,
            self._peer_forwarding.is_lost,
        )

    def _make_evacuation_watcher(self):
        """Return the EvacuationWatcher; None if evacuations are not in use."""
        settings = self._settings
        if not settings.has_placement_rules:
            return None
        return evacuations.EvacuationWatcher(
            records.decode_evacuation,
            self.dispatcher,
            self._peers,
            self._clock,
            settings.bounds.evacuation_s,
            settings.domain_regions,
        )

    def _make_moves(self, holds):
        """Return the PlatformMoves; None if versions are not moved."""
        if not self._settings.has_moves:
            return None
        return move_wiring.PlatformMoves(
            move_wiring.MoveWiring(
                settings=lambda: self._settings,
                store=self._store,
                peers=self._peers,
                dispatcher=self.dispatcher,
                clock=self._clock,
                holds=holds,
                get_listings=lambda: self._fleet_watcher.listings,
                get_members=lambda: self._fact_peering.usable,
            )
        )

    def _make_followers(self):
        """Return the followers of the stored objects, by name."""
        follow = functools.partial(
            watch.ObjectFollower,
            self._store,
            clock=self._clock,
            get_bounds=self._get_change_bounds,
            is_relayed=self._is_relayed,
        )
        followers = {
            "configuration": follow(
                kind=records.CONFIGURATION_KIND,
                follower=documents.DocumentFollower(
                    records.CONFIGURATION_NAME, self._documents
                ),
            ),
            "endpoints": follow(
                kind=records.ENDPOINT_KIND, follower=self._fleet_watcher
            ),
        }
        if self._evacuation_watcher is not None:
            followers["evacuations"] = follow(
                kind=records.EVACUATION_KIND, follower=self._evacuation_watcher
            )
        if self._moves is not None:
            followers["moves"] = self._moves.follow(follow)
        return followers

    def _get_change_bounds(self):
        """Return the ChangeBounds of the settings in force."""
        bounds = self._settings.bounds
        return change_bounds.ChangeBounds(
            bounds.contact_s,
            bounds.drain_s,
            bounds.config_apply_s,
            STORE_TIMEOUT_S,
        )

    def _is_relayed(self):
        """Return whether instances follow the store through collectors."""
        return bool(self._fact_peering.collectors.local)

    def _make_servers(self):
        """Return the HTTP servers by name."""
        settings = self._settings
        shares = intake.MemoryShares(settings.memory_bytes)
        options = {"clock": self._clock, "count": self.observer.count}
        codec, peer_codec = callers.CallerCodec(), peer_forwarding.PeerCodec()
        servers = {
            "callers": http_server.make_server(
                http_server.ForwardApp(self.ingress, codec),
                settings.callers_address,
                MAX_CONCURRENT_REQUESTS,
                settings.max_files,
                intake=http_server.make_caller_intake(
                    shares,
                    settings.max_files - http_server.RESERVED_FILES,
                    codec,
                    **options,
                ),
            ),
            "peers": http_server.make_server(
                http_server.PathApp(
                    peer_requests.PATH,
                    http_server.ForwardApp(self._peer_ingress, peer_codec),
                    http_server.PageApp({"/metrics": self._render_metrics}),
                ),
                f"{settings.ip}:{settings.metrics_port}",
                MAX_CONCURRENT_REQUESTS,
                settings.max_files,
                initial_threads=1,
                intake=http_server.make_peer_intake(
                    shares, peer_codec, **options
                ),
            ),
            "pages": http_server.make_page_server(
                {
                    "/v1/readyz": self._render_ready,
                    "/metrics": self._render_metrics,
                    registry.MEMBER_PATH: self._render_member,
                },
                settings.ready_address,
                *filter(None, [settings.control_address]),
                **options,
            ),
        }
        return servers

    def _make_loops(self):
        """Return the background threads."""
        member_registry = registry.Registry(
            self._store, self, self._peers, on_found=self._apply_members
        )
        loops = [
            pollers.Loop(
                name,
                self._clock,
                FOLLOW_INTERVAL_S,
                functools.partial(self._store_relay.read, each),
                MAX_FOLLOW_INTERVAL_S,
            )
            for name, each in self._followers.items()
        ]
        make = functools.partial(pollers.Loop, clock=self._clock)
        loops += [
            pollers.SharedLoop(
                "housekeeping",
                self._clock,
                (
                    make(
                        "expiry",
                        interval_s=EXPIRY_INTERVAL_S,
                        call=self._expire,
                    ),
                    make(
                        "paths",
                        interval_s=PATH_TEST_INTERVAL_S,
                        call=self._peer_forwarding.tick,
                    ),
                    make(
                        "peers",
                        interval_s=MEMBERSHIP_INTERVAL_S,
                        call=self._apply_members,
                    ),
                ),
            ),
            pollers.SharedLoop(
                "joining",
                self._clock,
                (
                    make(
                        "lender",
                        interval_s=FLEET_PEERING_INTERVAL_S,
                        call=self._fleet_peering.tick,
                    ),
                    make(
                        "registry",
                        interval_s=REGISTER_INTERVAL_S,
                        call=member_registry.register,
                    ),
                    make(
                        "quarantine",
                        interval_s=REGISTER_INTERVAL_S,
                        call=self._stored_quarantine.load,
                        max_interval_s=MAX_LOAD_INTERVAL_S,
                    ),
                ),
            ),
            make(
                "sums",
                interval_s=AGGREGATE_INTERVAL_S,
                call=self._aggregate_peering.tick,
            ),
        ]
        if self._moves is not None:
            loops.append(
                make(
                    "move ticks",
                    interval_s=move_wiring.TICK_INTERVAL_S,
                    call=self._moves.tick,
                )
            )
        if self._duty_manager is not None:
            loops.append(
                pollers.Loop(
                    "duties",
                    self._clock,
                    DUTY_INTERVAL_S,
                    self._duty_manager.tick,
                )
            )
        return loops

    def _expire(self):
        """Apply what the time decides on endpoints and evacuations."""
        follower = self._followers["endpoints"]
        self._fleet_watcher.expire(follower.last_contact_s)
        if self._evacuation_watcher is not None:
            self._evacuation_watcher.expire()

    def _apply_members(self):
        """Apply the current membership to the limits and the view."""
        self._fact_peering.tick()
        collectors = self._fact_peering.collectors
        self._quota_peering.apply_collectors(collectors)
        self._permit_peering.apply_collectors(collectors)

    def list_entries(self):
        """Return the control addresses of other instances.

        Their registrations can be read there.
        """
        local_address = self._settings.control_address
        return [each for each in self._settings.seeds if each != local_address]

    def _apply(self, document):
        """Apply a configuration document that has become active."""
        catalogue = document.environment
        self._document = document
        self.ingress.apply(catalogue)
        self._apply_limits(catalogue)
        quotas = {each.name: each.quota for each in catalogue.accounts or ()}
        self.dispatcher.change(
            lambda actor, now_s: actor.quotas.set_quotas(quotas)
        )
        ranked = catalogue.services if catalogue.has_patient_routes else ()
        self.dispatcher.change(
            lambda actor, now_s: actor.view.set_ranked_services(ranked)
        )
        cold_rates = catalogue.get_cold_rates()
        self.dispatcher.change(
            lambda actor, now_s: actor.view.set_cold_rates(cold_rates)
        )
        memory = {
            each.name: each.model.cache_tokens
            for each in catalogue.services.values()
            if each.model
        }
        self.dispatcher.change(
            lambda actor, now_s: actor.view.set_memory(memory)
        )
        self._publish_document(document)

    def _apply_limits(self, catalogue):
        """Apply the limits on requests to the servers that take them."""
        # No caller waits longer than the longest of the routes' timeouts.
        body_timeout_s = max(
            (route.timeout_s for route in catalogue.routes),
            default=intakes.DEFAULT_BODY_TIMEOUT_S,
        )
        limits = catalogue.limits
        http_server.apply_limits(
            self._servers["callers"], limits, body_timeout_s
        )
        http_server.apply_limits(
            self._servers["peers"],
            attrs.evolve(
                limits,
                body_bytes=limits.body_bytes + peer_requests.MAX_FIELDS_BYTES,
                idle_timeout_s=http_server.PEER_IDLE_TIMEOUT_S,
            ),
            body_timeout_s,
        )

    def _publish_document(self, document):
        """Publish the active configuration document to the peers."""
        self._fact_peering.publish_document(
            records.CONFIGURATION_NAME, document
        )

    def is_ready(self):
        """Return whether the load balancer may send new callers here."""
        contacts = [each.last_contact_s for each in self._followers.values()]
        decision = configuration.decide_ready(
            self._clock.now_s(),
            max((each for each in contacts if each is not None), default=None),
            self._fact_peering.last_contact_s,
            self._document is not None,
        )
        watcher = self._evacuation_watcher
        return (
            isinstance(decision, configuration.Ready)
            and self._fleet_watcher.is_known
            and (watcher is None or watcher.is_settled)
            and (self._moves is None or self._moves.is_settled)
            and not self._is_leaving
        )

    def _render_ready(self):
        """Return the reply to a readiness check of the load balancer."""
        return http_server.Reply(200 if self.is_ready() else 503)

    def _render_metrics(self):
        """Return the metrics page: counters and histograms."""
        text = metrics_page.render_metrics(
            self.observer.list_counts() | self._store_relay.list_counts(),
            self.observer.histograms.snapshot(),
            self.observer.list_gauges()
            | self._store_relay.list_gauges()
            | {
                f"intake_bytes.{name}": server.intake.held_bytes
                for name, server in self._servers.items()
            },
        )
        if self._evacuation_watcher is not None:
            contact_s = self._followers["evacuations"].last_contact_s
            text += metrics_page.render_evacuations(
                self._evacuation_watcher.list_active(),
                contact_s and self._clock.now_s() - contact_s,
            )
        if self._moves is not None:
            text += self._moves.render_metrics()
        text += self.dispatcher.read(work_metrics.render_work)
        headers = (("Content-Type", "text/plain; version=0.0.4"),)
        return http_server.Reply(200, headers, text.encode())

    def _render_member(self):
        """Return the page with the registration of this instance."""
        status, value = registry.render_member(self._peers)
        return http_server.Reply(status, (), json.dumps(value).encode())


def _set_bounds(bounds, actor, now_s):
    """Set the platform's bounds on quotas, retries and cold endpoints."""
    actor.quotas.set_rules(bounds.quotas)
    actor.shared_retries.set_rules(bounds.retries)
    actor.endpoint_rates.cold_rules = bounds.cold_starts


def _set_prefill_estimate(actor, now_s):
    """Set the initial estimate of the prefill time per token."""
    actor.router.rules = attrs.evolve(
        actor.router.rules, compute_s_per_token=INITIAL_PREFILL_S_PER_TOKEN
    )
