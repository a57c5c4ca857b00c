"""Injects the faults of a schedule."""

import heapq
import itertools
import threading
import time

from tools.chaos import cluster as clusters
from tools.chaos import configuration

__all__ = ["FaultInjector"]

_COUNTED_FAULTS = ("cross", "drop_answer", "refuse", "stale_reads", "truncate")
_STOP_TIMEOUT_S = 20.0
_ABORT_TIMEOUT_S = 2.0


class FaultInjector:
    """Begins and ends each fault at its scheduled time.

    Parameters
    ----------
    cluster : Cluster
        Processes of the run.
    send_poison : callable
        Sends a prompt, its only argument, through one entry after another.

    Attributes
    ----------
    stop_failures : list of str
        One message for each entry instance that failed to stop cleanly.
    """

    def __init__(self, cluster, send_poison):
        self._cluster = cluster
        self._fleet = cluster.fleet
        self._send_poison = send_poison
        self.stop_failures = []

    def run(self, faults):
        """Inject all faults; return when the last one has ended."""
        order = itertools.count()
        start_s = time.monotonic()
        steps = [
            (fault.at_s, next(order), self._begin, fault) for fault in faults
        ]
        heapq.heapify(steps)
        while steps:
            at_s, _, action, fault = heapq.heappop(steps)
            time.sleep(max(0.0, start_s + at_s - time.monotonic()))
            action(fault)
            if action == self._begin:
                end_s = fault.at_s + fault.duration_s
                heapq.heappush(steps, (end_s, next(order), self._end, fault))

    def _begin(self, fault):
        """Inject a fault."""
        match fault.action:
            case "kill":
                self._cluster.kill(fault.target)
            case "crash_booked":
                self._set_fault(fault, "crash", when="ran")
            case "freeze":
                self._fleet.freeze(self._get_member(fault).instance)
            case "stop":
                self._begin_stop(fault)
            case "reclaim_instance":
                member = self._get_member(fault)
                self._cluster.announce_reclaim(
                    [member],
                    instance=member.instance,
                    after_s=fault.duration_s,
                )
            case "reclaim_domain":
                self._cluster.announce_reclaim(
                    self._list_domain_members(fault),
                    failure_domain=fault.target,
                    after_s=fault.duration_s,
                )
            case "publish":
                self._start_publishing()
            case "poison":
                self._begin_poison(fault)
            case "outage" | "silent":
                self._set_fault(fault, fault.action)
            case "slow":
                self._set_fault(fault, "slow", delay_s=0.3)
            case name if name in _COUNTED_FAULTS:
                self._set_fault(fault, name, count=fault.count)

    def _end(self, fault):
        """End a fault and restart or replace the processes it ended."""
        match fault.action:
            case "kill":
                self._cluster.restart(fault.target)
            case "crash_booked":
                self._set_fault(fault, "clear")
                self._cluster.restart(fault.target)
            case "freeze":
                self._fleet.thaw(self._get_member(fault).instance)
            case "stop":
                self._end_stop(fault)
            case "reclaim_instance":
                self._cluster.replace(fault.target)
            case "reclaim_domain":
                for member in self._list_domain_members(fault):
                    self._cluster.replace(member.name)
            case "publish":
                return
            case "poison":
                self._cluster.revive_crashed(_make_poison(fault))
            case _:
                self._set_fault(fault, "clear")

    def _get_member(self, fault):
        return self._cluster.get(fault.target)

    def _list_domain_members(self, fault):
        names = clusters.LAYOUT.list_members(fault.target)
        return [self._cluster.get(name) for name in names]

    def _set_fault(self, fault, kind, **fields):
        address = self._cluster.store
        if fault.target != "store":
            address = self._get_member(fault).address
        self._cluster.set_fault(address, kind, **fields)

    def _begin_stop(self, fault):
        member = self._get_member(fault)
        self._cluster.record_stop(member)
        self._fleet.terminate(member.instance)

    def _end_stop(self, fault):
        """Wait for a graceful stop; restart the entry instance.

        A process that doesn't end in time is aborted, which writes its
        stack traces to its log. An exit code other than 0 is a failure.
        """
        member = self._get_member(fault)
        code = self._fleet.wait(member.instance, _STOP_TIMEOUT_S)
        if code is None:
            self._fleet.abort(member.instance)
            self._fleet.wait(member.instance, _ABORT_TIMEOUT_S)
        self._fleet.kill(member.instance)
        if code != 0:
            self.stop_failures.append(
                f"{member.instance} stopped with exit code {code}"
            )
        self._cluster.restart(fault.target)

    def _begin_poison(self, fault):
        """Make engines crash on a prompt and send the prompt repeatedly."""
        text = _make_poison(fault)
        for member in self._cluster.list_members("model"):
            self._cluster.set_fault(member.address, "poison", text=text)
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


def _make_poison(fault):
    """Return the prompt on which engines crash during a fault."""
    return f"poison at {fault.at_s}"
