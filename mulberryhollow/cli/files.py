"""Functions that read the files named on the command line."""

import pathlib
import sys

from mulberryhollow import errors

__all__ = ["read_bytes", "read_lines"]


def read_bytes(path):
    """Return the content of a file, or of the standard input for ``-``.

    Raises
    ------
    SettingsError
        When the file cannot be read.
    """
    try:
        if path == "-":
            return sys.stdin.buffer.read()
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise errors.SettingsError(
            f"{path} cannot be read: {error.strerror}",
            "name a readable file",
        ) from error


def read_lines(path):
    """Return the stripped lines of a file without the blank ones.

    Raises
    ------
    SettingsError
        When the file cannot be read.
    """
    text = read_bytes(path).decode("utf-8", "replace")
    return [line.strip() for line in text.splitlines() if line.strip()]
