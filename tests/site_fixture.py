"""A deployment of real processes that the scenarios of a feature share."""

import itertools
import json
import threading
import time

from tools.history import expected
from tools import processes
from tools import site as sites

KEY = "example-key-brunner-desk"
CHAT = "/v1/services/call-chat/chat"
LOOKUP = "/v1/services/slots/lookup"
BOOKING = "/v1/services/fitter-bookings/booking"
PROMPT = "a pipe has burst in the cellar"
ENTRIES = 3
QUICK_MOVES = """\
[rollout]
step_s = 0.5
confirm_s = 2
reserve_s = 2
"""


class SharedSite:
    """Store, engines, plain services and entries of one feature."""

    def __init__(self, further_settings=""):
        self.fleet = processes.Fleet().__enter__()
        self.site = sites.Site(self.fleet, 10.0, further_settings)
        self.site.start_platform()
        self.numbers = itertools.count(1)
        self.entry_names = {}
        self.engines = {}
        self.booking_services = {}

    def start(self, engines=3, booking_services=2):
        for _ in range(engines):
            self.add_engine()
        for _ in range(booking_services):
            self.add_booking_service()
        self.site.add_plain("slots-1", "slots")
        for _ in range(ENTRIES):
            self.add_entry()
        self.wait_ready()

    def add_engine(self, version="v1"):
        name = f"engine-{next(self.numbers)}"
        options = ("--token-time-s", "0.02")
        address = self.site.add_engine(name, "call-chat", version, options)
        self.engines[name] = address
        return name

    def add_booking_service(self):
        name = f"fitters-{next(self.numbers)}"
        self.booking_services[name] = self.site.add_plain(
            name, "fitter-bookings"
        )
        return name

    def add_entry(self, failure_domain=None):
        name = f"entry-{next(self.numbers)}"
        address = self.site.add_entry(name, failure_domain)
        self.entry_names[name] = address
        return name

    def wait_ready(self):
        self.site.entries = list(self.entry_names.values())
        self.site.wait_ready(self._probe)

    def _probe(self, address):
        body = {"prompt": "hello", "max_tokens": 1}
        is_chat_answered = self.post(address, CHAT, body).status == 200
        lookup_answer = self.post(address, LOOKUP, {"query": "x"})
        status_report = sites.call(address, "GET", "/status").json()
        has_endpoints = status_report["endpoints"] >= len(self.engines) + len(
            self.booking_services
        )
        has_peers = status_report["peers"] >= len(self.entry_names) - 1
        return (
            is_chat_answered
            and lookup_answer.status == 200
            and has_endpoints
            and has_peers
        )

    def close(self):
        self.fleet.__exit__()

    def kill_entry(self, name):
        self.fleet.kill(name)
        del self.entry_names[name]

    def post(self, address, path, body, headers=None):
        return sites.call(address, "POST", path, body, KEY, headers)

    def chat(self, address, tokens, stream=True, prompt=PROMPT, headers=None):
        body = {"prompt": prompt, "max_tokens": tokens, "stream": stream}
        return self.post(address, CHAT, body, headers)

    def book(self, address, key, slot="friday-0900", number=1):
        headers = {"Idempotency-Key": key, "X-Send-Number": str(number)}
        return self.post(address, BOOKING, {"slot": slot}, headers)

    def count_bookings(self, key):
        """Return how often a key was booked at all running plain services."""
        return sum(
            entry["key"] == key and entry["step"] == "ran"
            for name, address in self.booking_services.items()
            if self.fleet.children[name].is_running()
            for entry in sites.call(address, "GET", "/control").json()[
                "ledger"
            ]
        )

    def fault(self, address, name, **fields):
        sites.set_fault(address, name, **fields)

    def clear_faults(self):
        addresses = [
            self.site.store_address,
            *self.engines.values(),
            *self.booking_services.values(),
        ]
        running = {
            child.address
            for child in self.fleet.children.values()
            if child.is_running()
        }
        for address in running.intersection(addresses):
            self.fault(address, "clear")


def read_moved_stream(shared, answer):
    """Return the tokens of a stream, resumed at each instance it moves to."""
    assert answer.status == 200, answer.data
    tokens, event, fields = read_stream(answer)
    for address in list(shared.entry_names.values()) * 2:
        if event != "moved":
            break
        headers = {"Last-Event-ID": str(len(tokens) - 1)} if tokens else {}
        answer = sites.call(
            address, "GET", fields["location"], key=KEY, headers=headers
        )
        if answer.status == 200:
            further_tokens, event, fields = read_stream(answer)
            tokens += further_tokens
    assert event == "end", (event, fields, answer.data)
    return tokens


class BackgroundCall:
    """A call that runs in a thread of its own."""

    def __init__(self, call, *arguments, **named):
        self.result = None
        self.error = None
        self._thread = threading.Thread(
            target=self._run, args=(call, arguments, named), daemon=True
        )
        self._thread.start()

    def _run(self, call, arguments, named):
        try:
            self.result = call(*arguments, **named)
        except Exception as error:  # noqa: BLE001
            self.error = error

    def wait(self, timeout_s=30):
        self._thread.join(timeout_s)
        assert not self._thread.is_alive(), "the call did not end in time"
        return self.result


def read_stream(answer):
    """Return (token texts, name of the last event, its fields)."""
    tokens = []
    last = ("", {})
    for block in answer.data.decode().strip().split("\n\n"):
        lines = dict(line.split(": ", 1) for line in block.split("\n"))
        fields = json.loads(lines["data"])
        if "event" in lines:
            last = lines["event"], fields
        else:
            tokens.append(fields["token"])
    return tokens, *last


def check_complete_answer(answer, count, prompt=PROMPT, version="v1"):
    """Assert that a stream is the complete answer to its prompt."""
    assert answer.status == 200, (answer.status, answer.data)
    tokens, event, fields = read_stream(answer)
    assert event == "end", (event, fields)
    assert fields["tokens"] == count, fields
    assert "".join(tokens) == expected.make_text(version, prompt, count)


def wait_until(check, timeout_s=15.0):
    """Wait until a check holds; fail when it does not hold in time."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if check():
            return
        time.sleep(0.05)
    assert check(), "the check did not hold in time"
