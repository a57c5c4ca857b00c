"""Check of the operator keys that authorize a change."""

from mulberryhollow.cli import files
from mulberryhollow.coordination.configuration import ALL_COUNCILS
from mulberryhollow.coordination.configuration import Fault
from mulberryhollow.state import keys

__all__ = ["check_keys"]


def check_keys(environment, council, key_file):
    """Check that a key file holds the operator keys of the councils.

    Parameters
    ----------
    environment : state.environment.Environment
        The document that declares the councils.
    council : str
        Name of a council, or `ALL_COUNCILS` for all councils.
    key_file : str or None
        Path of the file with the keys, one per line.

    Returns
    -------
    tuple of Fault
        One for each council whose key is not in the file.

    Raises
    ------
    SettingsError
        When the key file cannot be read.

    Notes
    -----
    A council without ``operator_key_hash`` requires no key.
    """
    given_keys = files.read_lines(key_file) if key_file else []
    councils = environment.councils
    required = councils if council == ALL_COUNCILS else [council]
    return tuple(
        fault
        for name in required
        for fault in _check_council(councils, name, given_keys)
    )


def _check_council(councils, name, given_keys):
    """Yield the fault of one council, if any."""
    council = councils.get(name)
    if council is None:
        yield Fault(
            f"council {name}",
            "",
            "is not in the document",
            "name a council of the document",
        )
    elif council.operator_key_hash and not any(
        keys.verify(key, council.operator_key_hash) for key in given_keys
    ):
        yield Fault(
            f"council {name}",
            "operator_key_hash",
            "matches no key that was given",
            "name a file with the council's key as --key-file",
        )
