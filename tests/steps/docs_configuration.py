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

CONSOLE_BLOCK = re.compile(r"```console\n(.*?)```", re.DOTALL)
EXIT_CODE = re.compile(r"\(exit code (\d+)\)")
COMMAND_TIMEOUT_S = 60.0


@given("the console blocks of {path}")
def read_blocks(context, path):
    text = pathlib.Path(path).read_text(encoding="utf-8")
    context.lines = [
        line
        for block in CONSOLE_BLOCK.findall(text)
        for line in block.splitlines()
    ]
    assert len(context.lines) > 10


def group_commands(lines):
    """Yield each command with the lines of output that follow it."""
    starts = [index for index, line in enumerate(lines) if line[:2] == "$ "]
    for start, end in itertools.zip_longest(starts, starts[1:]):
        yield lines[start][2:], lines[start + 1 : end]


@then("each command has the exit code and the output that the page shows")
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
    completed = subprocess.run(
        ["bash", "-c", command],
        cwd=folder,
        env=environment,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
    )
    codes = [
        int(found[1]) for line in expected if (found := EXIT_CODE.match(line))
    ]
    printed = completed.stdout + completed.stderr
    assert completed.returncode == (codes or [0])[0], (command, printed)
    for line in expected:
        assert EXIT_CODE.match(line) or line in printed, (
            command,
            line,
            printed,
        )
