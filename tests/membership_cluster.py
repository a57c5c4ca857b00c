"""Simulated cluster: gossip nodes in one process under a manual clock."""

import heapq
import itertools
import random

from mulberryhollow.clock import ManualClock
from mulberryhollow.coordination import membership

START_S = 1_000.0
TICK_S = 0.2
TIMEOUT_S = 1.0


def make_member(number, failure_domain, region, incarnation=1):
    """Return a member with its own instance id and addresses."""
    return membership.Member(
        f"i-{number:04d}",
        incarnation,
        f"10.0.0.1:{7000 + number}",
        f"10.0.0.1:{17000 + number}",
        failure_domain,
        region,
        START_S,
    )


def make_members(count, domains, regions=1):
    """Return members spread evenly over failure domains and regions."""
    return [
        make_member(
            number,
            f"fd-{number % domains:02d}",
            f"r-{number % domains % regions}",
        )
        for number in range(count)
    ]


class Cluster:
    """Nodes, the messages between them and injected faults."""

    def __init__(self, members, seed=1, far_s=0.05, loss=0.0, duplication=0.0):
        self.clock = ManualClock(START_S)
        self.nodes = {}
        self.frozen = set()
        self.partitions = set()
        self.messages = 0
        self._members = {}
        self._random = random.Random(seed)
        self._far_s = far_s
        self._loss = loss
        self._duplication = duplication
        self._events = []
        self._numbers = itertools.count()
        self._held_requests = {}
        for member in members:
            self.start(member, members)

    @property
    def now_s(self):
        """Time of the manual clock, in seconds."""
        return self.clock.now_s()

    def start(self, member, seeds):
        """Start a node, or start it again as a new process."""
        name = member.instance_id
        self._members[name] = member
        self.nodes[name] = membership.PeerNode(
            member, seeds, self.now_s, self.now_s
        )
        phase_s = self._random.random() * membership.ROUND_S
        self._schedule(phase_s, self._round, name, self.nodes[name])

    def run(self, for_s):
        """Advance the clock and process all events that become due."""
        end_s = self.now_s + for_s
        while self._events and self._events[0][0] <= end_s:
            due_s, _, function, arguments = heapq.heappop(self._events)
            self.clock.advance(due_s - self.now_s)
            function(*arguments)
        self.clock.advance(end_s - self.now_s)

    def run_until(self, is_met, limit_s, step_s=0.05):
        """Run until a condition holds; return the time it took, or None."""
        start_s = self.now_s
        while self.now_s - start_s <= limit_s:
            if is_met():
                return self.now_s - start_s
            self.run(step_s)
        return None

    def freeze(self, name):
        """Stop a node without closing its sockets."""
        self.frozen.add(name)

    def thaw(self, name):
        """Resume a frozen node; requests held meanwhile reach it late."""
        self.frozen.discard(name)
        for sender, exchange in self._held_requests.pop(name, ()):
            self._answer(sender, name, exchange)
        self._round(name, self.nodes[name], is_once=True)

    def partition(self, failure_domain, other):
        """Drop all messages between two failure domains."""
        self.partitions.add(frozenset((failure_domain, other)))

    def heal(self, failure_domain, other):
        """Deliver messages between two failure domains again."""
        self.partitions.discard(frozenset((failure_domain, other)))

    def publish(self, name, fact):
        """Publish a fact on a node."""
        self.nodes[name].publish(fact, self.now_s)
        self._flush(name)

    def leave(self, name):
        """Let a node announce that it leaves, and stop it."""
        self.nodes[name].leave(self.now_s)
        self._execute(name, self.nodes[name].send_urgent(self.now_s))
        self.frozen.add(name)

    def knows(self, name, fact):
        """Return whether a node has a fact or a later version of it."""
        return self.nodes[name].table.holds(fact.identity)

    def all_know(self, fact, but=()):
        """Return whether all nodes, ``but`` excepted, know a fact."""
        return all(
            self.knows(name, fact) for name in self.nodes if name not in but
        )

    def find_status(self, name, other):
        """Return the status of another member in a node's view."""
        view = self.nodes[name].membership.find_member(other)
        return view.status if view else None

    def _schedule(self, after_s, function, *arguments):
        """Schedule a call after a delay."""
        due_s = self.now_s + after_s
        event = (due_s, next(self._numbers), function, arguments)
        heapq.heappush(self._events, event)

    def _round(self, name, node, is_once=False):
        """Begin a round of a node and schedule the next one."""
        if self.nodes[name] is not node:
            return
        if not is_once:
            self._schedule(membership.ROUND_S, self._round, name, node)
        if name not in self.frozen:
            self._execute(name, node.begin_round(self.now_s, self.now_s))

    def _flush(self, name):
        """Send a node's urgent messages that are due."""
        node = self.nodes[name]
        if name not in self.frozen:
            self._execute(name, node.flush(self.now_s))
        if node.has_urgent:
            self._schedule(TICK_S, self._flush, name)

    def _execute(self, name, actions):
        """Execute the actions that a node returned."""
        for action in actions:
            match action:
                case membership.SendExchange(target, exchange):
                    self._send(name, target, exchange)
                case membership.AskProbe(helper, target):
                    self._probe(name, action, helper, target)

    def _send(self, name, target, exchange):
        """Send a request, which may be lost or duplicated."""
        self.messages += 1
        node = self.nodes[name]
        if target in self.frozen:
            self._held_requests.setdefault(target, []).append((name, exchange))
        if not self._reaches(name, target) or self._is_lost():
            self._schedule(TIMEOUT_S, self._fail, name, node, target)
            return
        delay_s = self._find_delay(name, target)
        self._schedule(delay_s, self._deliver, name, node, target, exchange)
        if self._random.random() < self._duplication:
            late_s = delay_s + self._random.random() * 3
            self._schedule(late_s, self._answer, name, target, exchange)

    def _deliver(self, name, node, target, exchange):
        """Let the target handle a request and send back its reply."""
        reply = self._answer(name, target, exchange)
        if reply is None or self._is_lost():
            self._schedule(TIMEOUT_S, self._fail, name, node, target)
            return
        delay_s = self._find_delay(name, target)
        self._schedule(delay_s, self._reply, name, node, target, reply)

    def _answer(self, name, target, exchange):
        """Return the target's reply, or None when the target is frozen."""
        if target in self.frozen:
            return None
        reply = self.nodes[target].answer(
            name, exchange, self.now_s, self.now_s
        )
        self.messages += 1
        self._flush(target)
        return reply

    def _reply(self, name, node, target, reply):
        """Deliver a reply to the node that sent the request."""
        if self.nodes[name] is node and name not in self.frozen:
            actions = node.handle_reply(target, reply, self.now_s, self.now_s)
            self._execute(name, actions)
            self._flush(name)

    def _fail(self, name, node, target):
        """Report to a node that a request failed."""
        if self.nodes[name] is node and name not in self.frozen:
            self._execute(name, node.handle_failure(target))

    def _probe(self, name, action, helper, target):
        """Let a helper probe a member."""
        is_helper_reached = self._reaches(name, helper)
        answer = self._reaches(helper, target) if is_helper_reached else None
        self._schedule(
            TIMEOUT_S, self._deliver_probe_result, name, action, answer
        )

    def _deliver_probe_result(self, name, action, answer):
        """Report a helper's probe result to a node."""
        if name not in self.frozen:
            now_s = self.now_s
            self.nodes[name].handle_probe_result(action, answer, now_s, now_s)

    def _reaches(self, name, target):
        """Return whether a message from one node reaches another."""
        ends = frozenset(
            self._members[end].failure_domain for end in (name, target)
        )
        is_up = target in self.nodes and target not in self.frozen
        return is_up and ends not in self.partitions

    def _is_lost(self):
        """Return whether the next message is lost."""
        return self._random.random() < self._loss

    def _find_delay(self, name, target):
        """Return the one-way delay between two nodes, in seconds."""
        regions = {self._members[end].region for end in (name, target)}
        return self._far_s if len(regions) > 1 else 0.001
