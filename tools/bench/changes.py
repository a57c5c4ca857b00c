"""Time until a changed document is active, and idle calls of the store."""

import collections
import concurrent.futures
import statistics
import time

import urllib3

from mulberryhollow.transport import store
from tools.bench import figure
from tools import processes
from tools import site as sites

__all__ = ["run"]

INSTANCES = 8
FROZEN = 2
CHANGES = 10
IN_FORCE_LIMIT_S = 7.0
WAIT_LIMIT_S = 60.0
SETTLE_S = 6.0
IDLE_S = 20.0
POLL_S = 0.02
STATUS_TIMEOUT_S = 1.0


def run():
    """Return the figures of one run with real processes."""
    with processes.Fleet() as fleet:
        site = sites.Site(fleet)
        site.start_platform()
        names = [f"entry-{number}" for number in range(1, INSTANCES + 1)]
        entries = {name: site.add_entry(name) for name in names}
        site.wait_ready(_has_all_peers)
        time.sleep(SETTLE_S)
        calls = _count_idle_calls(site.store_address)
        all_s = _measure_changes(site, entries)
        rest_s, caught_up_s = _measure_frozen(fleet, site, entries)
    return [
        _make_time("a change in force on 8 instances, median", all_s),
        _make_time("a change in force on 8 instances, longest", all_s, max),
        _make_time("with 2 frozen, on the other 6, longest", rest_s, max),
        _make_time("on the 2 after their thaw, longest", caught_up_s, max),
        *_make_calls(calls),
    ]


def _make_time(name, times_s, choose=statistics.median):
    """Return a figure of some times, bounded by the target for changes."""
    return figure.Figure(
        name, choose(times_s), "seconds", at_most=IN_FORCE_LIMIT_S
    )


def _make_calls(calls):
    """Return a figure for each kind of store call, and one for all."""
    return [
        figure.Figure(
            f"idle store calls, {name}", count / IDLE_S, "calls/second"
        )
        for name, count in [*sorted(calls.items()), ("all", calls.total())]
    ]


def _has_all_peers(address):
    """Return whether an instance lists every other instance as a peer."""
    status = sites.call(address, "GET", "/status").json()
    return status["peers"] == INSTANCES - 1


def _count_idle_calls(store_address):
    """Return the Counter of store calls in a period without requests."""
    before = _read_calls(store_address)
    time.sleep(IDLE_S)
    return _read_calls(store_address) - before


def _read_calls(store_address):
    """Return the Counter of the calls so far, by kind and name."""
    control = sites.call(store_address, "GET", "/control").json()
    counter = collections.Counter()
    for kind, calls in control["calls"].items():
        for name, count in calls.items():
            counter[f"{name} {kind}"] = count
    return counter


def _measure_changes(site, entries):
    """Return the activation times of several changes, in seconds."""
    return [
        _measure(site, entries, number) for number in range(1, CHANGES + 1)
    ]


def _measure_frozen(fleet, site, entries):
    """Measure changes that are made while some instances are frozen.

    Returns
    -------
    tuple of list of float
        Activation times on the running instances, and on the frozen ones
        from the moment they resume, both in seconds.
    """
    frozen = dict(list(entries.items())[:FROZEN])
    others = dict(list(entries.items())[FROZEN:])
    rest_s, caught_up_s = [], []
    for number in range(1, CHANGES + 1):
        for name in frozen:
            fleet.freeze(name)
        rest_s.append(_measure(site, others, CHANGES + number))
        version = _read_version(site)
        begin_s = time.monotonic()
        for name in frozen:
            fleet.thaw(name)
        caught_up_s.append(_wait_in_force(frozen, version, begin_s))
    return rest_s, caught_up_s


def _measure(site, entries, number):
    """Make a change; return the time until it is active, in seconds."""
    client = store.StoreClient(site.store_address)
    current = client.get("environment", "production")
    data = sites.EXAMPLE.read_bytes() + b"# change %d\n" % number
    change_id = store.make_change_id()
    begin_s = time.monotonic()
    outcome = client.put(
        "environment", "production", data, current.version, change_id
    )
    return _wait_in_force(entries, outcome.version, begin_s)


def _read_version(site):
    """Return the version of the stored document."""
    client = store.StoreClient(site.store_address)
    return client.get("environment", "production").version


def _wait_in_force(entries, version, begin_s):
    """Return the time until a version is active everywhere, in seconds."""
    with concurrent.futures.ThreadPoolExecutor(len(entries)) as threads:
        return max(
            threads.map(
                lambda address: _wait_one(address, version, begin_s),
                entries.values(),
            )
        )


def _wait_one(address, version, begin_s):
    """Return the time until a version is active on an instance, in seconds.

    A version that is not active in time counts as `WAIT_LIMIT_S`.
    """
    while time.monotonic() < begin_s + WAIT_LIMIT_S:
        if _read_in_force(address) >= version:
            return time.monotonic() - begin_s
        time.sleep(POLL_S)
    return WAIT_LIMIT_S


def _read_in_force(address):
    """Return the active version of an instance; 0 without an answer."""
    try:
        status = sites.call(
            address, "GET", "/status", timeout_s=STATUS_TIMEOUT_S
        )
    except urllib3.exceptions.HTTPError:
        return 0
    return status.json()["document_version"]
