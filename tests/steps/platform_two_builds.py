from behave import given
from behave import then
from behave import when

from tests import mixed_site
from tools import platform_site

LEVEL_TIMEOUT_S = 30.0


@given("{count:d} instances of the {build} build")
def start_fleet(context, count, build):
    context.mixed = mixed_site.MixedSite(count)
    context.add_cleanup(context.mixed.close)
    context.mixed.start(context.mixed.instances, build)


@then("each instance answers {count:d} requests")
def check_answers(context, count):
    site = context.mixed
    found = [site.call(each) for _ in range(count) for each in site.instances]
    assert found == [200] * len(found), found


@when("half of them are replaced by the {build} build, the first by a kill")
def replace_half(context, build):
    site = context.mixed
    half = site.instances[: len(site.instances) // 2]
    site.stop(half[:1], is_killed=True)
    site.start(half[:1], build)
    replace(context, half[1:], build)


@when("the rest are replaced by the {build} build")
def replace_rest(context, build):
    instances = context.mixed.instances
    replace(context, instances[len(instances) // 2 :], build)


def replace(context, instances, build):
    """Replace some instances, while the others answer requests."""
    site = context.mixed
    others = [each for each in site.instances if each not in instances]
    site.stop(instances)
    found = [site.call(each) for each in others]
    assert found == [200] * len(found), found
    site.start(instances, build)


@when("an instance of each build is killed and started again")
def kill_both(context):
    site = context.mixed
    for each in (site.instances[2], site.instances[-3]):
        site.stop([each], is_killed=True)
        site.start([each], each.build)


@then("the instances of the new build agree on level {level:d}")
def check_level(context, level):
    builds = {"new": [], "old": []}
    for each in context.mixed.instances:
        builds[each.build].append(each)
    assert not any(each.get_level() for each in builds["old"])
    platform_site.wait_until(
        lambda: {each.get_level() for each in builds["new"]} <= {level},
        LEVEL_TIMEOUT_S,
    )


@then("no instance has rejected a message of another as malformed")
def check_rejected(context):
    rejected = context.mixed.list_rejected()
    assert not rejected, rejected[:3]
