import subprocess
import sys

from behave import then
from behave import when

from tools.processes import ROOT

_RUN_TIMEOUT_S = 120


@when(
    "tools.soak runs seed {seed:d} with {count:d} instances"
    " for {duration_s:d} seconds"
)
def run_soak(context, seed, count, duration_s):
    command = [sys.executable, "-m", "tools.soak", "--seed", str(seed)]
    command += ["--instances", str(count), "--seconds", str(duration_s)]
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
