"""Runs of the command line against a fake store and fake instances."""

import io
import json
import pathlib
import tempfile

from mulberryhollow.cli import main
from mulberryhollow.cli import sessions
from mulberryhollow.clock import ManualClock

EXAMPLE = pathlib.Path("examples/production.ini").read_bytes()
COUNCILS = ("operators", "brunner", "tolgyfa")
OFFLINE_COMMANDS = ("check", "events", "settings", "hash-key")


def replace_in_example(old, new):
    """Return the example with every occurrence of a text replaced."""
    assert old.encode() in EXAMPLE
    return EXAMPLE.replace(old.encode(), new.encode())


def run_command(context, command):
    """Run a command with --json; keep its exit code and report."""
    words = command.split()
    if words[0] not in OFFLINE_COMMANDS:
        words += ["--store", "fake:1"]
    files = context.files
    words = [files.get(word, word) for word in words]
    words = [part for word in words for part in word.split()]
    stream = io.StringIO()
    session = sessions.Session(
        lambda address, timeout_s: context.store,
        context.instances.fetch,
        ManualClock(),
    )
    context.code = main.main([*words, "--json"], session, stream)
    context.report = json.loads(stream.getvalue())


def write_files(context):
    """Write the files that scenarios refer to by names in capitals."""
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    folder = pathlib.Path(directory.name)
    keys = "\n".join(f"example-key-{name}-operator" for name in COUNCILS)
    (folder / "keys").write_text(keys, encoding="utf-8")
    (folder / "wrong").write_text("wrong", encoding="utf-8")
    context.folder = folder
    context.files = {
        "KEY": f"--key-file {folder / 'keys'}",
        "WRONG": f"--key-file {folder / 'wrong'}",
        "KEYFILE": str(folder / "wrong"),
        "CHANGED": str(folder / "changed"),
    }
