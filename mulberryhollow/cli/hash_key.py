"""Make the salted hash of a key for a document.

The key is read from a file or the standard input, so that it does not appear
in the list of processes. Keys are random texts with at least 128 bits of
entropy.
"""

import secrets

from mulberryhollow.cli import arguments
from mulberryhollow.cli import files
from mulberryhollow.cli import report
from mulberryhollow.errors import SettingsError
from mulberryhollow.state import keys

__all__ = ["add_parser", "run"]

_SALT_BYTES = 16


def add_parser(commands, module):
    """Add this command."""
    parser = arguments.make_command(
        commands, module, "hash-key", "mulberryhollow hash-key operator.key"
    )
    parser.add_argument(
        "file", help="file with the key on one line, or - for standard input"
    )


def run(options, session):
    """Return the report with the hash.

    Raises
    ------
    SettingsError
        When the file cannot be read or does not hold exactly one key.
    """
    lines = files.read_lines(options.file)
    if len(lines) != 1:
        raise SettingsError(
            f"{options.file} has {len(lines)} lines that are not blank",
            "write the key on one line",
        )
    key_hash = keys.make_hash(lines[0], secrets.token_hex(_SALT_BYTES))
    return report.Report("made", key_hash, {"key_hash": key_hash})
