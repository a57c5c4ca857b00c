"""Processor time and memory of single decisions at the target size."""

import pathlib
import random
import sys
import time
import tracemalloc

from mulberryhollow.coordination import booking
from mulberryhollow.coordination import capacity
from mulberryhollow.coordination import rollout
from mulberryhollow.protocol import document
from mulberryhollow.state import counters
from mulberryhollow.state import environment
from mulberryhollow.state import histograms
from tools.bench import figure
from tools import processes

__all__ = ["run"]

DOCUMENTS = 50
INSTANCES = 2_500
DOMAINS = 16
CLAIMS = 1_000
EVALUATIONS = 200
ACCOUNTS = 10

CHANGES_PER_DAY = 3_700
"""Configuration changes a day at the target size."""

MAX_CONTROL_CORE_SHARE = 0.023
"""Maximum share of a core that a node uses for control."""

_DAY_S = 86_400.0


def run():
    """Yield the figures of one run."""
    yield from _measure_document()
    yield from _measure_claims()
    yield from _measure_histograms()
    yield from _measure_verdict()
    yield from _measure_plan()


def _measure_processor_s(call, times=1):
    """Return the mean processor time of a call, in seconds."""
    begin_s = time.process_time()
    for _ in range(times):
        call()
    return (time.process_time() - begin_s) / times


def _measure_document():
    """Yield the processor time for checking the example document."""
    path = pathlib.Path(processes.ROOT / "examples" / "production.ini")
    data = path.read_bytes()
    processor_s = _measure_processor_s(lambda: document.parse(data), DOCUMENTS)
    yield figure.Figure("check of a document", processor_s * 1e3, "ms")
    yield figure.Figure(
        "checks of documents, share of a core at 3,700 changes a day",
        processor_s * CHANGES_PER_DAY / _DAY_S,
        "ratio",
        at_most=MAX_CONTROL_CORE_SHARE,
    )


def _measure_claims():
    """Yield the encoded size and the encoding time of a claim."""
    claims = {}
    for number in range(CLAIMS):
        identity = f"{number:032x}"
        claims[identity] = booking.Claim(
            identity,
            "0" * 32,
            f"entry-000_{number:032x}-1",
            1,
            "i-000000",
            "10.0.0.1:8000",
            1764806410.0,
            1764806400.0,
            booking.ClaimState.DONE,
            '{"request_id":"' + "0" * 44 + '","booking_id":"b-1","slot":"s"}',
        )
    value = booking.encode_claims(claims)
    yield figure.Figure("bytes of a claim", len(value) / CLAIMS, "bytes")
    processor_s = _measure_processor_s(
        lambda: booking.encode_claims(claims), 5
    )
    yield figure.Figure(
        "encoding of a claim within its bucket",
        processor_s / CLAIMS * 1e6,
        "us",
    )


def _measure_histograms():
    """Yield the memory and the recording time of latency histograms."""
    rng = random.Random(1)
    latencies_us = [int(rng.lognormvariate(11, 1)) for _ in range(2_000)]
    tracemalloc.start()
    latency_histograms = histograms.LatencyHistograms()
    classes = list(environment.RequestClass)
    for number in range(ACCOUNTS):
        for each in classes:
            latency_histograms.record(
                f"account-{number}", each, latencies_us[0]
            )
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    count = ACCOUNTS * len(classes)
    yield figure.Figure(
        "memory of one histogram", size_bytes / count / 1e3, "kB"
    )
    processor_s = _measure_processor_s(
        lambda: [
            latency_histograms.record("account-0", classes[0], each)
            for each in latencies_us
        ]
    )
    yield figure.Figure(
        "record of one latency", processor_s / len(latencies_us) * 1e6, "us"
    )


def _measure_verdict():
    """Yield the processor time of one evaluation of a move."""
    local_counters = counters.Counters("n0", 1)
    keys = [
        counters.RowKey("chat", version, f"route-{number}")
        for version in ("v1", "v2")
        for number in range(4)
    ]
    now_s = 1_000_000.0
    move = rollout.Move(
        "m1", "production", "chat", "v1", "v2", now_s, now_s + 600.0
    )
    move = rollout.advance(move, rollout.Stage.SHIFTING, now_s, 0.02)
    tester = rollout.SequentialTester(move, local_counters, now_s)

    def evaluate():
        nonlocal now_s
        for key in keys:
            local_counters.record_start(key)
            local_counters.record_latency(key, 0.2)
            local_counters.record_ok(key)
        now_s += 0.5
        tester.evaluate(local_counters, now_s)

    yield figure.Figure(
        "evaluation of a move",
        _measure_processor_s(evaluate, EVALUATIONS) * 1e3,
        "ms",
    )


def _measure_plan():
    """Yield the time of one capacity plan and the size of its instances."""
    offers = [
        capacity.InstanceOffer(f"fd-{domain}", "standard", market, price)
        for domain in range(DOMAINS)
        for market, price in (("reclaimable", 1.0), ("on_demand", 3.0))
    ]
    running = [
        capacity.Instance(
            f"i-{number}",
            "chat",
            "v1",
            f"fd-{number % DOMAINS}",
            "standard",
            "reclaimable",
            1.0,
        )
        for number in range(INSTANCES - 100)
    ]
    demand = [capacity.Demand("chat", "v1", "model", 0.9 * INSTANCES)]
    processor_s = _measure_processor_s(
        lambda: capacity.plan(
            demand, offers, running, capacity.RefusedStarts(), 1e4, 0.0
        ),
        3,
    )
    yield figure.Figure(
        f"plan over {INSTANCES} instances", processor_s * 1e3, "ms"
    )
    size_bytes = sys.getsizeof(running) + INSTANCES * sys.getsizeof(running[0])
    yield figure.Figure(
        f"instances of a plan over {INSTANCES}, shallow",
        size_bytes / 1e6,
        "MB",
    )
