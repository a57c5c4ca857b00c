"""Time until a changed document is active, and store calls when idle."""

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
FROZEN_INSTANCES = 2
CHANGES = 10
MAX_ACTIVATION_S = 7.0
ACTIVATION_TIMEOUT_S = 60.0
SETTLE_S = 6.0
IDLE_WINDOW_S = 20.0
POLL_INTERVAL_S = 0.02
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
        activation_s = _measure_changes(site, entries)
        running_s, resumed_s = _measure_frozen(fleet, site, entries)
    return [
        _make_time("a change active on 8 instances, median", activation_s),
        _make_time(
            "a change active on 8 instances, longest", activation_s, max
        ),
        _make_time("with 2 frozen, on the other 6, longest", running_s, max),
        _make_time("on the 2 after their thaw, longest", resumed_s, max),
        *_make_calls(calls),
    ]


def _make_time(name, times_s, aggregate=statistics.median):
    """Return a figure of activation times, bounded by `MAX_ACTIVATION_S`."""
    return figure.Figure(
        name, aggregate(times_s), "seconds", at_most=MAX_ACTIVATION_S
    )


def _make_calls(calls):
    """Return a figure for each kind of store call, and one for all."""
    return [
        figure.Figure(
            f"idle store calls, {name}", count / IDLE_WINDOW_S, "calls/second"
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
    time.sleep(IDLE_WINDOW_S)
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
        _measure_change(site, entries, number)
        for number in range(1, CHANGES + 1)
    ]


def _measure_frozen(fleet, site, entries):
    """Measure changes that are made while some instances are frozen.

    Returns
    -------
    tuple of list of float
        Activation times on the running instances, and on the frozen ones
        from the moment they resume, both in seconds.
    """
    frozen = dict(list(entries.items())[:FROZEN_INSTANCES])
    running = dict(list(entries.items())[FROZEN_INSTANCES:])
    running_s, resumed_s = [], []
    for number in range(1, CHANGES + 1):
        for name in frozen:
            fleet.freeze(name)
        running_s.append(_measure_change(site, running, CHANGES + number))
        version = _read_stored_version(site)
        begin_s = time.monotonic()
        for name in frozen:
            fleet.thaw(name)
        resumed_s.append(_await_active(frozen, version, begin_s))
    return running_s, resumed_s


def _measure_change(site, entries, number):
    """Make a change; return the time until it is active, in seconds."""
    client = store.StoreClient(site.store_address)
    current = client.get("environment", "production")
    data = sites.EXAMPLE_PATH.read_bytes() + b"# change %d\n" % number
    change_id = store.make_change_id()
    begin_s = time.monotonic()
    outcome = client.put(
        "environment", "production", data, current.version, change_id
    )
    return _await_active(entries, outcome.version, begin_s)


def _read_stored_version(site):
    """Return the version of the stored document."""
    client = store.StoreClient(site.store_address)
    return client.get("environment", "production").version


def _await_active(entries, version, begin_s):
    """Return the time until a version is active everywhere, in seconds."""
    with concurrent.futures.ThreadPoolExecutor(len(entries)) as threads:
        return max(
            threads.map(
                lambda address: _await_active_on(address, version, begin_s),
                entries.values(),
            )
        )


def _await_active_on(address, version, begin_s):
    """Return the time until a version is active on an instance, in seconds.

    A version that is not active in time counts as
    `ACTIVATION_TIMEOUT_S`.
    """
    while time.monotonic() < begin_s + ACTIVATION_TIMEOUT_S:
        if _read_active_version(address) >= version:
            return time.monotonic() - begin_s
        time.sleep(POLL_INTERVAL_S)
    return ACTIVATION_TIMEOUT_S


def _read_active_version(address):
    """Return the active version of an instance; 0 without an answer."""
    try:
        status = sites.call(
            address, "GET", "/status", timeout_s=STATUS_TIMEOUT_S
        )
    except urllib3.exceptions.HTTPError:
        return 0
    return status.json()["document_version"]
