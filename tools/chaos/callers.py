"""Caller threads that send random requests, each with its own seed."""

import itertools
import random
import threading
import time

import attrs

from tools.chaos import client

__all__ = ["Caller", "Traffic", "send_through_all"]

_MAX_ATTEMPTS = 12
_PAUSE_RANGE_S = (0.02, 0.15)
_RESEND_INTERVAL_S = 0.7
_ROUNDS = 2
_POISON_TOKENS = 20
_DUPLICATE_SHARE = 0.15
_WORDS = ("pipe", "cellar", "tap", "boiler", "lab", "tour", "bus", "hall")


@attrs.frozen
class Traffic:
    """A kind of request that callers send, and its frequency.

    Parameters
    ----------
    kind : str
        Class of the request.
    service : str
        Name of the service that is called.
    account_key : str
        API key of the client account.
    weight : int
        Relative frequency among the kinds of requests.
    """

    kind: str
    service: str
    account_key: str
    weight: int


class Caller(threading.Thread):
    """Thread that sends one request after another until it is stopped.

    Parameters
    ----------
    name : str
        Name of the thread and prefix of the names of its calls.
    seed : str
        Seed of the random choices.
    traffic : tuple of Traffic
        Kinds of requests to choose from.
    sender : Client
        Sends and records the requests.
    list_entries : callable
        Returns the names of the entry instances.
    stopped : threading.Event
        Ends the thread when set.
    """

    def __init__(self, name, seed, traffic, sender, list_entries, stopped):
        super().__init__(name=name, daemon=True)
        self._random = random.Random(seed)
        self._traffic = traffic
        self._sender = sender
        self._list_entries = list_entries
        self._stopped = stopped
        self._numbers = itertools.count(1)

    def run(self):
        """Send requests, with a random pause after each."""
        while not self._stopped.is_set():
            self._send_one()
            self._stopped.wait(self._random.uniform(*_PAUSE_RANGE_S))

    def _send_one(self):
        weights = [each.weight for each in self._traffic]
        chosen = self._random.choices(self._traffic, weights)[0]
        request = self._make_request(chosen)
        entry = self._random.choice(self._list_entries())
        if request.kind == "booking":
            self._book(request, entry)
        else:
            self._sender.send(request, entry)

    def _make_request(self, chosen):
        number = next(self._numbers)
        call = f"{self.name}-{number}"
        words = self._random.choices(_WORDS, k=self._random.randint(3, 60))
        is_booking = chosen.kind == "booking"
        return client.CallerRequest(
            call=call,
            kind=chosen.kind,
            service=chosen.service,
            account_key=chosen.account_key,
            text=f"slot {call}" if is_booking else " ".join(words),
            key=self._make_key(call) if is_booking else "",
            max_tokens=0 if is_booking else self._random.choice((20, 60, 250)),
            stream=self._random.random() < 0.6,
        )

    def _make_key(self, call):
        return f"{int(time.time())}-{call}-{self._random.randrange(10**8):08}"

    def _book(self, request, entry):
        """Send a booking; resend it to other entries until it is done.

        At most `_MAX_ATTEMPTS` requests are sent.
        """
        if self._random.random() < _DUPLICATE_SHARE:
            self._send_duplicate(request, entry)
        for number in range(_MAX_ATTEMPTS):
            attempt = attrs.evolve(request, call=f"{request.call}.{number}")
            answered = self._sender.send(attempt, entry)
            if answered.outcome == "done":
                return
            self._stopped.wait(_RESEND_INTERVAL_S)
            entry = self._choose_other_entry(entry)

    def _send_duplicate(self, request, entry):
        """Send the same booking through another entry concurrently."""
        duplicate = attrs.evolve(request, call=f"{request.call}.twin")
        threading.Thread(
            target=self._sender.send,
            args=(duplicate, self._choose_other_entry(entry)),
            daemon=True,
        ).start()

    def _choose_other_entry(self, entry):
        other_entries = [
            name for name in self._list_entries() if name != entry
        ]
        return self._random.choice(other_entries)


def send_through_all(sender, traffic, text, list_entries):
    """Send one prompt through each entry in turn, in several rounds.

    Parameters
    ----------
    sender : Client
        Sends and records the requests.
    traffic : Traffic
        Kind, service and API key of the requests.
    text : str
        Prompt of the requests.
    list_entries : callable
        Returns the names of the entry instances.
    """
    for number in range(_ROUNDS):
        for entry in list_entries():
            request = client.CallerRequest(
                call=f"{text} {number} {entry}",
                kind=traffic.kind,
                service=traffic.service,
                account_key=traffic.account_key,
                text=text,
                max_tokens=_POISON_TOKENS,
            )
            sender.send(request, entry)
