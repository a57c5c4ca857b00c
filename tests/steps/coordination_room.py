import itertools
import random

import attrs
from behave import given
from behave import then
from behave import when

from mulberryhollow.coordination import room
from mulberryhollow.coordination import work
from mulberryhollow.state.endpoints.room import ServiceRoom

TOLERANCE = 1e-3


def parse_demand(text):
    """Return a dict from (rank, account) to a number."""
    entries = (each.split() for each in text.split(","))
    return {(int(rank), name): float(n) for rank, name, n in entries}


@given('the room demand "{text}"')
def set_demand(context, text):
    context.demand = parse_demand(text)


@when("a room of {places:d} places is divided")
def divide(context, places):
    context.shares = room.divide_room(context.demand, places)


@then("every room share is 1")
def check_all(context):
    assert set(context.shares.values()) == {1.0}, context.shares


@then('the room shares are "{text}"')
def check_shares(context, text):
    for key, share in parse_demand(text).items():
        assert abs(context.shares[key] - share) < TOLERANCE, context.shares


@then("every room share is at least {lowest:f}")
def check_floors(context, lowest):
    assert min(context.shares.values()) >= lowest, context.shares


@then("no more than {places:d} places are granted")
def check_total(context, places):
    assert count_granted(context.demand, context.shares) <= places + TOLERANCE


def count_granted(demand, shares):
    return sum(demand[key] * shares[key] for key in demand)


@when("random room demand with seed {seed:d} is divided")
def divide_random(context, seed):
    rng = random.Random(seed)
    context.divided = []
    for _ in range(300):
        demand = {
            (rank, f"a{n}"): rng.expovariate(0.1)
            for rank, n in itertools.product(range(4), range(8))
            if rng.random() < 0.7
        }
        places = rng.uniform(1.0, 400.0)
        shares = room.divide_room(demand, places)
        context.divided.append((demand, places, shares))


@then("the shares of whole ranks fall, and the room is used and not exceeded")
def check_random(context):
    for demand, places, shares in context.divided:
        granted = count_granted(demand, shares)
        needed = min(places, sum(demand.values()))
        assert 0.9 * needed <= granted <= needed + TOLERANCE, (granted, needed)
        ranks = sorted({rank for rank, _ in demand})
        served = [
            sum(demand[k] * shares[k] for k in demand if k[0] == rank)
            / sum(demand[k] for k in demand if k[0] == rank)
            for rank in ranks
        ]
        for first, second in itertools.pairwise(served):
            assert second <= first + TOLERANCE, served


def make_request(rank=2, name="", **fields):
    values = {
        "rank": rank,
        "account": "a",
        "work": work.RequestWork(0.1, 0.1),
        "goal_left_s": 4.0,
        "deadline_left_s": 12.0,
        "fingerprint": name,
    }
    return room.RoomRequest(**values | fields)


@given("a room controller at use {use:g} of {places:d} places")
def make_controller(context, use, places):
    context.controller = room.RoomController(seed=1)
    context.now_s = 0.0
    context.room = ServiceRoom(
        endpoints=10,
        slots=float(places),
        used_slots=use * places,
        is_work_based=True,
    )


@given("rooms were granted to requests of 1 second")
def grant_some(context):
    request = make_request(work=work.RequestWork(0.5, 0.5))
    free = ServiceRoom(endpoints=10, slots=1e3)
    context.controller.decide(request, free, context.now_s)
    context.now_s += 2.0


@given("{places:d} places of demand at other instances")
def add_demand(context, places):
    context.others = {(2, "a"): float(places)}
    context.controller.set_remote(context.others, context.now_s)


@given("{percent:d} percent of {tokens:d} memory tokens are used")
def use_memory(context, percent, tokens):
    used = tokens * percent / 100
    context.room = ServiceRoom(
        endpoints=10,
        slots=context.room.slots,
        used_slots=context.room.used_slots,
        memory_tokens=float(tokens),
        used_memory_tokens=used,
    )


@given("the controller reaches half of the instances")
def cut(context):
    context.controller.set_part(room.RoomPart(2.0, 0.5))


def decide(context, request):
    context.outcome = context.controller.decide(
        request, context.room, context.now_s
    )
    return context.outcome


@when("{count:d} requests of rank 2 ask for room within {seconds:d} seconds")
def ask_often(context, count, seconds):
    context.outcomes = []
    for number in range(count):
        context.now_s += seconds / count
        if hasattr(context, "others"):
            context.controller.set_remote(context.others, context.now_s)
        context.outcomes.append(
            decide(context, make_request(name=str(number)))
        )


@then('all of them are granted as "{rule}"')
def check_granted(context, rule):
    found = {(type(each), each.rule.value) for each in context.outcomes}
    assert found == {(room.Granted, rule)}, found


@then("{lowest:d} to {highest:d} percent of them are granted")
def check_fraction(context, lowest, highest):
    granted = sum(isinstance(each, room.Granted) for each in context.outcomes)
    percent = 100 * granted / len(context.outcomes)
    assert lowest <= percent <= highest, percent


@when("a request with {seconds:g} seconds to its deadline asks for room")
def ask_before_deadline(context, seconds):
    decide(context, make_request(goal_left_s=1.0, deadline_left_s=seconds))


@when("a request with {seconds:g} seconds to its goal asks for room")
def ask_before_goal(context, seconds):
    decide(context, make_request(rank=0, goal_left_s=seconds))


@when("a request of {tokens:d} memory tokens asks for room")
def ask_memory(context, tokens):
    expected = work.RequestWork(0.1, 0.1, 0.4, tokens * 0.8, float(tokens))
    decide(context, make_request(work=expected))


@then('it is refused as "{rule}" with a retry time of {seconds:g} s at most')
def check_refused(context, rule, seconds):
    assert isinstance(context.outcome, room.NoRoom), context.outcome
    assert context.outcome.rule.value == rule, context.outcome
    assert 0 < context.outcome.retry_after_s <= seconds + TOLERANCE


@then('its room decision is "{text}"')
def check_decision(context, text):
    is_granted = isinstance(context.outcome, room.Granted)
    verb = "granted" if is_granted else "refused"
    found = f"{verb} as {context.outcome.rule.value}"
    assert found == text, context.outcome


@when('requests of rank 2 ask for room until one is refused as "{rule}"')
def ask_until_refused(context, rule):
    for number in range(100):
        context.request = make_request(name=f"r{number}")
        if isinstance(decide(context, context.request), room.NoRoom):
            break
        context.now_s += 0.01
    assert context.outcome.rule.value == rule, context.outcome
    context.return_at_s = context.now_s + context.outcome.retry_after_s


@then('it is refused as "{rule}" {count:d} times when it returns at once')
def return_at_once(context, rule, count):
    for _ in range(count):
        context.now_s += 0.001
        outcome = decide(context, context.request)
        assert isinstance(outcome, room.NoRoom), outcome
        assert outcome.rule.value == rule, outcome
        returns_at_s = context.now_s + outcome.retry_after_s
        assert returns_at_s >= context.return_at_s - TOLERANCE, outcome


@then('it is granted as "{rule}" after its retry time')
def return_on_time(context, rule):
    context.now_s = context.return_at_s
    outcome = decide(context, context.request)
    assert isinstance(outcome, room.Granted), outcome
    assert outcome.rule.value == rule, outcome


@then("the controller remembers at most {count:d} refused callers")
def check_bounded(context, count):
    refused = sum(isinstance(each, room.NoRoom) for each in context.outcomes)
    assert refused > count, refused
    assert context.controller.count_remembered() <= count


@given("{count:d} endpoints of average speed")
def set_speed(context, count):
    context.room = attrs.evolve(context.room, speed=float(count))


@when(
    "{count:d} requests with prompts of {prompt_s:g} s ask for room within "
    "{seconds:d} seconds"
)
def ask_for_speed(context, count, prompt_s, seconds):
    context.outcomes = []
    expected = work.RequestWork(prompt_s, 0.2, 1.0, 12000.0, 13000.0)
    for number in range(count):
        context.now_s += seconds / count
        request = make_request(name=str(number), work=expected)
        context.outcomes.append(decide(context, request))


@then("{lowest:d} to {highest:d} percent of the last {count:d} are granted")
def check_last(context, lowest, highest, count):
    context.outcomes = context.outcomes[-count:]
    check_fraction(context, lowest, highest)


@given("it decides as one of {count:d} instances")
def set_parts(context, count):
    context.controller.set_part(room.RoomPart(float(count)))


@when(
    "{count:d} requests of rank 2 and {work_s:d} s of work ask for room, one "
    "in {seconds:d} seconds"
)
def ask_seldom(context, count, work_s, seconds):
    expected = work.RequestWork(work_s / 2, work_s / 2)
    context.outcomes = []
    for number in range(count):
        request = make_request(name=str(number), work=expected)
        context.outcomes.append(decide(context, request))
        context.now_s += seconds
