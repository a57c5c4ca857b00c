import itertools
import socket

import attrs
from behave import given
from behave import then
from hdrh import histogram
import hypothesis
from hypothesis import strategies

from mulberryhollow import metrics
from mulberryhollow.state import environment
from mulberryhollow.state import histograms

CHAT = environment.RequestClass.CHAT


@given("{count:d} latencies recorded by two instances and by a single one")
def record_latencies(context, count):
    pair = [histograms.LatencyHistograms() for _ in range(2)]
    single = histograms.LatencyHistograms()
    for number, member in zip(range(count), itertools.cycle(pair)):
        for each in (member, single):
            each.record(f"account-{number % 3}", CHAT, number * 100)
    context.per_instance = pair[0].snapshot() + pair[1].snapshot()
    context.single = single.snapshot()


@then("the merged records equal those of the single instance")
def check_merge(context):
    assert histograms.merge_records(context.per_instance) == context.single
    assert sum(record.count for record in context.single) == 1000


@then("the percentiles are within 1 percent")
def check_percentiles(context):
    for record in context.single:
        assert abs(record.p50_us - 50_000) <= 1000, record
        assert abs(record.p99_us - 99_000) <= 1500, record


@then("latencies of {low:g} and {high:g} microseconds are counted")
def check_range(context, low, high):
    series = histograms.LatencyHistograms()
    for latency_us in (low, high):
        series.record("one", CHAT, latency_us)
    (record,) = series.snapshot()
    assert record.count == 2
    assert record.request_class == "chat"
    assert record.max_us >= 590_000_000


@then("{count:d} client accounts leave at most {limit:d} series")
def check_series(context, count, limit):
    series = histograms.LatencyHistograms()
    for number in range(count):
        series.record(f"account-{number}", CHAT, 1)
    records = series.snapshot()
    assert len(records) <= limit
    assert sum(record.count for record in records) == count


@then("merging arbitrary texts raises the typed error")
def check_malformed(context):
    series = histograms.LatencyHistograms()
    series.record("one", CHAT, 1)
    (good,) = series.snapshot()
    ends = strategies.integers(1, len(good.encoded) - 1)
    wide = histogram.HdrHistogram(1, 1 << 40, 3).encode().decode()
    texts = strategies.one_of(
        strategies.just(wide),
        strategies.text(),
        ends.map(lambda end: good.encoded[:end]),
    )

    @hypothesis.given(texts)
    def check(text):
        try:
            histograms.merge_records([attrs.evolve(good, encoded=text)])
        except histograms.MalformedHistogramError:
            return
        raise AssertionError(text)

    check()


@then("a declared counter, gauge and timer arrive at a UDP socket")
def check_metrics(context):
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    with receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(10.0)
        sender = metrics.Metrics(receiver.getsockname())
        made = metrics.Metric("a.b", metrics.Kind.COUNTER, "count", "test")
        sender.count(made, 2)
        sender.set_gauge(made, 3)
        sender.record(made, 0.25)
        lines = [receiver.recv(512).decode() for _ in range(3)]
        sender.close()
    texts = ["2|c", "3|g", "250.000000|ms"]
    assert lines == [f"mulberryhollow.a.b:{text}" for text in texts]


@then("metrics without an address send nothing")
def check_no_address(context):
    made = metrics.Metric("a.b", metrics.Kind.COUNTER, "count", "test")
    metrics.Metrics().count(made)
    assert metrics.ADDRESS.parse("127.0.0.1:8125") == ("127.0.0.1", 8125)
    assert metrics.ADDRESS.parse("") is None
