"""Check a document and report every fault with its remedy."""

from mulberryhollow.cli import arguments
from mulberryhollow.cli import files
from mulberryhollow.cli import report
from mulberryhollow.protocol import document

__all__ = ["add_parser", "run"]


def add_parser(commands, module):
    """Add this command."""
    parser = arguments.make_command(
        commands, module, "check", "mulberryhollow check production.ini"
    )
    parser.add_argument("file", help="the document, or - for standard input")


def run(options, session):
    """Return the report of a valid document.

    Raises
    ------
    ConfigurationError
        When the document has faults.
    SettingsError
        When the file cannot be read.
    """
    data = files.read_bytes(options.file)
    environment = document.parse(data)
    counts = {
        "councils": len(environment.councils),
        "client_accounts": len(environment.accounts),
        "services": len(environment.services),
    }
    listed = ", ".join(
        f"{count} {name.replace('_', ' ')}" for name, count in counts.items()
    )
    return report.Report(
        "whole",
        f"{options.file}: valid, {listed}\ndigest {environment.digest}",
        {"digest": environment.digest, **counts},
    )
