"""Wiring of the moves of services to other versions on the platform."""

import attrs

from mulberryhollow import clock as clocks
from mulberryhollow.coordination import rollout
from mulberryhollow.platform import moves as orders
from mulberryhollow.serving import metrics_page
from mulberryhollow.serving import move_counting
from mulberryhollow.serving import moves
from mulberryhollow.serving import ordered_moves
from mulberryhollow.serving import version_holds

__all__ = ["MoveWiring", "PlatformMoves", "TICK_INTERVAL_S"]

TICK_INTERVAL_S = 0.2
"""Interval between evaluations of the moves in progress, in seconds."""


@attrs.frozen
class MoveWiring:
    """What the moves are connected to.

    Parameters
    ----------
    settings : callable
        Returns the current PlatformSettings.
    store : StoreClient
        The platform's store.
    peers : Peers
        Publishes counters, verdicts and records.
    dispatcher : Dispatcher
        Receives the shares; reports the attempts.
    clock : Clock
        Source of time.
    holds : VersionHolds
        Versions that are held back until their orders can be known.
    get_listings : callable
        Returns every EndpointListing in use.
    get_members : callable
        Returns the other usable members.
    """

    settings: object
    store: object
    peers: object
    dispatcher: object
    clock: object
    holds: object
    get_listings: object
    get_members: object


class PlatformMoves:
    """Follows the operator's orders and moves services between versions.

    Parameters
    ----------
    wiring : MoveWiring
        What the moves are connected to.
    """

    def __init__(self, wiring):
        self._wiring = wiring
        member = wiring.peers.local_member()
        clock = clocks.SlewedWallClock(wiring.clock)
        self._wall = clock
        self._settled_s = wiring.clock.now_s() + version_holds.HOLD_S
        self._moving = move_counting.MovingServices()
        self._actor = moves.MoveActor.start(
            moves.MoveDependencies(
                instance=member.instance_id,
                incarnation=member.incarnation,
                store=orders.StatusRecords(
                    wiring.store,
                    lambda move: self._orders.get_written_id(move),
                ),
                client=None,
                peers=wiring.peers,
                dispatcher=wiring.dispatcher,
                clock=clock,
                moving=self._moving,
                environment="",
                counter_reports=move_counting.CounterReports(wiring.peers),
            )
        )
        self._recorder = move_counting.MoveRecorder(
            self._actor,
            self._moving,
            wiring.clock,
            moves.MoveRecord,
            moves.KIND,
        )
        self._orders = ordered_moves.OrderFollower(
            ordered_moves.OrderDecoders(
                orders.decode_order,
                orders.decode_target,
                orders.decode_record,
            ),
            self._actor,
            wiring.dispatcher,
            clock,
            wiring.get_listings,
            self._make_times,
        )
        self._follower = None

    @property
    def is_settled(self):
        """Whether callers can be accepted.

        A started instance waits for the orders, but not for long: without the
        store it would never serve.
        """
        now_s = self._wiring.clock.now_s()
        return self._orders.is_known or now_s >= self._settled_s

    @property
    def moving(self):
        """Services whose version is being moved."""
        return self._moving.targets.keys()

    def connect(self):
        """Count the attempts and subscribe to what the peers publish."""
        self._recorder.connect(self._wiring.peers)
        self._recorder.observe(self._wiring.dispatcher)

    def follow(self, make_follower):
        """Return the ObjectFollower of the orders.

        Parameters
        ----------
        make_follower : callable
            Returns the ObjectFollower of a kind.
        """
        self._follower = make_follower(
            kind=orders.ORDER_KIND, follower=self._orders
        )
        return self._follower

    def tick(self):
        """Release versions that were held back; evaluate and drive moves."""
        wiring = self._wiring
        if wiring.holds.held and wiring.holds.release(
            self._follower.revision, wiring.clock.now_s()
        ):
            wiring.dispatcher.change(
                lambda actor, now_s: actor.shares.hold_back(wiring.holds.held)
            )
        if self._orders.has_pending:
            self._orders.tick()
        if not self._moving.targets:
            return
        self._recorder.count_overdue()
        names = [each.instance_id for each in wiring.get_members()]
        local = wiring.peers.local_member().instance_id
        self._actor.tell(
            moves.Tick(
                self._wall.wall_s(),
                wiring.dispatcher.read(moves.read_capacities),
                (local, *names),
            )
        )

    def render_metrics(self):
        """Return the lines of the metrics page on the moves."""
        return metrics_page.render_moves(moves.list_moves(self._actor))

    def _make_times(self, duration_s):
        """Return the Times of a move that has to end in a time."""
        bounds = self._wiring.settings().bounds
        return rollout.Times.make_bounded(
            bounds.exposure, bounds.lease_s, duration_s
        )
