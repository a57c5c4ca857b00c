"""The ``mulberryhollow`` command line."""

import argparse
import sys

import mulberryhollow
from mulberryhollow.cli import apply
from mulberryhollow.cli import check
from mulberryhollow.cli import diff
from mulberryhollow.cli import events
from mulberryhollow.cli import hash_key
from mulberryhollow.cli import histograms
from mulberryhollow.cli import move
from mulberryhollow.cli import promote
from mulberryhollow.cli import report
from mulberryhollow.cli import sessions
from mulberryhollow.cli import settings
from mulberryhollow.cli import show
from mulberryhollow.cli import status
from mulberryhollow.errors import ConfigurationError
from mulberryhollow.errors import ConflictError
from mulberryhollow.errors import MulberryError
from mulberryhollow.errors import SettingsError
from mulberryhollow.errors import StoreUnavailableError

__all__ = ["list_commands", "main", "make_parser"]

_COMMANDS = (
    check,
    show,
    diff,
    apply,
    promote,
    status,
    move,
    histograms,
    events,
    settings,
    hash_key,
)

_EPILOG = """\
exit codes:
  0  success, no faults found
  1  faults or warnings were found, or the change was refused
  2  wrong usage or unreadable file, or errors in a checked configuration
  3  conflict: changed by somebody else since the base version
  4  the platform's store is not available; nothing was changed
  5  the outcome of a change is unknown

examples:
  mulberryhollow check production.ini
  mulberryhollow show --store 127.0.0.1:8100 --environment trial
  mulberryhollow apply production.ini --base-version 17 --council brunner
"""


def list_commands():
    """Return the name of each command, as on the command line."""
    names = [module.__name__.rpartition(".")[2] for module in _COMMANDS]
    return [name.replace("_", "-") for name in names]


def make_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        "mulberryhollow",
        description=mulberryhollow.__doc__,
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--version",
        action="version",
        version=f"%(prog)s {mulberryhollow.__version__}",
    )
    commands = parser.add_subparsers(
        title="commands", required=True, metavar="COMMAND"
    )
    for module in _COMMANDS:
        module.add_parser(commands, module)
    return parser


def main(arguments=None, session=None, stream=None):
    """Run one command.

    Parameters
    ----------
    arguments : list of str or None
        The command line; None for that of the process.
    session : Session or None
        Access to the store, the instances and the clock; None for the
        real ones.
    stream : object or None
        Where the report goes; None for the standard output.

    Returns
    -------
    int
        An `ExitCode`.
    """
    options = make_parser().parse_args(arguments)
    try:
        result = options.run(options, session or sessions.Session())
    except MulberryError as error:
        result = _report_error(error)
    report.print_report(result, options.json, stream or sys.stdout)
    return int(result.exit_code)


def _report_error(error):
    """Return the report of an error that ended a command."""
    match error:
        case ConfigurationError(faults=faults):
            return report.make_fault_report(faults)
        case SettingsError():
            outcome, exit_code = "usage", report.ExitCode.USAGE
        case ConflictError():
            outcome, exit_code = "conflict", report.ExitCode.CONFLICT
        case StoreUnavailableError():
            outcome, exit_code = (
                "unavailable",
                report.ExitCode.STORE_UNAVAILABLE,
            )
        case _:
            outcome, exit_code = "refused", report.ExitCode.REFUSED
    data = {"message": error.message, "remedy": error.remedy}
    return report.Report(outcome, str(error), data, exit_code)


if __name__ == "__main__":
    sys.exit(main())
