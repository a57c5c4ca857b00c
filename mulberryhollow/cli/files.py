"""Reading of the files that an operator names."""

import pathlib
import sys

from mulberryhollow import errors

__all__ = ["read_bytes", "read_lines"]


def read_bytes(path):
    """Return the content of a file, or of the standard input for ``-``.

    Raises
    ------
    SettingsError
        When it cannot be read.
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
    """Return the lines of a file that are not empty.

    Raises
    ------
    SettingsError
        When it cannot be read.
    """
    text = read_bytes(path).decode("utf-8", "replace")
    return [line.strip() for line in text.splitlines() if line.strip()]
