"""Nodes in one process that exchange messages on a simulated clock."""

import heapq
import itertools
import random

from mulberryhollow.clock import ManualClock
from mulberryhollow.coordination import membership

START_S = 1_000.0
TICK_S = 0.2
TIMEOUT_S = 1.0


def make_member(number, failure_domain, region, incarnation=1):
    """Return a member with a place of its own."""
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
    """Nodes, the messages between them and what goes wrong."""

    def __init__(self, members, seed=1, far_s=0.05, loss=0.0, doubling=0.0):
        self.clock = ManualClock(START_S)
        self.nodes = {}
        self.frozen = set()
        self.cut = set()
        self.messages = 0
        self._places = {}
        self._random = random.Random(seed)
        self._far_s = far_s
        self._loss = loss
        self._doubling = doubling
        self._events = []
        self._numbers = itertools.count()
        self._held = {}
        for member in members:
            self.start(member, members)

    @property
    def now_s(self):
        """Time of the manual clock, in seconds."""
        return self.clock.now_s()

    def start(self, member, seeds):
        """Start a node, or start it again as a new process."""
        name = member.instance_id
        self._places[name] = member
        self.nodes[name] = membership.PeerNode(
            member, seeds, self.now_s, self.now_s
        )
        phase_s = self._random.random() * membership.ROUND_S
        self._at(phase_s, self._round, name, self.nodes[name])

    def run(self, for_s):
        """Carry out everything that is due within a time."""
        end_s = self.now_s + for_s
        while self._events and self._events[0][0] <= end_s:
            due_s, _, function, arguments = heapq.heappop(self._events)
            self.clock.advance(due_s - self.now_s)
            function(*arguments)
        self.clock.advance(end_s - self.now_s)

    def run_until(self, is_met, limit_s, step_s=0.05):
        """Run until a condition holds; return how long it took, or None."""
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
        """Let a frozen node go on; requests that waited reach it late."""
        self.frozen.discard(name)
        for sender, exchange in self._held.pop(name, ()):
            self._answer(sender, name, exchange)
        self._round(name, self.nodes[name], is_once=True)

    def cut_off(self, failure_domain, other):
        """Stop all messages between two failure domains."""
        self.cut.add(frozenset((failure_domain, other)))

    def heal(self, failure_domain, other):
        """Let messages pass between two failure domains again."""
        self.cut.discard(frozenset((failure_domain, other)))

    def publish(self, name, fact):
        """Let a node publish a fact."""
        self.nodes[name].publish(fact, self.now_s)
        self._flush(name)

    def leave(self, name):
        """Let a node say that it stops, and stop it."""
        self.nodes[name].leave(self.now_s)
        self._carry_out(name, self.nodes[name].send_urgent(self.now_s))
        self.frozen.add(name)

    def knows(self, name, fact):
        """Return whether a node holds a fact or a later one."""
        return self.nodes[name].table.holds(fact.identity)

    def all_know(self, fact, but=()):
        """Return whether all nodes but some hold a fact or a later one."""
        return all(
            self.knows(name, fact) for name in self.nodes if name not in but
        )

    def find_standing(self, name, other):
        """Return how a node holds another one."""
        view = self.nodes[name].membership.find_member(other)
        return view.standing if view else None

    def _at(self, after_s, function, *arguments):
        """Plan an event."""
        due_s = self.now_s + after_s
        event = (due_s, next(self._numbers), function, arguments)
        heapq.heappush(self._events, event)

    def _round(self, name, node, is_once=False):
        """Let a node begin a round."""
        if self.nodes[name] is not node:
            return
        if not is_once:
            self._at(membership.ROUND_S, self._round, name, node)
        if name not in self.frozen:
            self._carry_out(name, node.begin_round(self.now_s, self.now_s))

    def _flush(self, name):
        """Carry out what urgent facts call for."""
        node = self.nodes[name]
        if name not in self.frozen:
            self._carry_out(name, node.flush(self.now_s))
        if node.has_urgent:
            self._at(TICK_S, self._flush, name)

    def _carry_out(self, name, actions):
        """Send what a node asks for."""
        for action in actions:
            match action:
                case membership.SendExchange(target, exchange):
                    self._send(name, target, exchange)
                case membership.AskProbe(helper, target):
                    self._probe(name, action, helper, target)

    def _send(self, name, target, exchange):
        """Send a request, or let it fail."""
        self.messages += 1
        node = self.nodes[name]
        if target in self.frozen:
            self._held.setdefault(target, []).append((name, exchange))
        if not self._reaches(name, target) or self._is_lost():
            self._at(TIMEOUT_S, self._fail, name, node, target)
            return
        delay_s = self._find_delay(name, target)
        self._at(delay_s, self._deliver, name, node, target, exchange)
        if self._random.random() < self._doubling:
            late_s = delay_s + self._random.random() * 3
            self._at(late_s, self._answer, name, target, exchange)

    def _deliver(self, name, node, target, exchange):
        """Let the target answer and send the answer back."""
        reply = self._answer(name, target, exchange)
        if reply is None or self._is_lost():
            self._at(TIMEOUT_S, self._fail, name, node, target)
            return
        delay_s = self._find_delay(name, target)
        self._at(delay_s, self._reply, name, node, target, reply)

    def _answer(self, name, target, exchange):
        """Return the target's answer, or None when it is frozen."""
        if target in self.frozen:
            return None
        reply = self.nodes[target].answer(
            name, exchange, self.now_s, self.now_s
        )
        self.messages += 1
        self._flush(target)
        return reply

    def _reply(self, name, node, target, reply):
        """Hand an answer to the node that asked."""
        if self.nodes[name] is node and name not in self.frozen:
            actions = node.take_reply(target, reply, self.now_s, self.now_s)
            self._carry_out(name, actions)
            self._flush(name)

    def _fail(self, name, node, target):
        """Tell a node that there was no answer."""
        if self.nodes[name] is node and name not in self.frozen:
            self._carry_out(name, node.take_failure(target))

    def _probe(self, name, action, helper, target):
        """Let a helper try to reach a member."""
        is_asked = self._reaches(name, helper)
        answer = self._reaches(helper, target) if is_asked else None
        self._at(TIMEOUT_S, self._probed, name, action, answer)

    def _probed(self, name, action, answer):
        """Tell a node what its helper said."""
        if name not in self.frozen:
            now_s = self.now_s
            self.nodes[name].take_probe(action, answer, now_s, now_s)

    def _reaches(self, name, target):
        """Return whether a message can get from one node to another."""
        ends = frozenset(
            self._places[end].failure_domain for end in (name, target)
        )
        is_up = target in self.nodes and target not in self.frozen
        return is_up and ends not in self.cut

    def _is_lost(self):
        """Return whether the next message is lost."""
        return self._random.random() < self._loss

    def _find_delay(self, name, target):
        """Return the delay of one direction, in seconds."""
        regions = {self._places[end].region for end in (name, target)}
        return self._far_s if len(regions) > 1 else 0.001
