"""Write a document unless it has changed since the base version.

The write is conditional on the version that the change is based on. If
another operator has changed the document first, the command ends with a
conflict and exit code 3. If the platform's answer is lost, the command
repeats the write. If this ends in a conflict, the change id of the stored
document shows whether an earlier attempt took effect.
"""

from mulberryhollow.cli import arguments
from mulberryhollow.cli import files
from mulberryhollow.cli import operator_keys
from mulberryhollow.cli import report
from mulberryhollow.cli import stored
from mulberryhollow.cli import writing
from mulberryhollow.coordination.configuration import Allowed
from mulberryhollow.coordination.configuration import Change
from mulberryhollow.coordination.configuration import Conflict
from mulberryhollow.coordination.configuration import decide_change
from mulberryhollow.coordination.configuration import Refused
from mulberryhollow.errors import ConfigurationError
from mulberryhollow.protocol import document

__all__ = ["add_parser", "apply_change", "run"]


def add_parser(commands, module):
    """Add this command."""
    parser = arguments.make_command(
        commands,
        module,
        "apply",
        "mulberryhollow apply production.ini --base-version 17"
        " --council brunner --key-file operator.key",
    )
    parser.add_argument("file", help="the document, or - for standard input")
    parser.add_argument(
        "--base-version",
        type=int,
        required=True,
        metavar="N",
        help="version that the change is based on; 0 for the first one",
    )
    arguments.add_environment(parser)
    arguments.add_council(parser)
    arguments.add_store(parser)


def run(options, session):
    """Return the report of the change."""
    change = Change(
        options.environment,
        options.base_version,
        files.read_bytes(options.file),
        options.council,
    )
    store = session.open_store(options.store, options.timeout_s)
    return apply_change(store, change, options.key_file, "applied")


def apply_change(store, change, key_file, success_outcome):
    """Check a change of a document and write it.

    Parameters
    ----------
    store : transport.store.StoreClient
        The object API.
    change : coordination.configuration.Change
        The change.
    key_file : str or None
        File with the operator keys of the councils that make the change.
    success_outcome : str
        Outcome to report when the change took effect.

    Returns
    -------
    Report
        Result of the change.

    Raises
    ------
    SettingsError
        When the key file cannot be read.
    StoreUnavailableError
        When the platform gave no usable answer and nothing was changed.
    """
    current = store.get(stored.DOCUMENT_KIND, change.environment)
    moves = stored.read_moves(store, change.environment)
    match decide_change(change, current, document.parse, moves):
        case Conflict() as conflict:
            where = f"{stored.DOCUMENT_KIND} {change.environment}"
            return writing.make_conflict_report(conflict, where)
        case Refused(faults):
            return report.make_fault_report(faults)
        case Allowed():
            return _write_authorized(
                store, change, current, key_file, success_outcome
            )


def _write_authorized(store, change, current, key_file, success_outcome):
    """Write an allowed change if the key file holds the required keys."""
    authorizing_document = _read_authorizing_document(change, current)
    faults = operator_keys.check_keys(
        authorizing_document, change.council, key_file
    )
    if faults:
        return report.make_fault_report(faults)
    new_object = writing.make_object(
        stored.DOCUMENT_KIND,
        change.environment,
        change.base_version,
        change.data,
    )
    data = {
        "environment": change.environment,
        "digest": document.digest(change.data),
    }
    outcome = writing.write(store, new_object)
    return writing.report_write(outcome, new_object, success_outcome, data)


def _read_authorizing_document(change, current):
    """Return the document whose operator keys authorize a change.

    Notes
    -----
    That is the stored document. The new one is used when none is stored yet
    or when the stored one has faults.
    """
    try:
        if current is not None:
            return document.parse(current.value)
    except ConfigurationError:
        return document.parse(change.data)
    return document.parse(change.data)
