"""Injects the faults of a schedule."""

import heapq
import itertools
import threading
import time

from tools.chaos import cluster as clusters
from tools.chaos import configuration

__all__ = ["Striker"]

_COUNTED = ("cross", "drop_answer", "refuse", "stale_reads", "truncate")
_STOP_TIMEOUT_S = 20.0
_ABORT_TIMEOUT_S = 2.0


class Striker:
    """Begins and ends each fault at its scheduled time.

    Parameters
    ----------
    cluster : Cluster
        Processes of the run.
    send_poison : callable
        Sends a prompt, its only argument, through one entry after another.

    Attributes
    ----------
    faults : list of str
        One message for each entry instance that failed to stop cleanly.
    """

    def __init__(self, cluster, send_poison):
        self._cluster = cluster
        self._fleet = cluster.fleet
        self._send_poison = send_poison
        self.faults = []

    def run(self, strikes):
        """Inject all faults; return when the last one has ended."""
        order = itertools.count()
        start_s = time.monotonic()
        steps = [
            (strike.at_s, next(order), self._begin, strike)
            for strike in strikes
        ]
        heapq.heapify(steps)
        while steps:
            at_s, _, action, strike = heapq.heappop(steps)
            time.sleep(max(0.0, start_s + at_s - time.monotonic()))
            action(strike)
            if action == self._begin:
                ends_s = strike.at_s + strike.hold_s
                heapq.heappush(steps, (ends_s, next(order), self._end, strike))

    def _begin(self, strike):
        """Inject a fault."""
        match strike.action:
            case "kill":
                self._cluster.kill(strike.target)
            case "crash_booked":
                self._tell(strike, "crash", when="ran")
            case "freeze":
                self._fleet.freeze(self._find(strike).instance)
            case "stop":
                self._begin_stop(strike)
            case "reclaim_instance":
                member = self._find(strike)
                self._cluster.announce(
                    [member], instance=member.instance, after_s=strike.hold_s
                )
            case "reclaim_domain":
                self._cluster.announce(
                    self._list_domain(strike),
                    failure_domain=strike.target,
                    after_s=strike.hold_s,
                )
            case "publish":
                self._start_publishing()
            case "poison":
                self._begin_poison(strike)
            case "outage" | "silent":
                self._tell(strike, strike.action)
            case "slow":
                self._tell(strike, "slow", delay_s=0.3)
            case name if name in _COUNTED:
                self._tell(strike, name, count=strike.count)

    def _end(self, strike):
        """End a fault and restart or replace the processes it ended."""
        match strike.action:
            case "kill":
                self._cluster.restart(strike.target)
            case "crash_booked":
                self._tell(strike, "clear")
                self._cluster.restart(strike.target)
            case "freeze":
                self._fleet.thaw(self._find(strike).instance)
            case "stop":
                self._end_stop(strike)
            case "reclaim_instance":
                self._cluster.replace(strike.target)
            case "reclaim_domain":
                for member in self._list_domain(strike):
                    self._cluster.replace(member.name)
            case "publish":
                return
            case "poison":
                self._cluster.revive_crashed(_make_poison(strike))
            case _:
                self._tell(strike, "clear")

    def _find(self, strike):
        return self._cluster.get(strike.target)

    def _list_domain(self, strike):
        names = clusters.LAYOUT.list_members(strike.target)
        return [self._cluster.get(name) for name in names]

    def _tell(self, strike, fault, **fields):
        address = self._cluster.store
        if strike.target != "store":
            address = self._find(strike).address
        self._cluster.tell(address, fault, **fields)

    def _begin_stop(self, strike):
        member = self._find(strike)
        self._cluster.note_stop(member)
        self._fleet.terminate(member.instance)

    def _end_stop(self, strike):
        """Wait for a graceful stop; restart the entry instance.

        A process that doesn't end in time is aborted, which writes its
        stack traces to its log. An exit code other than 0 is a failure.
        """
        member = self._find(strike)
        code = self._fleet.wait(member.instance, _STOP_TIMEOUT_S)
        if code is None:
            self._fleet.abort(member.instance)
            self._fleet.wait(member.instance, _ABORT_TIMEOUT_S)
        self._fleet.kill(member.instance)
        if code != 0:
            self.faults.append(
                f"{member.instance} stopped with exit code {code}"
            )
        self._cluster.restart(strike.target)

    def _begin_poison(self, strike):
        """Make engines crash on a prompt and send the prompt repeatedly."""
        text = _make_poison(strike)
        for member in self._cluster.list_members("model"):
            self._cluster.tell(member.address, "poison", text=text)
        threading.Thread(
            target=self._send_poison, args=(text,), daemon=True
        ).start()

    def _start_publishing(self):
        """Publish a new version of the document in a thread of its own."""
        threading.Thread(
            target=configuration.publish,
            args=(self._cluster.store, self._cluster.recorder),
            daemon=True,
        ).start()


def _make_poison(strike):
    """Return the prompt on which engines crash during a fault."""
    return f"poison at {strike.at_s}"
