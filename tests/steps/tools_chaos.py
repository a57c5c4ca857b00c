import itertools
import subprocess
import sys

from behave import given
from behave import then
from behave import when

from tools.chaos import cluster
from tools.chaos import schedule
from tools.processes import ROOT

_DURATION_S = 30.0
_RUN_TIMEOUT_S = 150
_ACTIONS = {
    "kill",
    "crash_booked",
    "freeze",
    "outage",
    "slow",
    "drop_answer",
    "stale_reads",
    "silent",
    "truncate",
    "cross",
    "refuse",
    "reclaim_instance",
    "reclaim_domain",
    "stop",
    "publish",
    "poison",
}


def generate_schedule(seed):
    return schedule.make_schedule(seed, _DURATION_S, cluster.LAYOUT)


def affects_entry(fault):
    """Return whether a fault makes an entry instance unavailable."""
    layout = cluster.LAYOUT
    return fault.target in layout.entries + layout.domains


@given("the schedules of seeds {first:d} to {last:d}")
def make_schedules(context, first, last):
    context.schedules = {
        seed: generate_schedule(seed) for seed in range(first, last + 1)
    }


@then("the schedule of each seed is the same when it is made again")
def check_repeated(context):
    assert all(
        generate_schedule(seed) == faults
        for seed, faults in context.schedules.items()
    )


@then("no two schedules are the same")
def check_different(context):
    assert len({str(s) for s in context.schedules.values()}) == 50


@then("each fault ends before the run does")
def check_ends(context):
    faults = itertools.chain.from_iterable(context.schedules.values())
    assert all(s.at_s + s.duration_s < _DURATION_S for s in faults)


@then("at most one entry instance is unavailable at a time")
def check_entries(context):
    for faults in context.schedules.values():
        entry_faults = [fault for fault in faults if affects_entry(fault)]
        assert all(
            before.at_s + before.duration_s < after.at_s
            for before, after in itertools.pairwise(entry_faults)
        )


@then("every action occurs in some schedule")
def check_actions(context):
    faults = itertools.chain.from_iterable(context.schedules.values())
    assert {fault.action for fault in faults} == _ACTIONS


@when("tools.chaos runs seed {seed:d} for {duration_s:d} seconds")
def run_chaos(context, seed, duration_s):
    command = [sys.executable, "-m", "tools.chaos", "--seed", str(seed)]
    command += ["--duration-s", str(duration_s)]
    context.run = subprocess.run(
        command,
        cwd=ROOT,
        timeout=_RUN_TIMEOUT_S,
        capture_output=True,
        text=True,
        check=False,
    )


@then("tools.chaos ends with a clean verdict")
def check_verdict(context):
    assert context.run.returncode == 0, context.run.stdout + context.run.stderr
