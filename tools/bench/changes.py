"""Time until a change of the document is in force, and calls of the store."""

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
    """Return the figures of one run over real processes."""
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
    """Return the figure of some times, within the limit of the target."""
    return figure.Figure(
        name, choose(times_s), "seconds", at_most=IN_FORCE_LIMIT_S
    )


def _make_calls(calls):
    """Return a figure for each call of the store, and for all."""
    return [
        figure.Figure(
            f"idle store calls, {name}", count / IDLE_S, "calls/second"
        )
        for name, count in [*sorted(calls.items()), ("all", calls.total())]
    ]


def _has_all_peers(address):
    """Return whether an instance sees every other one."""
    status = sites.call(address, "GET", "/status").json()
    return status["peers"] == INSTANCES - 1


def _count_idle_calls(store_address):
    """Return the Counter of store calls while nobody asks anything."""
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
    """Return the time of each of some changes, in seconds."""
    return [
        _measure(site, entries, number) for number in range(1, CHANGES + 1)
    ]


def _measure_frozen(fleet, site, entries):
    """Return the times with frozen instances, and after their thaw.

    Returns
    -------
    tuple of list of float
        In seconds.
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
    """Make a change; return the time until it is in force, in seconds."""
    client = store.StoreClient(site.store_address)
    current = client.get("environment", "production")
    data = sites.EXAMPLE_PATH.read_bytes() + b"# change %d\n" % number
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
    """Return the time until every instance has a version, in seconds."""
    with concurrent.futures.ThreadPoolExecutor(len(entries)) as threads:
        return max(
            threads.map(
                lambda address: _wait_one(address, version, begin_s),
                entries.values(),
            )
        )


def _wait_one(address, version, begin_s):
    """Return the time until an instance has a version, in seconds."""
    while time.monotonic() < begin_s + WAIT_LIMIT_S:
        if _read_in_force(address) >= version:
            return time.monotonic() - begin_s
        time.sleep(POLL_S)
    return WAIT_LIMIT_S


def _read_in_force(address):
    """Return the version in force on an instance; 0 without an answer."""
    try:
        status = sites.call(
            address, "GET", "/status", timeout_s=STATUS_TIMEOUT_S
        )
    except urllib3.exceptions.HTTPError:
        return 0
    return status.json()["document_version"]
