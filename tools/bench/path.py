"""Overhead of requests through an instance, compared with direct calls."""

import concurrent.futures
import itertools
import json
import threading
import time

import urllib3
import waitress

from tools.bench import figure
from tools.bench import usage
from tools import processes
from tools import site as sites

__all__ = ["run"]

API_KEY = "example-key-brunner-desk"
PATIENT_API_KEY = "example-key-brunner-history"
CALLS = 600
WARM_UP_CALLS = 60
STREAM_TOKENS = 4_000
WARM_UP_BOOKINGS = 60
ENTRIES = 3
SETTLE_S = 4.0
STREAMS = 48
BOOKINGS = 200
BOOKING_THREADS = 32

PEAK_TOKENS_PER_S = 5_300_000
"""Peak rate of streamed tokens at the target size, in tokens a second."""

NODES = 830
"""Number of nodes at the target size."""

_LOOKUP = "/v1/services/slots/lookup"
_BOOKING = "/v1/services/fitter-bookings/booking"
_CHAT = "/v1/services/call-chat/chat"


def run():
    """Yield the figures of one run."""
    with processes.Fleet() as fleet:
        site = sites.Site(fleet)
        site.start_platform()
        plain = site.add_plain("slots-1", "slots")
        site.add_plain("fitters-1", "fitter-bookings")
        site.add_plain("fitters-2", "fitter-bookings")
        fast = ("--token-time-s", "0.0")
        site.add_engine("engine-1", "call-chat", "v1", fast)
        entry = site.add_entry("entry-1")
        for number in range(2, ENTRIES + 1):
            site.add_entry(f"entry-{number}")
        site.wait_ready(_is_serving)
        time.sleep(SETTLE_S)
        pid = fleet.children["entry-1"].pid
        yield from _measure_latency(plain, entry)
        yield from _measure_relay(entry, pid)
        yield from _measure_streams(site, entry, pid)
        yield from _measure_bookings(site.store_address, site.entries)


def _is_serving(address):
    """Return whether an instance answers requests to each service."""
    answers = [
        _post(address, _LOOKUP, {"query": "x"}),
        _post(address, _CHAT, {"prompt": "x", "max_tokens": 1}),
        _book(address),
    ]
    return all(answer.status in (200, 201) for answer in answers)


def _post(address, path, body, headers=None):
    """Send a request with the API key of the desk's client account."""
    return sites.call(address, "POST", path, body, API_KEY, headers)


def _book(address):
    """Send a booking with a new idempotency key."""
    headers = {"Idempotency-Key": sites.make_key()}
    return _post(address, _BOOKING, {"slot": "friday"}, headers)


def _measure_latency(plain, entry):
    """Yield the latency that the instance adds, relative to one hop.

    A hop is a call of a server that answers at once. The calls alternate
    between the service, the hop and the instance.
    """
    lookup_body = {"request_id": "r", "query": "x"}
    with _HopServer() as hop_address:
        calls = {
            "direct": _make_call(plain, "/v1/lookup", lookup_body),
            "hop": _make_call(hop_address, "/", lookup_body),
            "through": _make_call(entry, _LOOKUP, {"query": "x"}),
        }
        times = {name: [] for name in calls}
        for _ in range(CALLS):
            for name, call in calls.items():
                times[name].append(call())
    sorted_times = {
        name: sorted(times_s[WARM_UP_CALLS:])
        for name, times_s in times.items()
    }
    for share in (0.5, 0.99):
        quantiles = {
            name: _compute_quantile(times_s, share)
            for name, times_s in sorted_times.items()
        }
        added_s = quantiles["through"] - quantiles["direct"]
        quantile_name = f"p{share * 100:g}"
        for name, time_s in quantiles.items():
            yield figure.Figure(f"{name} {quantile_name}", time_s * 1e3, "ms")
        bound = 1.0 if share == 0.5 else None
        yield figure.Figure(
            f"added by the instance over one hop, {quantile_name}",
            added_s / quantiles["hop"],
            "ratio",
            at_most=bound,
        )


def _make_call(address, path, body):
    """Return a function that times one call on a persistent connection.

    The function returns the time in seconds.
    """
    pool = urllib3.HTTPConnectionPool(address, maxsize=1, retries=False)
    data = json.dumps(body).encode()
    headers = {"Authorization": f"Bearer {API_KEY}"}

    def call():
        begin_s = time.perf_counter()
        answer = pool.request("POST", path, body=data, headers=headers)
        assert answer.status == 200, answer.data
        return time.perf_counter() - begin_s

    return call


def _compute_quantile(ordered, share):
    """Return a quantile of sorted values, for a share between 0 and 1."""
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


class _HopServer:
    """A waitress server that answers at once; measures the cost of a hop."""

    def __enter__(self):
        self._server = waitress.create_server(
            _application, host="127.0.0.1", port=0, threads=2
        )
        threading.Thread(target=self._server.run, daemon=True).start()
        return f"127.0.0.1:{self._server.effective_port}"

    def __exit__(self, *_):
        self._server.close()


def _application(_environ, start_response):
    """WSGI application that returns a small JSON body."""
    body = b'{"result": "x"}'
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


def _measure_relay(entry, pid):
    """Yield the processor time that an instance uses per relayed token."""
    before_s = usage.read_processor_time(pid)
    body = {"prompt": "x", "max_tokens": STREAM_TOKENS, "stream": True}
    answer = _post(entry, _CHAT, body)
    processor_s = usage.read_processor_time(pid) - before_s
    tokens = answer.data.count(b"\nid: ") + 1
    assert tokens >= STREAM_TOKENS, answer.data[-300:]
    # Time that one core has per token when a node relays its share of the
    # peak rate.
    core_us_per_token = 1e6 / (PEAK_TOKENS_PER_S / NODES)
    yield figure.Figure(
        "processor time for each relayed token",
        processor_s / STREAM_TOKENS * 1e6,
        "us",
        at_most=core_us_per_token,
    )


def _measure_streams(site, entry, pid):
    """Yield the memory use of an instance and of an open stream."""
    slow = ("--token-time-s", "0.074", "--slots", "64")
    site.add_engine("engine-2", "job-history", "v1", slow)
    body = {"prompt": "x", "max_tokens": 60, "stream": True}
    path = "/v1/services/job-history/patient"
    time.sleep(3.0)
    before_kb = usage.read_memory_kb(pid)
    with concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
        calls = [
            pool.submit(sites.call, entry, "POST", path, body, PATIENT_API_KEY)
            for _ in range(STREAMS)
        ]
        time.sleep(2.0)
        during_kb = usage.read_memory_kb(pid)
        answers = [each.result() for each in calls]
    served = sum(answer.status == 200 for answer in answers)
    yield figure.Figure("streams open at once", served, "count")
    yield figure.Figure(
        "memory of an open stream", (during_kb - before_kb) / served, "kB"
    )
    yield figure.Figure("memory of the instance", during_kb / 1e3, "MB")


def _measure_bookings(store, entries):
    """Yield the store calls per booking, sequential and concurrent.

    Bookings go to every instance in turn, as behind a load balancer.
    Bookings of a warm-up, in which the owners acquire their buckets, are
    not counted.
    """
    entry_cycle = itertools.cycle(entries)
    for _ in range(WARM_UP_BOOKINGS):
        _book(next(entry_cycle))
    sequential_calls = _count_calls(
        store, lambda: [_book(next(entry_cycle)) for _ in range(BOOKINGS)]
    )
    yield figure.Figure(
        "store calls a booking, one by one",
        sequential_calls / BOOKINGS,
        "count",
        at_most=2.0,
    )
    with concurrent.futures.ThreadPoolExecutor(BOOKING_THREADS) as pool:
        concurrent_calls = _count_calls(
            store,
            lambda: list(
                pool.map(_book, itertools.islice(entry_cycle, BOOKINGS))
            ),
        )
    yield figure.Figure(
        f"store calls a booking, {BOOKING_THREADS} at once",
        concurrent_calls / BOOKINGS,
        "count",
        at_most=2.0,
    )
    yield figure.Figure(
        "store calls a booking, at once against one by one",
        concurrent_calls / sequential_calls,
        "ratio",
        at_most=1.0,
    )


def _count_calls(store, work):
    """Return the number of store reads and writes of claims by some work."""
    before = _read_counts(store)
    answers = work()
    assert all(answer.status == 201 for answer in answers)
    after = _read_counts(store)
    return sum(
        after.get(name, 0) - before.get(name, 0) for name in ("get", "put")
    )


def _read_counts(store):
    """Return the store's counts of calls on claims, by method."""
    return sites.call(store, "GET", "/control").json()["calls"]["claims"]
