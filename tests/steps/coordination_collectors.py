import types

from behave import given
from behave import then
from behave import when

from mulberryhollow.coordination import sharing


def make_members(count, domains):
    return [
        types.SimpleNamespace(
            instance_id=f"i{number}", failure_domain=f"d{number % domains}"
        )
        for number in range(count)
    ]


def choose_all(members, live):
    """Return the Collectors as seen by each of some members."""
    return {
        each.instance_id: sharing.choose_collectors(
            each, tuple(other for other in members if other is not each), live
        )
        for each in members
    }


def list_acting(views):
    return {name for name, collectors in views.items() if collectors.is_local}


@given("{count:d} instances spread over {domains:d} failure domains")
def spread_instances(context, count, domains):
    context.members = make_members(count, domains)
    context.views = choose_all(context.members, count)


@given("{count:d} instances of which 1 is alone in its failure domain")
def make_lone_instance(context, count):
    context.members = make_members(count, 1)
    context.members[0].failure_domain = "lone"
    context.views = choose_all(context.members, count)


@when("the acting instances of one domain are gone")
def remove_acting(context):
    acting = list_acting(context.views)
    context.gone = {
        each.instance_id
        for each in context.members
        if each.failure_domain == "d0" and each.instance_id in acting
    }
    live = len(context.members)
    context.members = [
        each
        for each in context.members
        if each.instance_id not in context.gone
    ]
    context.views = choose_all(context.members, live)


@when("{count:d} of them are cut off from the others")
def cut_instances(context, count):
    live = len(context.members)
    sides = context.members[:count], context.members[count:]
    context.sides = [choose_all(side, live) for side in sides]


@then("{count:d} instances act in total")
def check_acting_count(context, count):
    acting = list_acting(context.views)
    assert len(acting) == count, acting


@then("every instance names the same ones")
def check_same_acting(context):
    acting = list_acting(context.views)
    for name, collectors in context.views.items():
        named = set(collectors.others) | ({name} & acting)
        assert named == acting, (name, named)


@then("none of those that are gone acts")
def check_none_gone(context):
    assert not list_acting(context.views) & context.gone


@then("the acting instances of both sides have one limit in total")
def check_parts(context):
    total = sum(
        1 / collectors.parts
        for views in context.sides
        for collectors in views.values()
        if collectors.is_local
    )
    assert abs(total - 1.0) < 1e-9, total
