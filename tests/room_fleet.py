"""Callers, deciding instances and queueing endpoints on a simulated clock."""

import collections
import heapq
import itertools
import random
import zlib

import attrs

from mulberryhollow.coordination import room
from mulberryhollow.coordination import work
from mulberryhollow.state.endpoints.room import ServiceRoom

REPORT_INTERVAL_S = 0.5
VIEW_AGE_S = 0.5
WORK_NOISE = 0.3
MIN_RETRY_GOALS = 0.2
MIN_DELEGATING = 16
HOLDERS = 8


@attrs.frozen
class Kind:
    """One route: its rank, share of the load, goal, deadline and work."""

    name: str
    rank: int
    load: float
    goal_s: float
    deadline_s: float
    prompt_s: float
    output_s: float
    memory: float = 0.0


KINDS = (
    Kind("counter", 0, 0.3, 0.519, 3.0, 0.01, 0.15, 700.0),
    Kind("look-up", 1, 0.2, 0.522, 3.0, 0.03, 0.02, 1800.0),
    Kind("consultation", 2, 0.5, 2.545, 12.0, 0.19, 0.21, 12000.0),
)
PLAIN_KINDS = (
    Kind("voucher", 0, 0.7, 0.218, 1.6, 0.045, 0.0),
    Kind("check", 1, 0.3, 0.218, 0.9, 0.045, 0.0),
)


@attrs.define(eq=False)
class Call:
    """One request of a caller, over its sends."""

    number: int
    kind: Kind
    account: str
    arrived_s: float
    size: float
    service_s: float
    sends: int = 0
    first_s: float | None = None
    runs: int = 0
    is_impatient: bool = False

    @property
    def is_in_time(self):
        if self.first_s is None:
            return False
        return self.first_s - self.arrived_s <= self.kind.goal_s

    @property
    def value(self):
        """1 for an answer in time, a tenth for a late one."""
        if self.first_s is None:
            return 0.0
        if self.first_s - self.arrived_s > self.kind.deadline_s:
            return 0.0
        return 1.0 if self.is_in_time else 0.1

    @property
    def work(self):
        """Work that an estimator expects, without the noise."""
        prompt_s = self.kind.prompt_s * self.size
        memory = self.kind.memory * self.size
        total_s = prompt_s + self.kind.output_s
        return work.RequestWork(
            prompt_s, self.kind.output_s, 2 * total_s, memory, 1.2 * memory
        )


class Endpoints:
    """Endpoints with places and bounded queues, in order of arrival."""

    def __init__(self, count, places, queue):
        self.places = places
        self.queue = queue
        self.waiting = [collections.deque() for _ in range(count)]
        self.running = [0] * count
        self.is_leaving = [False] * count

    def count_open(self):
        return self.is_leaving.count(False)

    def count_load(self, index):
        return self.running[index] + len(self.waiting[index])

    def choose(self, rng):
        """Return the less loaded of two endpoints; None when all leave."""
        free = [n for n, left in enumerate(self.is_leaving) if not left]
        if not free:
            return None
        pair = rng.choices(free, k=2)
        return min(pair, key=self.count_load)


class Fleet:
    """Callers that send to instances, which admit by one policy.

    `policy` is "room", or one of the baselines: "today" sends each request
    to an endpoint, which refuses it when its queue is full; "first come" and
    "strict" let requests wait in one queue, in order of arrival or of rank.
    """

    def __init__(
        self,
        policy,
        load,
        seed,
        instances=88,
        kinds=KINDS,
        endpoints=6,
        places=12,
        queue=25,
        bias=1.2,
        accounts=16,
        heavy=1.0,
        impatient=0.0,
        large=0.1,
        knows_others=True,
    ):
        self.policy = policy
        self.load = load
        self.rng = random.Random(seed)
        self.kinds = kinds
        self.bias = bias
        self.impatient = impatient
        self.large = large
        self.knows_others = knows_others
        self.endpoints = Endpoints(endpoints, places, queue)
        self.weights = {f"a{n}": 1.0 for n in range(accounts)}
        self.accounts = accounts
        self.weights["a0"] = heavy
        self.has_holders = knows_others and instances >= MIN_DELEGATING
        count = HOLDERS if self.has_holders else instances
        self.controllers = [room.RoomController(n) for n in range(count)]
        for each in self.controllers:
            each.set_part(room.RoomPart(parts=count))
        self.views = collections.deque([(0.0, 0)])
        self.calls = []
        self.refusals = collections.Counter()
        self.waits_s = []
        self.events = []
        self.numbers = itertools.count()
        self.central = []
        self.wave = lambda now_s: 1.0
        self.now_s = 0.0
        self.silent = set()
        self.sides = 1
        self.used = []

    def schedule(self, at_s, function, *arguments):
        heapq.heappush(
            self.events, (at_s, next(self.numbers), function, arguments)
        )

    def run(self, seconds):
        """Let callers arrive for some seconds, then all work end."""
        self.end_s = seconds
        for kind in self.kinds:
            self.schedule(self.rng.random() * 0.01, self.arrive, kind)
        self.schedule(REPORT_INTERVAL_S, self.report)
        while self.events:
            self.now_s, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        return self

    def count_rate(self, kind):
        """Return the arrivals per second of a kind without a wave."""
        total = len(self.endpoints.running) * self.endpoints.places
        each_s = self.bias * (kind.prompt_s * 1.1 + kind.output_s)
        return self.load * kind.load * total / each_s

    def arrive(self, kind):
        if self.now_s >= self.end_s:
            return
        size = 3.0 if self.rng.random() < self.large else 0.9
        names = list(self.weights)
        weights = list(self.weights.values())
        account = self.rng.choices(names, weights)[0]
        noise = self.rng.lognormvariate(0.0, WORK_NOISE)
        prompt_s = kind.prompt_s * size if kind.memory else kind.prompt_s
        service_s = self.bias * (prompt_s + kind.output_s) * noise
        number = next(self.numbers)
        call = Call(number, kind, account, self.now_s, size, service_s)
        call.is_impatient = self.rng.random() < self.impatient
        self.calls.append(call)
        self.send(call)
        usual = self.count_rate(kind) * sum(weights) / self.accounts
        rate = usual * self.wave(self.now_s)
        self.schedule(
            self.now_s + self.rng.expovariate(rate), self.arrive, kind
        )

    def report(self):
        """Exchange the demand and the use of the endpoints."""
        used = sum(
            self.endpoints.count_load(n)
            for n, left in enumerate(self.endpoints.is_leaving)
            if not left
        )
        self.views.append((self.now_s, used))
        self.used.append((self.now_s, used))
        if self.knows_others and self.policy == "room":
            self.exchange_demand()
        if self.now_s < self.end_s:
            self.schedule(self.now_s + REPORT_INTERVAL_S, self.report)

    def exchange_demand(self):
        """Report the demand to the instances of the same side."""
        demands = {
            n: each.list_demand(self.now_s)
            for n, each in enumerate(self.controllers)
            if n not in self.silent
        }
        for index in demands:
            others = collections.Counter()
            for number, demand in demands.items():
                is_near = self.get_side(number) == self.get_side(index)
                if number != index and is_near:
                    others.update(demand)
            self.schedule(
                self.now_s + self.rng.uniform(0.05, 0.4),
                self.apply_demand,
                self.controllers[index],
                dict(others),
            )

    def apply_demand(self, controller, others):
        controller.set_remote(others, self.now_s)

    def measure_room(self):
        """Return the room with a use that is up to a second old.

        Each side of a partition sees its own requests only.
        """
        while len(self.views) > 1 and self.views[1][0] <= (
            self.now_s - VIEW_AGE_S
        ):
            self.views.popleft()
        at_s, used = self.views[0]
        count = self.endpoints.count_open()
        return ServiceRoom(
            endpoints=count,
            slots=float(count * self.endpoints.places),
            used_slots=used / self.sides,
            speed=0.0,
            age_s=self.now_s - at_s,
            is_work_based=True,
        )

    def send(self, call):
        """Send a request, the first or a further time."""
        call.sends += 1
        if self.policy in ("first come", "strict"):
            rank = call.kind.rank if self.policy == "strict" else 0
            heapq.heappush(self.central, (rank, call.number, call))
            self.pull()
        elif self.policy == "today" or self.is_admitted(call):
            self.place(call)

    def choose_controller(self, call):
        """Return that of the account's holder, or of the caller's instance."""
        if not self.has_holders:
            return self.rng.choice(self.controllers)
        first = zlib.crc32(call.account.encode())
        count = len(self.controllers)
        ranked = [(first + n) % count for n in range(count)]
        return next(
            self.controllers[n]
            for n in ranked
            if n not in self.silent
            and self.get_side(n) == self.get_side(call.number)
        )

    def get_side(self, number):
        """Return the side of a partition on which an instance is."""
        return number % self.sides

    def part(self, sides):
        """Part the holders into sides that do not reach each other."""
        self.sides = sides
        for each in self.controllers:
            each.set_part(room.RoomPart(len(self.controllers), 1.0 / sides))

    def restart(self):
        """Start all deciding instances again, without what they knew."""
        count = len(self.controllers)
        self.controllers = [room.RoomController(n) for n in range(count)]
        self.part(self.sides)

    def is_admitted(self, call):
        controller = self.choose_controller(call)
        elapsed_s = self.now_s - call.arrived_s
        request = room.RoomRequest(
            call.kind.rank,
            call.account,
            call.work,
            call.kind.goal_s - elapsed_s,
            call.kind.deadline_s - elapsed_s,
            str(call.number),
        )
        outcome = controller.decide(request, self.measure_room(), self.now_s)
        match outcome:
            case room.NoRoom(rule, retry_after_s):
                self.refuse(call, rule.value, retry_after_s)
                return False
        return True

    def refuse(self, call, reason, retry_after_s):
        """Let a refused caller return: once, or at once and often."""
        self.refusals[call.kind.name, reason] += 1
        left_s = call.arrived_s + call.kind.deadline_s - self.now_s
        if call.is_impatient:
            if call.sends < 20:
                self.schedule(self.now_s + 0.01, self.send, call)
        elif call.sends < 2 and retry_after_s <= left_s / 3 + 1e-9:
            self.schedule(self.now_s + retry_after_s, self.send, call)

    def place(self, call):
        index = self.endpoints.choose(self.rng)
        if index is None:
            return self.refuse(call, "no endpoint", call.kind.goal_s)
        limit = self.endpoints.places + self.endpoints.queue
        if self.endpoints.count_load(index) >= limit:
            jitter = 1.0 + self.rng.random()
            retry_s = MIN_RETRY_GOALS * call.kind.goal_s * jitter
            return self.refuse(call, "endpoint full", retry_s)
        self.endpoints.waiting[index].append(call)
        self.start(index)

    def start(self, index):
        """Start the requests that wait at an endpoint with a free place."""
        waiting = self.endpoints.waiting[index]
        while waiting and self.endpoints.running[index] < (
            self.endpoints.places
        ):
            call = waiting.popleft()
            left_s = call.arrived_s + call.kind.deadline_s - self.now_s
            if left_s > 0:
                self.run_call(index, call)

    def run_call(self, index, call):
        self.endpoints.running[index] += 1
        call.runs += 1
        whole_s = call.kind.prompt_s * call.size + call.kind.output_s
        prompt_s = call.kind.prompt_s * call.size / whole_s * call.service_s
        call.first_s = self.now_s + prompt_s
        self.schedule(self.now_s + call.service_s, self.finish, index)

    def finish(self, index):
        self.endpoints.running[index] -= 1
        self.start(index)
        self.pull()

    def pull(self):
        """Start requests of the central queue at free places."""
        while self.central:
            free = [
                n
                for n, used in enumerate(self.endpoints.running)
                if used < self.endpoints.places
                and not self.endpoints.is_leaving[n]
            ]
            if not free:
                return
            call = heapq.heappop(self.central)[2]
            if call.arrived_s + call.kind.deadline_s > self.now_s:
                self.run_call(free[0], call)

    def reclaim(self, count):
        """Let some endpoints accept no new work; what waits there is lost."""
        for index in range(count):
            self.endpoints.is_leaving[index] = True

    def restore(self):
        self.endpoints.is_leaving = [False] * len(self.endpoints.running)

    def measure(self, select=lambda call: True, after_s=2.0):
        """Return the fraction of selected calls that began in time."""
        calls = [c for c in self.calls if c.arrived_s > after_s and select(c)]
        return sum(c.is_in_time for c in calls) / max(1, len(calls))

    def sum_value(self, after_s=2.0):
        return sum(c.value for c in self.calls if c.arrived_s > after_s)
