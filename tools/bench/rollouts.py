"""Version moves of good and bad versions on a small model of 8 nodes."""

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
ALL_NODES = NODES
NO_COUNTS = [0] * (4 + counting.BUCKET_COUNT)
TESTERS = 4
TICK_S = 0.25
EXCHANGE_TICKS = 2
STORE_TICKS = 1
REQUESTS_PER_S = 160
DURATION_S = 300.0
LATEST_CHANGE_S = 220.0
SETTLE_S = 2.0
ROUTES = ("ask", "tag", "check", "book")
ROUTE_WEIGHTS = (0.4, 0.3, 0.2, 0.1)
MEDIAN_LATENCY_S = 0.12
LATENCY_SIGMA = 0.5
BASE_FAILURES = 0.002
BAD_FAILURES = 0.2
BAD_ROUTE_FAILURES = 0.5
SLOWDOWN = 3.0
OUTAGE_FAILURES = 0.8
OUTAGE_S = 30.0
BYTES_REQUESTS = 20_000

MAX_BYTES_PER_S = 7_000.0
MAX_BAD_SHARE = 0.02
MAX_FALSE_BAD = 0.01
MIN_DONE = 0.99
MIN_TAKEN_BACK = 0.99


class Kind(enum.Enum):
    """Kind of new version, and of what happens to it."""

    FAILING_AT_ONCE = "failing at once"
    FAILING_LATER = "failing later"
    SLOW_AT_ONCE = "slow at once"
    SLOW_LATER = "slow later"
    UNDER_LOAD = "under load only"
    ONE_ROUTE = "one route only"
    GOOD = "good"
    GOOD_IN_OUTAGE = "good during an outage of everything"

    @property
    def is_good(self):
        """Whether it should end as done."""
        return self in (Kind.GOOD, Kind.GOOD_IN_OUTAGE)


@attrs.frozen
class Behaviour:
    """How a version answers at one time."""

    failures: float = BASE_FAILURES
    slowdown: float = 1.0


NORMAL = Behaviour()
OUTAGE = Behaviour(OUTAGE_FAILURES, SLOWDOWN)


@attrs.frozen
class Result:
    """What one move gave.

    Parameters
    ----------
    is_done, is_taken_back : bool
        How it ended; neither when the record is not final at the deadline.
    has_verdict : bool
        Whether the version was found bad.
    bad_requests : int
        Requests to the new version from its badness to the verdict.
    new_requests : int
        All of its requests until the verdict.
    requests_until_verdict, requests : int
        All of the service's requests until the verdict and in the move.
    late_requests : int
        Requests to the new version later than `SETTLE_S` after the verdict.
    delay_s : float
        From its first bad request to the verdict, in seconds.
    """

    is_done: bool
    is_taken_back: bool
    has_verdict: bool
    bad_requests: int
    new_requests: int
    requests_until_verdict: int
    requests: int
    late_requests: int
    delay_s: float


def _compute_weights(slowdown):
    """Return the cumulative share of requests up to each bucket."""
    median_s = MEDIAN_LATENCY_S * slowdown
    bounds = [
        math.log(bound_s / median_s) / LATENCY_SIGMA / math.sqrt(2)
        for bound_s in counting.BUCKET_BOUNDS_S
    ]
    return [0.5 * (1 + math.erf(bound)) for bound in bounds] + [1.0]


class Model:
    """One move on 8 nodes with lagged counters and a lagged store."""

    def __init__(self, kind, seed):
        self.kind = kind
        self.random = random.Random(f"{kind.value}:{seed}")
        self.starts_s = self.random.uniform(30.0, LATEST_CHANGE_S)
        self.load_share = self.random.choice((0.1, 0.2, 0.4, 0.6, 0.8, 0.9))
        self.bad_route = self.random.choice(ROUTES)
        self.weights = {}
        self.counts = [{} for _ in range(NODES + 1)]
        self.finishing = {}
        self.mail = {}
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
                rollout.Endpoint(f"e{place}", 16, ("v1", "v2"))
                for place in range(9)
            )
        )
        self.shares = [0.0] * NODES
        self.now_s = 0.0
        self.verdict_s = None
        self.first_bad_s = None
        self.counted = [0] * 5

    def run(self):
        """Run the move until its deadline and return the result."""
        self._publish(self.record)
        for tick in range(int(DURATION_S / TICK_S)):
            self.now_s = tick * TICK_S
            for action in self.mail.pop(tick, ()):
                action()
            self._serve(tick)
            self._exchange(tick)
            self._decide(tick)
            if self.verdict_s is not None and self._is_over():
                break
        return self._make_result()

    def _is_over(self):
        """Return whether a found version can get no more requests."""
        return self.now_s > self.verdict_s + 10.0 and not any(self.shares)

    def _post(self, tick, action):
        """Do something at a later tick."""
        self.mail.setdefault(tick, []).append(action)

    def _publish(self, move):
        """Let every node observe a record, the lagging ones later."""
        tick = int(self.now_s / TICK_S)
        self.driver.observe(move, "", self.now_s)
        for node, monitor in enumerate(self.monitors[1:], start=1):
            lag = STORE_TICKS + node % EXCHANGE_TICKS
            self._post(
                tick + lag,
                lambda monitor=monitor: monitor.observe(move, self.now_s),
            )

    def _get_behaviour(self, version, route):
        """Return how a version answers now."""
        is_new = version == "v2"
        is_later = self.now_s >= self.starts_s
        match self.kind:
            case Kind.GOOD_IN_OUTAGE:
                in_outage = is_later and self.now_s < self.starts_s + OUTAGE_S
                return OUTAGE if in_outage else NORMAL
            case _ if not is_new:
                return NORMAL
            case Kind.FAILING_AT_ONCE:
                return Behaviour(BAD_FAILURES)
            case Kind.FAILING_LATER if is_later:
                return Behaviour(BAD_FAILURES)
            case Kind.SLOW_AT_ONCE:
                return Behaviour(slowdown=SLOWDOWN)
            case Kind.SLOW_LATER if is_later:
                return Behaviour(slowdown=SLOWDOWN)
            case Kind.UNDER_LOAD if max(self.shares) >= self.load_share:
                return Behaviour(BAD_FAILURES)
            case Kind.ONE_ROUTE if route == self.bad_route:
                return Behaviour(BAD_ROUTE_FAILURES)
            case _:
                return NORMAL

    def _serve(self, tick):
        """Start this tick's requests and finish those that are due."""
        number = int(REQUESTS_PER_S * TICK_S)
        behaviours = {
            (version, route): self._get_behaviour(version, route)
            for version, route in itertools.product(("v1", "v2"), ROUTES)
        }
        routes = self.random.choices(ROUTES, ROUTE_WEIGHTS, k=number)
        for place, route in enumerate(routes):
            node = (tick * number + place) % NODES
            is_new = self.random.random() < self.shares[node]
            version = "v2" if is_new else "v1"
            behaviour = behaviours[version, route]
            self._count_request(is_new, behaviour)
            self._start(tick, node, version, route, behaviour)
        for node, key, failed, bucket in self.finishing.pop(tick, ()):
            for place in (node, ALL_NODES):
                cell = self._get_cell(place, key)
                cell[2 if failed else 1] += 1
                cell[4 + bucket] += 1

    def _start(self, tick, node, version, route, behaviour):
        """Start one request and draw how it will end."""
        weights = self.weights.get(behaviour.slowdown)
        if weights is None:
            weights = _compute_weights(behaviour.slowdown)
            self.weights[behaviour.slowdown] = weights
        bucket = bisect.bisect_left(weights, self.random.random())
        failed = self.random.random() < behaviour.failures
        for place in (node, ALL_NODES):
            self._get_cell(place, (version, route))[0] += 1
        latency_s = 0.001 * 2 ** (bucket / 2)
        end = tick + int(latency_s / TICK_S)
        self.finishing.setdefault(end, []).append(
            (node, (version, route), failed, bucket)
        )

    def _get_cell(self, node, key):
        """Return the mutable counts of a node for (version, route)."""
        counts = self.counts[node]
        if key not in counts:
            counts[key] = list(NO_COUNTS)
        return counts[key]

    def _count_request(self, is_new, behaviour):
        """Count a request for the result."""
        is_bad = not self.kind.is_good and behaviour is not NORMAL
        if is_new and is_bad and self.first_bad_s is None:
            self.first_bad_s = self.now_s
        before = self.verdict_s is None
        self.counted[0] += is_new and self.first_bad_s is not None and before
        self.counted[1] += is_new and before
        self.counted[2] += before
        self.counted[3] += 1
        is_late = not before and self.now_s > self.verdict_s + SETTLE_S
        self.counted[4] += is_new and is_late

    def _exchange(self, tick):
        """Merge what testers receive: local counts now, remote ones later."""
        for node, view in enumerate(self.views):
            if tick % EXCHANGE_TICKS == node % EXCHANGE_TICKS:
                own = self.counts[node]
                self._merge(view, f"own-{node}", tick, own)
                others = {
                    key: list(map(operator.sub, cell, own.get(key, NO_COUNTS)))
                    for key, cell in self.counts[ALL_NODES].items()
                }
                self._merge(view, "others", tick, others)

    def _merge(self, view, source, tick, cells):
        """Merge the counts of a node, or the sum of the other nodes."""
        rows = {
            counting.RowKey("chat", *key): counting.Row(
                *cell[:4], tuple(cell[4:])
            )
            for key, cell in cells.items()
        }
        snapshot = counting.Snapshot(source, 1, 0, tick + 1, rows)
        view.merge(snapshot)

    def _decide(self, tick):
        """Let every node take its step."""
        asked = self.driver.step(self.views[0], self.capacity, self.now_s)
        self._carry_out(tick, 0, asked)
        for node in range(1, NODES):
            view = self.views[node] if node < TESTERS else None
            asked = self.monitors[node].step(view, self.now_s)
            self._carry_out(tick, node, asked)

    def _carry_out(self, tick, node, asked):
        """Carry out the actions of one node."""
        for action in asked:
            match action:
                case rollout.SetShare(share=share):
                    self.shares[node] = share
                case rollout.PublishVerdict(bad):
                    if self.verdict_s is None:
                        self.verdict_s = self.now_s
                    for monitor in self.monitors:
                        self._post(
                            tick + EXCHANGE_TICKS,
                            lambda monitor=monitor, bad=bad: (
                                monitor.receive_verdict(bad)
                            ),
                        )
                case rollout.WriteMove():
                    self._post(
                        tick + STORE_TICKS,
                        lambda action=action: self._store(action),
                    )

    def _store(self, write):
        """Carry out a conditional update."""
        current = self.record.version
        if write.expected_version != current:
            outcome = objects.WriteRejected("conflict", current)
        else:
            outcome = objects.WriteApplied(current + 1)
            self.record = attrs.evolve(write.move, version=current + 1)
            self._publish(self.record)
        self.driver.resolve_write(write.change_id, outcome, self.now_s)

    def _make_result(self):
        """Return what the move gave."""
        bad, new, until_verdict, requests, late = self.counted
        has_verdict = self.verdict_s is not None
        delay_s = 0.0
        if has_verdict and self.first_bad_s is not None:
            delay_s = self.verdict_s - self.first_bad_s
        return Result(
            self.record.stage is rollout.Stage.DONE,
            self.record.stage is rollout.Stage.ROLLED_BACK,
            has_verdict,
            bad,
            new,
            until_verdict,
            max(requests, int(REQUESTS_PER_S * DURATION_S)),
            late,
            delay_s,
        )


def _silence():
    """Keep the events of the modelled moves out of the figures."""
    logging.getLogger("mulberryhollow").setLevel(logging.CRITICAL)


def run_one(job):
    """Return the result of one (kind, seed)."""
    kind, seed = job
    return Model(kind, seed).run()


def run_kind(pool, kind):
    """Return the results of all seeds of a kind."""
    jobs = [(kind, seed) for seed in range(SEEDS)]
    return pool.map(run_one, jobs, chunksize=5)


def _summarise_good(kind, results):
    """Return the figures of a kind of good version."""
    name = kind.value
    taken_back = statistics.mean(result.has_verdict for result in results)
    done = statistics.mean(result.is_done for result in results)
    return [
        figure.Figure(
            f"{name}: wrongly found bad",
            taken_back,
            "ratio",
            at_most=MAX_FALSE_BAD,
        ),
        figure.Figure(
            f"{name}: done by the deadline", done, "ratio", at_least=MIN_DONE
        ),
    ]


def _summarise_bad(kind, results):
    """Return the figures of a kind of bad version."""
    name = kind.value
    shares = [result.bad_requests / result.requests for result in results]
    all_shares = [
        result.new_requests / result.requests_until_verdict
        for result in results
    ]
    back = statistics.mean(result.is_taken_back for result in results)
    late = sum(result.late_requests for result in results)
    delays_s = sorted(result.delay_s for result in results)
    return [
        figure.Figure(
            f"{name}: taken back", back, "ratio", at_least=MIN_TAKEN_BACK
        ),
        figure.Figure(
            f"{name}: requests while bad, of the move's, mean",
            statistics.mean(shares),
            "ratio",
            at_most=MAX_BAD_SHARE,
        ),
        figure.Figure(
            f"{name}: requests while bad, of the move's, worst",
            max(shares),
            "ratio",
            at_most=MAX_BAD_SHARE,
        ),
        figure.Figure(
            f"{name}: all requests before the verdict, of those so far, mean",
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
            f"{name}: time from the first bad request to the verdict, median",
            statistics.median(delays_s),
            "s",
        ),
        figure.Figure(
            f"{name}: time from the first bad request to the verdict, worst",
            delays_s[-1],
            "s",
        ),
    ]


def measure_bytes():
    """Return what a node's counts of one service take on the wire.

    Every row changes from one message to the next.
    """
    draw = random.Random(1)
    counters = counting.Counters("node-0", 1)
    keys = [
        counting.RowKey("chat", version, route)
        for version, route in itertools.product(("v1", "v2"), ROUTES)
    ]
    for key in draw.choices(keys, k=BYTES_REQUESTS):
        counters.record_start(key)
        latency_s = draw.lognormvariate(math.log(MEDIAN_LATENCY_S), 0.5)
        counters.record_latency(key, latency_s)
        counters.record_ok(key)
    message = counting.encode(counters.take_snapshot())
    messages_per_s = TESTERS / (TICK_S * EXCHANGE_TICKS)
    return figure.Figure(
        "counts of one service sent to all testers by a node",
        len(message) * messages_per_s,
        "bytes/s",
        at_most=MAX_BYTES_PER_S,
    )


def run():
    """Return the figures of every kind, over the same seeds each time."""
    figures = [measure_bytes()]
    with multiprocessing.Pool(WORKERS, _silence) as pool:
        for kind in Kind:
            results = run_kind(pool, kind)
            if kind.is_good:
                figures += _summarise_good(kind, results)
            else:
                figures += _summarise_bad(kind, results)
    return figures
