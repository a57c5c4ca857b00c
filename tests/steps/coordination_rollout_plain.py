import attrs
from behave import given
from behave import then

from mulberryhollow.coordination import rollout

DEADLINE_S = 1000.0
LATE_S = 2000.0
REQUESTS_PER_S = 100.0
ENGINE = rollout.Endpoint("engine:1", 4, ("v1",))


def make_plain(count, version):
    return tuple(
        rollout.Endpoint(f"{version}-{number}", 4, (version,), can_load=False)
        for number in range(count)
    )


@given("{old:d} plain endpoints with the old version and {new:d} with the new")
def make_capacity(context, old, new):
    endpoints = make_plain(old, "v1") + make_plain(new, "v2")
    context.capacity = rollout.Capacity(endpoints)


@given("an engine of the same service with the old version")
def add_engine(context):
    endpoints = (*context.capacity.endpoints, ENGINE)
    context.capacity = attrs.evolve(context.capacity, endpoints=endpoints)


@given("the move of the plain service is {stage}")
def make_move(context, stage):
    context.move = rollout.Move(
        "m-1",
        "production",
        "slots",
        "v1",
        "v2",
        0.0,
        DEADLINE_S,
        rollout.Stage(stage),
        lease_until_s=2 * LATE_S,
    )
    context.plan = rollout.make_plan(
        context.move, context.capacity, REQUESTS_PER_S
    )
    context.orders = rollout.OrderBook()
    context.orders.is_reconciled(
        context.move, context.plan, context.capacity, 0.0
    )


def list_orders(context):
    return context.orders.list_due(
        context.move, context.plan, context.capacity, LATE_S
    )


@then("the new plain endpoints can take a share of {share:f}")
def check_share(context, share):
    assert context.capacity.compute_share("v2") == share


@then("no plain endpoint is given an order")
def check_no_orders(context):
    assert not list_orders(context), list_orders(context)


@then("the move needs no more orders")
def check_reconciled(context):
    is_reconciled = context.orders.is_reconciled(
        context.move, context.plan, context.capacity, LATE_S
    )
    assert is_reconciled or not context.move.stage.is_final


@then("only the engine is given an order")
def check_engine_only(context):
    assert [order.address for order in list_orders(context)] == ["engine:1"]
