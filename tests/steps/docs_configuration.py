import itertools
import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

from behave import given
from behave import then

from tools import processes

BLOCK = re.compile(r"```console\n(.*?)```", re.DOTALL)
EXIT = re.compile(r"\(exit code (\d+)\)")
LIMIT_S = 60.0


@given("the console blocks of {path}")
def read_blocks(context, path):
    text = pathlib.Path(path).read_text(encoding="utf-8")
    context.lines = [
        line for block in BLOCK.findall(text) for line in block.splitlines()
    ]
    assert len(context.lines) > 10


def group_commands(lines):
    """Yield each command with the lines of output that follow it."""
    starts = [place for place, line in enumerate(lines) if line[:2] == "$ "]
    for start, end in itertools.zip_longest(starts, starts[1:]):
        yield lines[start][2:], lines[start + 1 : end]


@then("each command has the exit code and the output on the page")
def run_commands(context):
    with processes.Fleet() as fleet, tempfile.TemporaryDirectory() as folder:
        shutil.copytree("examples", pathlib.Path(folder) / "examples")
        binaries = str(pathlib.Path(sys.executable).parent)
        environment = {
            **os.environ,
            "PATH": os.pathsep.join([binaries, os.environ["PATH"]]),
            "MULBERRYHOLLOW_STORE": fleet.start_store().address,
        }
        for command, expected in group_commands(context.lines):
            run_command(command, expected, folder, environment)


def run_command(command, expected, folder, environment):
    """Run one command; check its exit code and its output."""
    done = subprocess.run(
        ["bash", "-c", command],
        cwd=folder,
        env=environment,
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
    )
    codes = [int(found[1]) for line in expected if (found := EXIT.match(line))]
    printed = done.stdout + done.stderr
    assert done.returncode == (codes or [0])[0], (command, printed)
    for line in expected:
        assert EXIT.match(line) or line in printed, (command, line, printed)
