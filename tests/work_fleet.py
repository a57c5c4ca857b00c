"""Small fleet on a paused clock: dispatchers, endpoints and aggregates."""

import collections
import heapq
import itertools
import random

import attrs

from mulberryhollow.coordination import routing
from mulberryhollow.coordination import sharing
from mulberryhollow.protocol import forwarding
from mulberryhollow.serving import aggregate_peering
from mulberryhollow.serving import attempts
from mulberryhollow.serving import dispatcher
from mulberryhollow.state import endpoints

SERVICE = "work"
ROUND_S = 0.5
TRAVEL_S = 0.001


@attrs.frozen
class Kind:
    """One kind of request; times in seconds at an endpoint of speed 1."""

    route: str
    per_s: float
    goal_s: float
    tokens: int = 0
    events: int = 0


@attrs.frozen
class Plan:
    """What a fleet consists of and what is asked of it."""

    kinds: tuple
    speeds: tuple
    slots: int
    instances: int = 8
    holders: int = 0
    policy: str = "work"
    seed: int = 1
    seconds: float = 25.0
    warm_s: float = 10.0
    plain_s: float = 0.0
    step_s: float = 0.00289
    step_each_s: float = 0.0001
    token_s: float = 1 / 55_000
    noise: float = 0.0
    accounts: int = 16
    incidents: tuple = ()


class Clock:
    """Clock of one instance, which is off by a constant."""

    def __init__(self, fleet, offset_s):
        self._fleet = fleet
        self._offset_s = offset_s

    def now_s(self):
        return self._fleet.now_s + self._offset_s

    wall_s = now_s


class Reference:
    """Actor reference that processes each message at once."""

    def __init__(self, actor):
        self.ask = self.tell = actor.on_receive


class Engine:
    """An endpoint: slots, a queue, prompts one after another, a batch."""

    def __init__(self, fleet, name, speed):
        self._fleet = fleet
        self.name = name
        self.speed = speed
        self.running = 0
        self.queue = collections.deque()
        self._prompt_end_s = 0.0

    def submit(self, call):
        self.queue.append(call)
        self._start_next()

    def measure_load(self):
        plan = self._fleet.plan
        work_time = max(0.1, self._fleet.rng.gauss(1.0, plan.noise))
        return self.running, len(self.queue), plan.slots, work_time

    def _start_next(self):
        plan, now_s = self._fleet.plan, self._fleet.now_s
        while self.queue and self.running < plan.slots:
            call = self.queue.popleft()
            self.running += 1
            if plan.plain_s:
                first_s = end_s = now_s + plan.plain_s / self.speed
                call.cost_s = plan.plain_s / self.speed
            else:
                prompt_s = plan.token_s * call.kind.tokens / self.speed
                first_s = max(now_s, self._prompt_end_s) + prompt_s
                self._prompt_end_s = first_s
                step_s = plan.step_s + plan.step_each_s * self.running
                call.gap_s = step_s / self.speed
                end_s = first_s + call.events * call.gap_s
                call.cost_s = prompt_s + call.events * call.gap_s
            self._fleet.at(first_s + TRAVEL_S, call.begin)
            self._fleet.at(end_s, self._end, call)

    def _end(self, call):
        self.running -= 1
        self._start_next()
        self._fleet.at(self._fleet.now_s + TRAVEL_S, call.end)


@attrs.define(eq=False)
class Call:
    """One request on its way through an instance."""

    fleet: object
    instance: object
    kind: Kind
    route: object
    asked_s: float
    events: int = 0
    gap_s: float = 0.0
    first_s: float = 0.0
    cost_s: float = 0.0
    load: tuple = ()

    def begin(self):
        fleet = self.fleet
        self.first_s = fleet.now_s - self.asked_s
        fleet.begun_at[self.route.endpoint_id][int(fleet.now_s)] += 1
        engine = fleet.engines[self.route.endpoint_id]
        self.load = engine.measure_load()
        self.instance.report(self.route, self.load)

    def end(self):
        fleet = self.fleet
        self.instance.finish(self)
        if fleet.now_s >= fleet.plan.warm_s:
            fleet.served += 1
            fleet.late += self.first_s > self.kind.goal_s
            chosen = self.route.chosen
            if chosen.hold_s:
                expected_s = chosen.hold_s - chosen.wait_s
                fleet.errors.append(abs(expected_s / self.cost_s - 1.0))


class Instance:
    """One instance with its own dispatcher, estimates and clock."""

    def __init__(self, fleet, number):
        plan = fleet.plan
        rng = random.Random(f"{plan.seed} {number}")
        self._fleet = fleet
        self.name = f"i{number}"
        self.clock = Clock(fleet, rng.uniform(0.0, 1000.0))
        self.actor = dispatcher.DispatchActor(
            self.clock, f"{plan.seed} {number}"
        )
        self.dispatcher = dispatcher.Dispatcher(
            Reference(self.actor), self.clock
        )
        self.actor.shares.set_endpoint_counts({SERVICE: {"v1": 1}})
        match plan.policy:
            case "least outstanding":
                self.actor._endpoint_work.router = routing.LeastOutstanding(
                    rng
                )
            case "power of two":
                self.actor._endpoint_work.router = routing.PowerOfTwo(rng)
        self.actor._endpoint_work.router.rules = routing.RoutingRules(
            compute_s_per_token=plan.token_s
        )
        self.dispatcher.on_long_prompt = self._tell_prompt
        self.actor.view.apply_list(fleet.items, self.clock.now_s())
        self.is_up = True
        fleet.at(rng.uniform(0.0, ROUND_S), self._tick)

    def choose(self, request, holder):
        """Return the route of a request that a holder may place."""
        if holder is not None and holder is not self:
            placed = holder.dispatcher.place(request)
            request = attrs.evolve(
                request, preferred=placed.chosen.endpoint_id
            )
        return self.dispatcher.choose_endpoint(request)

    def _tell_prompt(self, chosen):
        """Tell the acting instances of a long prompt, as facts do."""
        fleet = self._fleet
        for other in fleet.holders or fleet.instances:
            if other is not self:
                fleet.at(
                    fleet.now_s + 2 * TRAVEL_S,
                    other.add_prompt,
                    chosen.endpoint_id,
                    chosen.compute_s,
                )

    def add_prompt(self, endpoint_id, compute_s):
        """Count a prompt that another instance has sent or placed."""
        self.actor.view.add_peer_prompt(
            endpoint_id, compute_s, self.clock.now_s()
        )

    def report(self, route, load):
        """Apply a load report, which today's placement drops."""
        if self._fleet.plan.policy != "today":
            work_time = load[3] if self._fleet.plan.policy == "work" else None
            self.actor.view.report_load(
                route.endpoint_id,
                *load[:3],
                0.0,
                self.clock.now_s(),
                work_time,
            )

    def finish(self, call):
        """Release a request that has ended, and report its times."""
        total_s = self._fleet.now_s - call.asked_s
        times = attempts.AnswerTimes(
            call.first_s,
            total_s,
            call.gap_s,
            call.events,
            forwarding.Load(*call.load),
        )
        self.dispatcher.report_served(call.route, times)
        self.dispatcher.finish(call.route)

    def _tick(self):
        """Exchange the aggregates."""
        if not self.is_up:
            return
        fleet, now_s = self._fleet, self.clock.now_s()
        local = aggregate_peering._read_local(1, self.actor, now_s)
        fleet.reported[self.name] = sharing.Total(local, 1)
        if fleet.has_reports and self.name in fleet.published:
            total, own = fleet.published_total, fleet.published[self.name]
            remote = sharing.Total(total.amounts.minus(own.amounts), 1)
            age_s = fleet.now_s - fleet.published_s + 0.25
            aggregate_peering._apply_remote(remote, age_s, self.actor, now_s)
        fleet.at(fleet.now_s + ROUND_S, self._tick)


class Fleet:
    """All instances and endpoints of a plan, run by one event queue."""

    def __init__(self, plan):
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.now_s = 0.0
        self._events = []
        self._count = itertools.count()
        self.served = self.late = 0
        self.begun_at = collections.defaultdict(collections.Counter)
        self.errors = []
        self.has_reports = True
        self.reported, self.published, self.published_s = {}, {}, 0.0
        self.items = [
            endpoints.Endpoint(
                f"e{number}",
                "endpoint",
                f"127.0.0.1:{number}",
                f"d{number % 4}",
                SERVICE,
                "v1",
                slots=plan.slots,
            )
            for number in range(len(plan.speeds))
        ]
        self.engines = {
            item.id: Engine(self, item.id, speed)
            for item, speed in zip(self.items, plan.speeds, strict=True)
        }
        self.instances = [
            Instance(self, number) for number in range(plan.instances)
        ]
        self.holders = self.instances[: plan.holders]
        self.at(ROUND_S, self._publish)
        for at_s, incident in plan.incidents:
            self.at(at_s, incident, self)
        for kind in plan.kinds:
            self.at(self.rng.expovariate(kind.per_s), self._ask, kind)

    def at(self, at_s, function, *arguments):
        """Run a function at a time."""
        entry = at_s, next(self._count), function, arguments
        heapq.heappush(self._events, entry)

    def run(self):
        """Run the plan to its end; return this fleet."""
        while self._events and self._events[0][0] < self.plan.seconds:
            self.now_s, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        return self

    def stop(self, instance):
        """Let an instance fail: its requests are lost, and its reports end."""
        instance.is_up = False
        self.reported.pop(instance.name, None)

    @property
    def late_fraction(self):
        """Fraction of the requests that began after their goal."""
        waiting = sum(len(each.queue) for each in self.engines.values())
        return (self.late + waiting) / max(1, self.served + waiting)

    def _publish(self):
        """Publish the total of the reports, as a collector does."""
        self.published = dict(self.reported)
        self.published_total = sharing.Total.of(self.published.values())
        self.published_s = self.now_s
        self.at(self.now_s + ROUND_S, self._publish)

    def _ask(self, kind):
        """Let a request of a kind arrive at some instance."""
        rng, number = self.rng, next(self._count)
        self.at(self.now_s + rng.expovariate(kind.per_s), self._ask, kind)
        instance = rng.choice([each for each in self.instances if each.is_up])
        holders = [each for each in self.holders if each.is_up]
        account = rng.randrange(self.plan.accounts)
        holder = holders[account % len(holders)] if holders else None
        now_s = instance.clock.now_s()
        request = routing.RouteRequest(
            f"r{number}",
            SERVICE,
            {},
            request_class=kind.route,
            deadline_s=now_s + kind.goal_s,
            chain=routing.PromptChain(tokens=kind.tokens),
            account=f"a{account}",
        )
        if holder is not None and holder is not instance:
            request = attrs.evolve(
                request, deadline_s=holder.clock.now_s() + kind.goal_s
            )
        route = instance.choose(request, holder)
        events = round(kind.events * rng.uniform(0.8, 1.2))
        call = Call(self, instance, kind, route, self.now_s, events)
        engine = self.engines[route.endpoint_id]
        self.at(self.now_s + TRAVEL_S, engine.submit, call)
