"""Time of a routing decision as a function of the number of endpoints."""

import random
import statistics
import time
import tracemalloc

from mulberryhollow.coordination import routing
from mulberryhollow.state import endpoints
from mulberryhollow.state import prefixes
from tools.bench.figure import Figure

SIZES = (60, 600, 2500)
MAX_DECISION_AT_60_US = 200.0
DECISIONS = 2000
ROUNDS = 5
ACCOUNTS = 5
ACCOUNT_WORDS = 240
PROMPT_WORDS = 800
SLOTS = 128
MAX_MEMORY_MB = 256.0
BYTES_PER_MB = 2**20


def build_view(size, rng):
    """Return a view of endpoints with random load reports."""
    view = endpoints.EndpointView(rng)
    view.apply_list(
        [
            endpoints.Endpoint(
                id=f"e{number:04d}",
                role="model",
                address="127.0.0.1:1",
                failure_domain=f"d{number % 16}",
                service="chat",
                version="v1",
                price_per_hour=1.0 + 0.1 * (number % 16),
            )
            for number in range(size)
        ],
        0.0,
    )
    for record in view:
        load = rng.randrange(SLOTS)
        view.report_load(record.endpoint.id, load, 0, SLOTS, 0.5, 1.0)
    return view


def build_prompts(rng):
    """Return random prompts; those of a client account share a prefix."""
    accounts = [_make_words(rng, ACCOUNT_WORDS) for _ in range(ACCOUNTS)]
    return [
        " ".join(
            rng.choice(accounts)
            + _make_words(rng, PROMPT_WORDS - ACCOUNT_WORDS)
        )
        for _ in range(DECISIONS // 2)
    ]


def _make_words(rng, count):
    """Return random words."""
    return [f"w{rng.randrange(100_000)}" for _ in range(count)]


class DecisionBenchmark:
    """Decisions among some endpoints; each prompt is used twice a round."""

    def __init__(self, size):
        rng = random.Random(size)
        self._view = build_view(size, rng)
        self._index = prefixes.PrefixIndex()
        self._router = routing.Router(rng=rng)
        self._router.set_live_nodes(8)
        self._prompts = build_prompts(rng)
        self._now_s = 1.0
        for record in self._view:
            prompt = rng.choice(self._prompts)
            hashes = prefixes.hash_prefixes(prompt)
            self._index.insert(record.endpoint.id, hashes)

    def measure_median_us(self):
        """Return the median time of a decision, in microseconds."""
        decision_us = [self._decide(number) for number in range(DECISIONS)]
        return statistics.median(decision_us)

    def _decide(self, number):
        """Make and apply a decision; return the decision time in microseconds.

        Only the choice itself is timed.
        """
        self._now_s += 0.01
        prompt = self._prompts[number % len(self._prompts)]
        request = routing.RouteRequest(
            f"r{number}",
            "chat",
            {"v1": 0.9, "v2": 0.1},
            prompt,
            deadline_s=self._now_s + 0.9,
        )
        begin_ns = time.perf_counter_ns()
        chosen = self._router.choose(
            request, self._view, self._index, self._now_s
        )
        decision_us = (time.perf_counter_ns() - begin_ns) / 1000.0
        if isinstance(chosen, routing.Chosen):
            work = self._view.start(
                chosen.endpoint_id, chosen.cost, self._now_s
            )
            self._index.insert(chosen.endpoint_id, chosen.hashes)
            self._view.finish(work, self._now_s)
        return decision_us


def measure_memory_mb():
    """Return the memory of the largest view and of a full index, in MB."""
    rng = random.Random(1)
    tracemalloc.start()
    view = build_view(SIZES[-1], rng)
    view_mb = tracemalloc.get_traced_memory()[0] / BYTES_PER_MB
    index = prefixes.PrefixIndex()
    per_endpoint = prefixes.DEFAULT_MAX_ENTRIES // SIZES[-1]
    for record in view:
        hashes = [rng.getrandbits(64) for _ in range(per_endpoint)]
        index.insert(record.endpoint.id, hashes)
    total_mb = tracemalloc.get_traced_memory()[0] / BYTES_PER_MB
    tracemalloc.stop()
    return view_mb, total_mb - view_mb


def measure_report_us():
    """Return the mean time to apply a load report, in microseconds."""
    rng = random.Random(2)
    view = build_view(SIZES[-1], rng)
    ids = [record.endpoint.id for record in view]
    begin_ns = time.perf_counter_ns()
    for now_s in range(2, 2 + ROUNDS):
        for endpoint_id in ids:
            load = rng.randrange(SLOTS)
            view.report_load(endpoint_id, load, 0, SLOTS, 0.5, now_s)
    elapsed_ns = time.perf_counter_ns() - begin_ns
    return elapsed_ns / 1000.0 / (ROUNDS * len(ids))


def run():
    """Return the figures of decisions, load reports and memory."""
    return [*list_decision_figures(), *list_state_figures()]


def list_state_figures():
    """Return the figures of load reports and memory at the largest size."""
    view_mb, index_mb = measure_memory_mb()
    return [
        Figure(
            f"load report at {SIZES[-1]} endpoints",
            measure_report_us(),
            "microseconds",
        ),
        Figure(f"view of {SIZES[-1]} endpoints", view_mb, "MB"),
        Figure(
            f"view and index of {prefixes.DEFAULT_MAX_ENTRIES} entries",
            view_mb + index_mb,
            "MB",
            at_most=MAX_MEMORY_MB,
        ),
    ]


def list_decision_figures():
    """Return the decision times of all sizes and their growth.

    The sizes take turns in each round, and the fastest round counts.
    """
    benchmarks = {size: DecisionBenchmark(size) for size in SIZES}
    medians = {size: [] for size in SIZES}
    for _ in range(ROUNDS):
        for size, benchmark in benchmarks.items():
            medians[size].append(benchmark.measure_median_us())
    fastest_us = {size: min(values) for size, values in medians.items()}
    figures = [
        Figure(
            f"decision time at {size} endpoints",
            value,
            "microseconds",
            at_most=MAX_DECISION_AT_60_US if size == SIZES[0] else None,
        )
        for size, value in fastest_us.items()
    ]
    growth = fastest_us[SIZES[-1]] / fastest_us[SIZES[0]]
    linear = SIZES[-1] / SIZES[0]
    figures.append(
        Figure(
            f"decision time at {SIZES[-1]} over {SIZES[0]} endpoints",
            growth,
            "ratio",
            at_most=linear,
        )
    )
    return figures
