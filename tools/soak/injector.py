"""Carries out the steps of a schedule on a site."""

import collections
import heapq
import itertools
import signal
import time

import attrs

from tools.soak import records
from tools.soak import schedule
from tools.soak import site as sites

__all__ = ["Injector"]

TICK_S = 0.05
RESTART_DELAY_S = 0.5
LEAST_RUNNING = 1
"""Number of instances that faults leave running."""


class Injector:
    """Carries out steps, one after the other, and those that follow them.

    Parameters
    ----------
    site : Site
        Instances and store.
    operator : Operator
        Writes configurations.
    endpoints : Endpoints
        The endpoints.
    recorder : Recorder
        Gets the disturbances.

    Attributes
    ----------
    most_late_s : float
        Longest delay of a step, in seconds, which shows how busy the machine
        was.
    done : collections.Counter
        Number of steps carried out by action.
    """

    def __init__(self, site, operator, endpoints, recorder):
        self._site = site
        self._operator = operator
        self._endpoints = endpoints
        self._recorder = recorder
        self._copies = {}
        self._numbers = itertools.count()
        self._queue = []
        self._stop_limits = {}
        self._restarts = {}
        self.most_late_s = 0.0
        self.done = collections.Counter()

    def run(self, steps, duration_s):
        """Carry out the steps of a run of the given duration."""
        begin_s = self._recorder.now_s()
        for step in steps:
            self._plan(begin_s + step.at_s, self._do, step)
        while self._recorder.now_s() < begin_s + duration_s:
            now_s = self._recorder.now_s()
            self._operator.tick(now_s)
            self._endpoints.tick(now_s)
            self._watch_processes(now_s)
            while self._queue and self._queue[0][0] <= now_s:
                at_s, _, call, arguments = heapq.heappop(self._queue)
                self.most_late_s = max(self.most_late_s, now_s - at_s)
                call(*arguments)
            time.sleep(TICK_S)

    def _plan(self, at_s, call, *arguments):
        """Plan a call for a time."""
        item = (at_s, next(self._numbers), call, arguments)
        heapq.heappush(self._queue, item)

    def _plan_end(self, step, call, *arguments):
        """Plan the call that ends the fault of a step."""
        self._plan(self._recorder.now_s() + step.duration_s, call, *arguments)

    def _do(self, step):
        """Carry out one step."""
        self.done[step.action] += 1
        server = self._site.server
        match step.action:
            case "copy":
                self._copies[step.target] = server.store.copy()
            case "restore":
                self._restore(step.target)
            case "down":
                self._recorder.begin(records.STORE, "down")
                server.is_refusing = True
                server.cut_connections()
                self._plan_end(step, self._end_outage)
            case "lose answers":
                self._recorder.begin(records.STORE, "lost answers")
                server.loses_answers = True
                self._plan_end(step, self._end_losses)
            case "configure":
                self._operator.configure()
            case "leave":
                now_s = self._recorder.now_s()
                self._endpoints.leave(step.target, step.detail, now_s)
            case "pause":
                self._endpoints.pause(step.target, step.duration_s)
            case "fill":
                self._endpoints.fill(step.target, step.duration_s)
            case _:
                self._disturb(step)

    def _restore(self, number):
        """Let the store come back from a copy."""
        self._recorder.begin(records.STORE, "restore")
        server = self._site.server
        server.store.restore(self._copies[number])
        server.cut_connections()
        self._end_outage()
        self._recorder.end(records.STORE, "restore")

    def _end_outage(self):
        """Let the store answer again."""
        self._site.server.is_refusing = False
        self._recorder.end(records.STORE, "down")

    def _end_losses(self):
        """Let the store's answers arrive again."""
        self._site.server.loses_answers = False
        self._recorder.end(records.STORE, "lost answers")

    def _disturb(self, step):
        """Carry out a step on one instance."""
        holder = self._site.find_holder()
        if step.action == "freeze others":
            number = (self._site.instances.index(holder) + 1) % len(
                self._site.instances
            )
            step = attrs.evolve(step, action="freeze", target=number)
        instance = (
            holder
            if step.target == schedule.HOLDER
            else self._site.instances[step.target]
        )
        others = [e for e in self._site.instances if e is not instance]
        if not instance.is_running() or (
            step.action != "refuse" and not self._is_usable(others)
        ):
            return
        name = instance.name
        match step.action:
            case "refuse":
                self._recorder.begin(name, "refused")
                self._site.server.refused.add(name)
                self._plan_end(step, self._end_refusal, name)
            case "freeze":
                self._recorder.begin(name, "freeze")
                self._site.signal(instance, signal.SIGSTOP)
                self._plan_end(step, self._thaw, instance, instance.life)
            case "kill":
                self._recorder.begin(name, "kill")
                instance.is_stopping = True
                self._site.signal(instance, signal.SIGKILL)
            case "stop" if not instance.is_stopping:
                self._recorder.begin(name, "stop")
                instance.is_stopping = True
                self._site.signal(instance, signal.SIGTERM)
                grace_s = sites.BOUNDS["graceS"]
                self._stop_limits[name] = self._recorder.now_s() + grace_s

    @staticmethod
    def _is_usable(instances):
        """Return whether enough of some instances run."""
        running = [e for e in instances if e.is_running()]
        return len(running) >= LEAST_RUNNING

    def _end_refusal(self, name):
        """Let the store answer an instance again."""
        self._site.server.refused.discard(name)
        self._recorder.end(name, "refused")

    def _thaw(self, instance, life):
        """Resume a process, if it is still the same."""
        if instance.life == life:
            self._site.signal(instance, signal.SIGCONT)
            self._recorder.end(instance.name, "freeze")

    def _watch_processes(self, now_s):
        """Kill processes that stop too slowly; start those that ended."""
        for each in self._site.instances:
            if each.is_running():
                limit_s = self._stop_limits.get(each.name)
                if limit_s is not None and now_s >= limit_s:
                    del self._stop_limits[each.name]
                    self._report(each, "still running after graceS")
                    self._site.signal(each, signal.SIGKILL)
                continue
            if not each.is_stopping:
                self._report(each, f"exit code {each.process.returncode}")
            self._stop_limits.pop(each.name, None)
            if now_s >= self._restarts.setdefault(
                each.name, now_s + RESTART_DELAY_S
            ):
                del self._restarts[each.name]
                for kind in ("freeze", "kill", "stop"):
                    self._recorder.end(each.name, kind)
                self._site.start(each)

    def _report(self, instance, reason):
        """Record an exit that nobody asked for, or one that came too late."""
        instance.is_stopping = True
        self._recorder.add(
            records.Exited(self._recorder.now_s(), instance.name, reason)
        )
