"""Compare a document with the stored one, section by section."""

import difflib

from mulberryhollow.cli import arguments
from mulberryhollow.cli import files
from mulberryhollow.cli import report
from mulberryhollow.cli import stored
from mulberryhollow.coordination.configuration import list_changes
from mulberryhollow.protocol import document

__all__ = ["add_parser", "run"]


def add_parser(commands, module):
    """Add this command."""
    parser = arguments.make_command(
        commands, module, "diff", "mulberryhollow diff production.ini"
    )
    parser.add_argument("file", help="the document, or - for standard input")
    arguments.add_environment(parser)
    arguments.add_store(parser)


def run(options, session):
    """Return the report of the differences.

    Raises
    ------
    ConfigurationError
        When a document has faults or none is stored.
    SettingsError
        When the file cannot be read.
    StoreUnavailableError
        When the platform gave no usable answer.
    """
    data = files.read_bytes(options.file)
    after = document.parse(data)
    store = session.open_store(options.store, options.timeout_s)
    found = stored.read_document(store, options.environment)
    before = document.parse(found.value)
    sections = [
        {"section": heading, "councils": sorted(owners)}
        for heading, owners in list_changes(before, after)
    ]
    return report.Report(
        "same" if data == found.value else "different",
        "\n".join([*_describe(sections), *_compare(found, data, options)]),
        {"version": found.version, "sections": sections},
    )


def _describe(sections):
    """Return a line for each section that differs, with its owners."""
    return [
        f"[{each['section']}] differs; owned by {', '.join(each['councils'])}"
        for each in sections
    ]


def _compare(found, data, options):
    """Return the lines of a unified diff."""
    return difflib.unified_diff(
        found.value.decode().splitlines(),
        data.decode().splitlines(),
        f"{options.environment} version {found.version}",
        options.file,
        lineterm="",
    )
