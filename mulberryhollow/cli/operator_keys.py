"""Check of the keys that operators sign in with."""

from mulberryhollow.cli import files
from mulberryhollow.coordination.configuration import ALL_COUNCILS
from mulberryhollow.coordination.configuration import Fault
from mulberryhollow.state import keys

__all__ = ["check_keys"]


def check_keys(environment, council, key_file):
    """Check that the operator holds the keys of a council.

    Parameters
    ----------
    environment : state.environment.Environment
        The document that names the councils.
    council : str
        A council, or `ALL_COUNCILS` for every one.
    key_file : str or None
        Path of the file with keys, one a line.

    Returns
    -------
    tuple of Fault
        One for each council whose key is not in the file.

    Notes
    -----
    A council without ``operator_key_hash`` asks for no key.
    """
    given = files.read_lines(key_file) if key_file else []
    named = environment.councils
    wanted = named if council == ALL_COUNCILS else [council]
    return tuple(
        fault for name in wanted for fault in _check_one(named, name, given)
    )


def _check_one(named, name, given):
    """Yield the fault of one council, if any."""
    council = named.get(name)
    if council is None:
        yield Fault(
            f"council {name}",
            "",
            "is not in the document",
            "name a council of the document",
        )
    elif council.operator_key_hash and not any(
        keys.verify(key, council.operator_key_hash) for key in given
    ):
        yield Fault(
            f"council {name}",
            "operator_key_hash",
            "fits no key that was given",
            "name a file with the council's key as --key-file",
        )
