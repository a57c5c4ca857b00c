"""Control traffic, processor time and memory of eight entry daemons."""

import concurrent.futures
import time

from tools.bench import figure
from tools.bench import usage
from tools import processes
from tools import site as sites

__all__ = ["run"]

ENTRIES = 8
ENGINES = 9
SETTLE_S = 6.0
WINDOW_S = 15.0
CALLERS = 8

MAX_CONTROL_BYTES_PER_S = 7_000.0
"""Maximum control traffic of a node, in bytes a second."""

MAX_CONTROL_CORE_SHARE = 0.023
"""Maximum share of a core that a node uses for control."""

MAX_MEMORY_MB = 256.0
"""Maximum resident memory of a node, in MB."""

API_KEY = "example-key-brunner-desk"
_CHAT = "/v1/services/call-chat/chat"


def run():
    """Yield the figures of one run, first idle and then under load."""
    with processes.Fleet() as fleet:
        site = sites.Site(fleet)
        site.start_platform()
        for number in range(ENGINES):
            site.add_engine(f"engine-{number}", "call-chat")
        for number in range(ENTRIES):
            site.add_entry(f"entry-{number}")
        site.wait_ready(_is_serving)
        time.sleep(SETTLE_S)
        yield from _measure(fleet, site, "idle", lambda: time.sleep(WINDOW_S))
        yield from _measure(
            fleet, site, "under load", lambda: _send_load(site)
        )


def _is_serving(address):
    """Return whether an instance answers a chat request."""
    return _chat(address, 1).status == 200


def _chat(address, tokens):
    """Send one chat request; return the answer."""
    body = {"prompt": "a pipe has burst", "max_tokens": tokens}
    return sites.call(address, "POST", _CHAT, body, API_KEY)


def _send_load(site):
    """Send chats to each instance during the measurement window."""
    end_s = time.monotonic() + WINDOW_S

    def send(address):
        while time.monotonic() < end_s:
            _chat(address, 20)

    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        list(pool.map(send, site.entries))


def _measure(fleet, site, name, work):
    """Yield the resource use of the instances during some work."""
    pids = [fleet.children[f"entry-{n}"].pid for n in range(ENTRIES)]
    before = [_read_bytes(address) for address in site.entries]
    before_s = [usage.read_processor_time(pid) for pid in pids]
    begin_s = time.monotonic()
    work()
    elapsed_s = time.monotonic() - begin_s
    rates = [
        (_read_bytes(address) - first) / elapsed_s
        for address, first in zip(site.entries, before, strict=True)
    ]
    shares = [
        (usage.read_processor_time(pid) - first_s) / elapsed_s
        for pid, first_s in zip(pids, before_s, strict=True)
    ]
    mean = sum(rates) / ENTRIES
    yield figure.Figure(
        f"control bytes, mean, {name}",
        mean,
        "B/s",
        at_most=MAX_CONTROL_BYTES_PER_S,
    )
    yield figure.Figure(
        f"control bytes, busiest, {name}",
        max(rates),
        "B/s",
        at_most=MAX_CONTROL_BYTES_PER_S,
    )
    bound = MAX_CONTROL_CORE_SHARE if name == "idle" else None
    yield figure.Figure(
        f"processor, share of a core, {name}",
        sum(shares) / ENTRIES,
        "ratio",
        at_most=bound,
    )
    yield figure.Figure(
        f"memory, largest, {name}",
        max(usage.read_memory_kb(pid) / 1e3 for pid in pids),
        "MB",
        at_most=MAX_MEMORY_MB,
    )


def _read_bytes(address):
    """Return the bytes of control traffic of an instance since its start."""
    return sites.call(address, "GET", "/status").json()["control_bytes"]
