import subprocess
import sys

from behave import given
from behave import then
from behave import when

from tools.processes import ROOT
from tools.soak import checks
from tools.soak import records

_RUN_TIMEOUT_S = 120


@when(
    "tools.soak runs seed {seed:d} with {count:d} instances"
    " for {duration_s:d} seconds"
)
def run_soak(context, seed, count, duration_s):
    run_command(context, seed, count, duration_s)


@when(
    "tools.soak reads {streams:d} streams with seed {seed:d}"
    " for {duration_s:d} seconds"
)
def run_stream_soak(context, streams, seed, duration_s):
    run_command(context, seed, 3, duration_s, "--streams", str(streams))


def run_command(context, seed, count, duration_s, *more):
    command = [sys.executable, "-m", "tools.soak", "--seed", str(seed)]
    command += ["--instances", str(count), "--seconds", str(duration_s), *more]
    context.run = subprocess.run(
        command,
        cwd=ROOT,
        timeout=_RUN_TIMEOUT_S,
        capture_output=True,
        text=True,
        check=False,
    )


@then("tools.soak finds no violation")
def check_verdict(context):
    assert context.run.returncode == 0, context.run.stdout + context.run.stderr


def make_report(at_s, count, instance="a", token=5):
    content = {"windowId": 1, "counts": {"acme": count}}
    return records.DutyCall(at_s, instance, "/usage", "", token, content)


def make_order(at_s, instance, token):
    return records.DutyCall(at_s, instance, "/scale", "s f0", token, {})


def make_call(attempt, path, sent_s, status=200, life=1, fault=""):
    return records.Call(
        attempt, "a", life, path, sent_s, sent_s + 0.1, status, fault
    )


def make_run(attempt, at_s, path="/safe/x", endpoint="e1"):
    return records.Run(at_s, attempt, endpoint, path)


def make_versions():
    """Return the confirmations of a version and of one with a new route."""
    return [
        records.ConfigurationWritten(0.0, 0.0, 1, ("v1",)),
        records.ConfigurationWritten(20.0, 20.0, 2, ("v2",)),
    ]


THAW = records.Disturbance("b", "freeze", 40.0, 49.9)
RESTORE = records.Disturbance(records.STORE, "restore", 49.9, 49.9)
STOP = records.Disturbance("a", "stop", 50.0, 55.0)
KILL = records.Disturbance("a", "kill", 50.0, 51.0)
LOWER_TOKEN = [make_order(40.0, "a", 6), make_order(50.0, "b", 5)]
REFUSED = records.Disturbance("a", "refused", 45.0, 50.5)
LEFT = records.EndpointLeft(50.0, "e1", "entry")
LATE = [make_call("c1", "/safe/x", 52.1), make_run("c1", 52.15)]
SERVED = [*make_versions(), make_call("c1", "/v2/x", 21.0)]
SERVED += [make_run("c1", 21.05, "/v2/x")]
SAID = [make_call("c0", "/safe/x", 49.9), make_run("c0", 49.95)]
SAID += [records.LeavingSaid("c0", "e1")]
CUT = [make_call("c1", "/once/x", 50.5, 0), make_run("c1", 50.55)]
ONCE = make_run("c1", 50.0, "/once/x")


def make_late(at_s):
    """Return a request and its run on the endpoint that leaves."""
    return [make_call("c1", "/safe/x", at_s), make_run("c1", at_s + 0.05)]


def make_stream(
    *runs,
    numbers=(1, 2),
    is_whole=False,
    sent_s=50.0,
    ended_s=52.0,
    attempt="c1",
):
    """Return the records of a stream of three events and of its runs.

    Each run is given as its endpoint, fate, begin, end and how it ended.
    """
    path = "/resumed/3/x"
    found = [
        records.Call(
            attempt, "a", 1, path, sent_s, ended_s, 200 if is_whole else 0, ""
        ),
        records.Stream(attempt, 3, numbers, is_whole),
    ]
    for endpoint, fate, begin_s, run_ended_s, end in runs:
        found += [
            make_run(attempt, begin_s, path, endpoint),
            records.StreamRun(
                attempt, endpoint, fate, begin_s, run_ended_s, begin_s, 2, end
            ),
        ]
    return found


def make_runs(*bounds):
    """Return the runs of a whole stream, each at an endpoint of its own."""
    return [
        (f"e{number}", "pause", begin_s, end_s, "left")
        for number, (begin_s, end_s) in enumerate(bounds)
    ]


PAUSED = ("e1", "pause", 50.1, 52.0, "left")
WHOLE = {"numbers": (1, 2, 3), "is_whole": True}
GRACE_STOP = records.Disturbance("a", "stop", 50.0, 58.2)
LATE_RUN = ("e1", "pause", 53.2, 57.3, "left")

FAULTS = {
    "a paused stream cut in a planned stop": [*make_stream(PAUSED), STOP],
    "a stream silent for good cut in a planned stop": [
        *make_stream(("e1", "silent", 50.1, 52.0, "left")),
        STOP,
    ],
    "four paused streams cut in calm": [
        each
        for number in range(4)
        for each in make_stream(PAUSED, attempt=f"c{number}")
    ],
    "a paused stream cut in calm": make_stream(PAUSED),
    "a stream broken off by its endpoint in a stop": [
        *make_stream(("e1", "close", 50.1, 51.9, "closed")),
        STOP,
    ],
    "a stream cut at its deadline in a stop": [
        *make_stream(("e1", "silent", 42.1, 52.0, "left"), sent_s=42.0),
        STOP,
    ],
    "an early stream cut in the last sixth of the grace": [
        *make_stream(LATE_RUN, sent_s=52.9, ended_s=57.3),
        GRACE_STOP,
    ],
    "a late stream cut in the last sixth of the grace": [
        *make_stream(LATE_RUN, sent_s=53.1, ended_s=57.3),
        GRACE_STOP,
    ],
    "a stream that looks complete before its end": make_stream(
        PAUSED, is_whole=True
    ),
    "a stream with an event twice": make_stream(
        PAUSED, numbers=(1, 2, 2, 3), is_whole=True
    ),
    "a stream with an event of another stream": make_stream(
        PAUSED, numbers=(1, 0, 3), is_whole=True
    ),
    "a stream without its last events, cut by a kill": [
        *make_stream(PAUSED),
        KILL,
    ],
    "a stream at three endpoints": make_stream(
        *make_runs((50.0, 50.5), (50.5, 51.0), (51.0, 52.0)), **WHOLE
    ),
    "a stream at two endpoints for 0.5 s": make_stream(
        *make_runs((50.0, 51.0), (50.5, 52.0)), **WHOLE
    ),
    "a stream at two endpoints for 0.3 s": make_stream(
        *make_runs((50.0, 50.8), (50.5, 52.0)), **WHOLE
    ),
    "a window reported twice with the same counts": [
        make_report(50.0, 3),
        make_report(60.0, 3, "b", 6),
    ],
    "a window reported twice with other counts": [
        make_report(50.0, 3),
        make_report(60.0, 2, "b", 6),
        RESTORE,
    ],
    "one token from two holders": [
        make_order(50.0, "a", 5),
        make_order(60.0, "b", 5),
    ],
    "a lower token in calm": LOWER_TOKEN,
    "a lower token just after a thaw": [*LOWER_TOKEN, THAW],
    "a lower token just after a restore": [*LOWER_TOKEN, RESTORE],
    "holders A, B, A within the lease": [
        make_order(50.0, "a", 5),
        make_order(51.0, "b", 6),
        make_order(52.9, "a", 7),
    ],
    "holders A, B, A in a longer time": [
        make_order(50.0, "a", 5),
        make_order(51.0, "b", 6),
        make_order(53.1, "a", 7),
    ],
    "an added route refused within the bound": [
        *make_versions(),
        make_call("c1", "/v2/x", 21.9, 404),
    ],
    "an added route refused after the bound": [
        *make_versions(),
        make_call("c1", "/v2/x", 22.1, 404),
    ],
    "an added route refused after the bound by a restore": [
        *make_versions(),
        make_call("c1", "/v2/x", 52.0, 404),
        RESTORE,
    ],
    "a removed route served after the bound": [
        *make_versions(),
        make_call("c1", "/v1/x", 22.1),
    ],
    "a route refused after it was served": [
        *SERVED,
        make_call("c2", "/v2/x", 21.4, 404),
    ],
    "a route refused after it was served, by a new life": [
        *SERVED,
        make_call("c2", "/v2/x", 21.4, 404, life=2),
    ],
    "a request to an endpoint with a draining entry": [LEFT, *LATE],
    "a request to an endpoint in a disturbed store": [LEFT, *LATE, RESTORE],
    "a late request, in touch after a refusal": [
        LEFT,
        REFUSED,
        *make_late(53.6),
    ],
    "a late request soon after a refusal": [LEFT, REFUSED, *make_late(53.3)],
    "a request to an endpoint that said it leaves": [*SAID, *LATE, RESTORE],
    "a first request to an endpoint that leaves": [*SAID[2:], *LATE],
    "a planned stop that cuts a request off": [*CUT, STOP, RESTORE],
    "a kill that cuts a request off": [*CUT, STOP, KILL],
    "a single request that runs twice": [
        make_call("c1", "/once/x", 50.0),
        ONCE,
        ONCE,
    ],
    "a single request that runs and is answered 503": [
        make_call("c1", "/once/x", 50.0, 503),
        ONCE,
    ],
    "an answer to another request": [
        make_call("c1", "/safe/x", 50.0, fault="not its answer")
    ],
    "a process that ends by itself": [records.Exited(50.0, "a", "code 1")],
}


@given("records of a run with {fault}")
def make_records(context, fault):
    context.recorder = records.Recorder()
    for each in FAULTS[fault]:
        context.recorder.add(each)


@then("the soak's checks find {found}")
def check_found(context, found):
    violations = checks.check(context.recorder)
    names = {
        each.rule + ("" if each.is_counted else " not counted")
        for each in violations
    }
    expected = set() if found == "nothing" else {found}
    assert names == expected, violations
