"""Simulated moves to healthy and degraded versions on 8 nodes."""

import bisect
import enum
import itertools
import logging
import math
import multiprocessing
import operator
import random
import statistics

import attrs

from mulberryhollow.coordination import rollout
from mulberryhollow.state import counters as counting
from mulberryhollow.state import objects
from tools.bench import figure

SEEDS = 200
WORKERS = 4
NODES = 8
# Index of the counts summed over all nodes.
ALL_NODES = NODES
NO_COUNTS = [0] * (4 + counting.BUCKET_COUNT)
# Number of nodes that evaluate the move.
TESTERS = 4
TICK_S = 0.25
EXCHANGE_INTERVAL_TICKS = 2
STORE_DELAY_TICKS = 1
REQUESTS_PER_S = 160
DURATION_S = 300.0
# Latest time at which a version or its surroundings degrade.
LATEST_CHANGE_S = 220.0
# Time after a verdict in which requests may still reach the version.
ROLLBACK_GRACE_S = 2.0
ROUTES = ("ask", "tag", "check", "book")
ROUTE_WEIGHTS = (0.4, 0.3, 0.2, 0.1)
MEDIAN_LATENCY_S = 0.12
LATENCY_SIGMA = 0.5
BASE_FAILURE_RATE = 0.002
DEGRADED_FAILURE_RATE = 0.2
DEGRADED_ROUTE_FAILURE_RATE = 0.5
SLOWDOWN = 3.0
OUTAGE_FAILURE_RATE = 0.8
OUTAGE_S = 30.0
SNAPSHOT_REQUESTS = 20_000

MAX_BYTES_PER_S = 7_000.0
MAX_DEGRADED_SHARE = 0.02
MAX_FALSE_VERDICT_RATIO = 0.01
MIN_DONE_RATIO = 0.99
MIN_ROLLED_BACK_RATIO = 0.99


class Kind(enum.Enum):
    """Behaviour of the new version or of its surroundings.

    The values are part of the seeds of the simulation.
    """

    FAILING_AT_ONCE = "failing at once"
    FAILING_LATER = "failing later"
    SLOW_AT_ONCE = "slow at once"
    SLOW_LATER = "slow later"
    UNDER_LOAD = "under load only"
    ONE_ROUTE = "one route only"
    GOOD = "good"
    GOOD_IN_OUTAGE = "good during an outage of everything"

    @property
    def is_healthy(self):
        """Whether the move should complete, as the version is healthy."""
        return self in (Kind.GOOD, Kind.GOOD_IN_OUTAGE)


@attrs.frozen
class Behaviour:
    """Failure rate and latency of a version at one time."""

    failure_rate: float = BASE_FAILURE_RATE
    slowdown: float = 1.0


NORMAL = Behaviour()
OUTAGE = Behaviour(OUTAGE_FAILURE_RATE, SLOWDOWN)


@attrs.frozen
class MoveResult:
    """Result of one simulated move.

    Parameters
    ----------
    is_done, is_rolled_back : bool
        Whether the move was completed or rolled back; both are false when
        the record is not final at the deadline.
    has_verdict : bool
        Whether the new version was judged to be degraded.
    degraded_requests : int
        Requests to the new version from its first degraded request until
        the verdict.
    new_requests : int
        All requests to the new version until the verdict.
    requests_until_verdict, requests : int
        All requests to the service until the verdict and in the move.
    late_requests : int
        Requests to the new version later than `ROLLBACK_GRACE_S` after the
        verdict.
    delay_s : float
        Time from the first degraded request to the verdict, in seconds.
    """

    is_done: bool
    is_rolled_back: bool
    has_verdict: bool
    degraded_requests: int
    new_requests: int
    requests_until_verdict: int
    requests: int
    late_requests: int
    delay_s: float


def _compute_latency_distribution(slowdown):
    """Return the cumulative distribution of latencies over the buckets.

    Latencies are lognormal.
    """
    median_s = MEDIAN_LATENCY_S * slowdown
    bounds = [
        math.log(bound_s / median_s) / LATENCY_SIGMA / math.sqrt(2)
        for bound_s in counting.BUCKET_BOUNDS_S
    ]
    return [0.5 * (1 + math.erf(bound)) for bound in bounds] + [1.0]


class MoveSimulation:
    """Simulation of one move on 8 nodes.

    Counters of other nodes and records of the store arrive with a delay.
    """

    def __init__(self, kind, seed):
        self.kind = kind
        self.random = random.Random(f"{kind.value}:{seed}")
        self.change_at_s = self.random.uniform(30.0, LATEST_CHANGE_S)
        self.overload_share = self.random.choice(
            (0.1, 0.2, 0.4, 0.6, 0.8, 0.9)
        )
        self.degraded_route = self.random.choice(ROUTES)
        self.distributions = {}
        self.counts = [{} for _ in range(NODES + 1)]
        self.ending_requests = {}
        self.scheduled = {}
        self.record = rollout.Move(
            "m", "production", "chat", "v1", "v2", 0.0, DURATION_S, version=1
        )
        self.monitors = [rollout.MoveMonitor() for _ in range(NODES)]
        self.driver = rollout.Driver("node-0", self.monitors[0])
        self.views = [
            counting.Counters(f"view-{node}", 1) for node in range(TESTERS)
        ]
        self.capacity = rollout.Capacity(
            tuple(
                rollout.Endpoint(f"e{index}", 16, ("v1", "v2"))
                for index in range(9)
            )
        )
        self.shares = [0.0] * NODES
        self.now_s = 0.0
        self.verdict_s = None
        self.first_degraded_s = None
        # In the order of the fields of MoveResult, from degraded_requests on.
        self.request_counts = [0] * 5

    def run(self):
        """Run the move until its deadline and return the result."""
        self._publish(self.record)
        for tick in range(int(DURATION_S / TICK_S)):
            self.now_s = tick * TICK_S
            for action in self.scheduled.pop(tick, ()):
                action()
            self._serve(tick)
            self._exchange(tick)
            self._decide(tick)
            if self.verdict_s is not None and self._is_over():
                break
        return self._make_result()

    def _is_over(self):
        """Return whether the simulation can end early after a verdict.

        It can when no node sends requests to the new version any more.
        """
        return self.now_s > self.verdict_s + 10.0 and not any(self.shares)

    def _schedule(self, tick, action):
        """Schedule an action for a later tick."""
        self.scheduled.setdefault(tick, []).append(action)

    def _publish(self, move):
        """Let every node observe a record; all but the driver with a delay."""
        tick = int(self.now_s / TICK_S)
        self.driver.observe(move, "", self.now_s)
        for node, monitor in enumerate(self.monitors[1:], start=1):
            lag_ticks = STORE_DELAY_TICKS + node % EXCHANGE_INTERVAL_TICKS
            self._schedule(
                tick + lag_ticks,
                lambda monitor=monitor: monitor.observe(move, self.now_s),
            )

    def _get_behaviour(self, version, route):
        """Return the current behaviour of a version on a route."""
        is_new = version == "v2"
        is_later = self.now_s >= self.change_at_s
        match self.kind:
            case Kind.GOOD_IN_OUTAGE:
                in_outage = (
                    is_later and self.now_s < self.change_at_s + OUTAGE_S
                )
                return OUTAGE if in_outage else NORMAL
            case _ if not is_new:
                return NORMAL
            case Kind.FAILING_AT_ONCE:
                return Behaviour(DEGRADED_FAILURE_RATE)
            case Kind.FAILING_LATER if is_later:
                return Behaviour(DEGRADED_FAILURE_RATE)
            case Kind.SLOW_AT_ONCE:
                return Behaviour(slowdown=SLOWDOWN)
            case Kind.SLOW_LATER if is_later:
                return Behaviour(slowdown=SLOWDOWN)
            case Kind.UNDER_LOAD if max(self.shares) >= self.overload_share:
                return Behaviour(DEGRADED_FAILURE_RATE)
            case Kind.ONE_ROUTE if route == self.degraded_route:
                return Behaviour(DEGRADED_ROUTE_FAILURE_RATE)
            case _:
                return NORMAL

    def _serve(self, tick):
        """Start the requests of this tick and finish those that are due."""
        number = int(REQUESTS_PER_S * TICK_S)
        behaviours = {
            (version, route): self._get_behaviour(version, route)
            for version, route in itertools.product(("v1", "v2"), ROUTES)
        }
        routes = self.random.choices(ROUTES, ROUTE_WEIGHTS, k=number)
        for index, route in enumerate(routes):
            node = (tick * number + index) % NODES
            is_new = self.random.random() < self.shares[node]
            version = "v2" if is_new else "v1"
            behaviour = behaviours[version, route]
            self._count_request(is_new, behaviour)
            self._start(tick, node, version, route, behaviour)
        for node, key, failed, bucket in self.ending_requests.pop(tick, ()):
            for index in (node, ALL_NODES):
                cell = self._get_cell(index, key)
                cell[2 if failed else 1] += 1
                cell[4 + bucket] += 1

    def _start(self, tick, node, version, route, behaviour):
        """Start one request and draw its latency and outcome."""
        distribution = self.distributions.get(behaviour.slowdown)
        if distribution is None:
            distribution = _compute_latency_distribution(behaviour.slowdown)
            self.distributions[behaviour.slowdown] = distribution
        bucket = bisect.bisect_left(distribution, self.random.random())
        failed = self.random.random() < behaviour.failure_rate
        for index in (node, ALL_NODES):
            self._get_cell(index, (version, route))[0] += 1
        latency_s = 0.001 * 2 ** (bucket / 2)
        end = tick + int(latency_s / TICK_S)
        self.ending_requests.setdefault(end, []).append(
            (node, (version, route), failed, bucket)
        )

    def _get_cell(self, node, key):
        """Return the mutable counts of a node for (version, route)."""
        counts = self.counts[node]
        if key not in counts:
            counts[key] = list(NO_COUNTS)
        return counts[key]

    def _count_request(self, is_new, behaviour):
        """Add a request to the counts of the result."""
        is_degraded = not self.kind.is_healthy and behaviour is not NORMAL
        if is_new and is_degraded and self.first_degraded_s is None:
            self.first_degraded_s = self.now_s
        is_before_verdict = self.verdict_s is None
        self.request_counts[0] += (
            is_new and self.first_degraded_s is not None and is_before_verdict
        )
        self.request_counts[1] += is_new and is_before_verdict
        self.request_counts[2] += is_before_verdict
        self.request_counts[3] += 1
        is_late = (
            not is_before_verdict
            and self.now_s > self.verdict_s + ROLLBACK_GRACE_S
        )
        self.request_counts[4] += is_new and is_late

    def _exchange(self, tick):
        """Merge the local and the remote counts into the testers' views."""
        for node, view in enumerate(self.views):
            if (
                tick % EXCHANGE_INTERVAL_TICKS
                == node % EXCHANGE_INTERVAL_TICKS
            ):
                local_counts = self.counts[node]
                self._merge(view, f"own-{node}", tick, local_counts)
                remote_counts = {
                    key: list(
                        map(
                            operator.sub,
                            cell,
                            local_counts.get(key, NO_COUNTS),
                        )
                    )
                    for key, cell in self.counts[ALL_NODES].items()
                }
                self._merge(view, "others", tick, remote_counts)

    def _merge(self, view, source, tick, cells):
        """Merge the counts of a node, or the sum over the other nodes."""
        rows = {
            counting.RowKey("chat", *key): counting.Row(
                *cell[:4], tuple(cell[4:])
            )
            for key, cell in cells.items()
        }
        snapshot = counting.Snapshot(source, 1, 0, tick + 1, rows)
        view.merge(snapshot)

    def _decide(self, tick):
        """Let every node evaluate the move and carry out its actions."""
        actions = self.driver.step(self.views[0], self.capacity, self.now_s)
        self._carry_out(tick, 0, actions)
        for node in range(1, NODES):
            view = self.views[node] if node < TESTERS else None
            actions = self.monitors[node].step(view, self.now_s)
            self._carry_out(tick, node, actions)

    def _carry_out(self, tick, node, actions):
        """Carry out the actions of one node."""
        for action in actions:
            match action:
                case rollout.SetShare(share=share):
                    self.shares[node] = share
                case rollout.PublishVerdict(degraded):
                    if self.verdict_s is None:
                        self.verdict_s = self.now_s
                    for monitor in self.monitors:
                        self._schedule(
                            tick + EXCHANGE_INTERVAL_TICKS,
                            lambda monitor=monitor, degraded=degraded: (
                                monitor.receive_verdict(degraded)
                            ),
                        )
                case rollout.WriteMove():
                    self._schedule(
                        tick + STORE_DELAY_TICKS,
                        lambda action=action: self._store(action),
                    )

    def _store(self, write):
        """Carry out a conditional update of the move's record."""
        current = self.record.version
        if write.expected_version != current:
            outcome = objects.WriteRejected("conflict", current)
        else:
            outcome = objects.WriteApplied(current + 1)
            self.record = attrs.evolve(write.move, version=current + 1)
            self._publish(self.record)
        self.driver.resolve_write(write.change_id, outcome, self.now_s)

    def _make_result(self):
        """Return the result of the move."""
        degraded, new, until_verdict, requests, late = self.request_counts
        has_verdict = self.verdict_s is not None
        delay_s = 0.0
        if has_verdict and self.first_degraded_s is not None:
            delay_s = self.verdict_s - self.first_degraded_s
        return MoveResult(
            self.record.stage is rollout.Stage.DONE,
            self.record.stage is rollout.Stage.ROLLED_BACK,
            has_verdict,
            degraded,
            new,
            until_verdict,
            max(requests, int(REQUESTS_PER_S * DURATION_S)),
            late,
            delay_s,
        )


def _disable_logging():
    """Suppress the log lines of the simulated moves."""
    logging.getLogger("mulberryhollow").setLevel(logging.CRITICAL)


def run_one(job):
    """Return the result of one (kind, seed)."""
    kind, seed = job
    return MoveSimulation(kind, seed).run()


def run_kind(pool, kind):
    """Return the results of all seeds of a kind."""
    jobs = [(kind, seed) for seed in range(SEEDS)]
    return pool.map(run_one, jobs, chunksize=5)


def _summarise_healthy(kind, results):
    """Return the figures of a kind of healthy version."""
    name = kind.value
    false_verdicts = statistics.mean(result.has_verdict for result in results)
    done = statistics.mean(result.is_done for result in results)
    return [
        figure.Figure(
            f"{name}: wrongly judged degraded",
            false_verdicts,
            "ratio",
            at_most=MAX_FALSE_VERDICT_RATIO,
        ),
        figure.Figure(
            f"{name}: done by the deadline",
            done,
            "ratio",
            at_least=MIN_DONE_RATIO,
        ),
    ]


def _summarise_degraded(kind, results):
    """Return the figures of a kind of degraded version."""
    name = kind.value
    shares = [result.degraded_requests / result.requests for result in results]
    all_shares = [
        result.new_requests / result.requests_until_verdict
        for result in results
    ]
    rolled_back = statistics.mean(result.is_rolled_back for result in results)
    late = sum(result.late_requests for result in results)
    delays_s = sorted(result.delay_s for result in results)
    return [
        figure.Figure(
            f"{name}: rolled back",
            rolled_back,
            "ratio",
            at_least=MIN_ROLLED_BACK_RATIO,
        ),
        figure.Figure(
            f"{name}: requests while degraded, share of the move's, mean",
            statistics.mean(shares),
            "ratio",
            at_most=MAX_DEGRADED_SHARE,
        ),
        figure.Figure(
            f"{name}: requests while degraded, share of the move's, worst",
            max(shares),
            "ratio",
            at_most=MAX_DEGRADED_SHARE,
        ),
        figure.Figure(
            f"{name}: requests to the new version before the verdict, share of"
            " all so far, mean",
            statistics.mean(all_shares),
            "ratio",
        ),
        figure.Figure(
            f"{name}: requests later than 2 s after the verdict",
            late,
            "count",
            at_most=0,
        ),
        figure.Figure(
            f"{name}: time from the first degraded request to the verdict,"
            " median",
            statistics.median(delays_s),
            "s",
        ),
        figure.Figure(
            f"{name}: time from the first degraded request to the verdict,"
            " worst",
            delays_s[-1],
            "s",
        ),
    ]


def measure_bytes():
    """Return the traffic of a node's counters of one service.

    Every row is assumed to change between two messages.
    """
    rng = random.Random(1)
    counters = counting.Counters("node-0", 1)
    keys = [
        counting.RowKey("chat", version, route)
        for version, route in itertools.product(("v1", "v2"), ROUTES)
    ]
    for key in rng.choices(keys, k=SNAPSHOT_REQUESTS):
        counters.record_start(key)
        latency_s = rng.lognormvariate(math.log(MEDIAN_LATENCY_S), 0.5)
        counters.record_latency(key, latency_s)
        counters.record_ok(key)
    message = counting.encode(counters.take_snapshot())
    messages_per_s = TESTERS / (TICK_S * EXCHANGE_INTERVAL_TICKS)
    return figure.Figure(
        "counts of one service sent to all testers by a node",
        len(message) * messages_per_s,
        "bytes/s",
        at_most=MAX_BYTES_PER_S,
    )


def run():
    """Return the figures of every kind, each over the same seeds."""
    figures = [measure_bytes()]
    with multiprocessing.Pool(WORKERS, _disable_logging) as pool:
        for kind in Kind:
            results = run_kind(pool, kind)
            if kind.is_healthy:
                figures += _summarise_healthy(kind, results)
            else:
                figures += _summarise_degraded(kind, results)
    return figures
