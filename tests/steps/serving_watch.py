from behave import given
from behave import then
from behave import when

from mulberryhollow.state import change_bounds
from mulberryhollow.state import object_log
from mulberryhollow.state import objects
from tests import cut_instance


@given(
    "an instance in touch {contact_s:g} s after a cut and bound in "
    "{drain_s:g} s"
)
def set_bounds(context, contact_s, drain_s):
    context.bounds = change_bounds.ChangeBounds(contact_s, drain_s, drain_s)


@when("a cut of {length_s:g} s ends and e1 is {state}, in {phases:d} phases")
def run_cuts(context, length_s, state, phases):
    context.used_s = max(
        cut_instance.measure_uses_after_cut(
            context.bounds, length_s, state, phases
        )
    )


@then("e1 is out of use {margin_s:g} s before the instance counts as in touch")
def check_out_of_use(context, margin_s):
    # A request that is under way by then reaches the endpoint in time.
    limit_s = context.bounds.contact_s - margin_s
    assert context.used_s <= limit_s, (context.used_s, limit_s)


@when("a peer that was cut off for {length_s:g} s tells that e1 is removed")
def tell_of_outage(context, length_s):
    """Tell of a removal that was confirmed just after the last answer."""
    removed = cut_instance.make_entry("e1", 2, is_deleted=True)
    changes = object_log.ObjectChanges(1, 2, (removed,), False)
    context.used_s = max(
        measure_use_when_told(context.bounds, length_s, changes, phase / 20)
        for phase in range(5)
    )


@when("it knows {later_s:g} s after the last answer of a restore without e1")
def tell_of_restore(context, later_s):
    revision = objects.make_version(2, 1)
    left = cut_instance.make_entry("e2", revision)
    changes = object_log.ObjectChanges(1, revision, (left,), True)
    context.used_s = max(
        measure_use_when_told(context.bounds, later_s, changes, phase / 20)
        for phase in range(5)
    )


def measure_use_when_told(bounds, later_s, changes, phase_s):
    """Return how long e1 is used after the last answer of the store.

    Parameters
    ----------
    bounds : ChangeBounds
        Bounds in force.
    later_s : float
        Time from that answer until a peer tells of changes, in seconds.
    changes : ObjectChanges
        The changes.
    phase_s : float
        Phase of the loop that drops expired entries, in seconds.
    """
    no_cut = cut_instance.Cut(1e6, 1e6)
    site = cut_instance.Site(bounds, no_cut, phase_s)
    site.follower.read()
    answered_s = site.clock.now_s()
    site.advance(later_s)
    now_s = site.clock.now_s()
    site.follower.accept(object_log.FollowerState(changes, now_s, now_s))
    site.advance(5.0)
    return site.last_used_s - answered_s


@then("e1 is out of use {limit_s:g} s after the last answer before")
def check_kept_for_peer(context, limit_s):
    assert context.used_s <= limit_s, context.used_s


@when(
    "the store is away for {length_s:g} s and e1 lapses meanwhile, in "
    "{phases:d} phases"
)
def run_outages(context, length_s, phases):
    context.used_s = min(
        cut_instance.measure_uses_after_cut(
            context.bounds, length_s, "removed", phases, after_s=-1.0
        )
    )


@then("e1 is in use for {least_s:g} s after the return at least")
def check_kept(context, least_s):
    assert context.used_s >= least_s, context.used_s
