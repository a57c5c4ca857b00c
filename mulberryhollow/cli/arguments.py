"""Command-line options shared by several commands."""

import argparse
import os

__all__ = [
    "STORE_VARIABLE",
    "add_council",
    "add_environment",
    "add_store",
    "make_command",
]

STORE_VARIABLE = "MULBERRYHOLLOW_STORE"

_DEFAULT_TIMEOUT_S = 2.0


def make_command(commands, module, name, example):
    """Return the parser of one command.

    Parameters
    ----------
    commands : object
        Return value of ``add_subparsers``.
    module : module
        The command's module. Its docstring is the help text, and its
        function ``run`` runs the command.
    name : str
        Name of the command.
    example : str
        One or more command lines, shown by ``--help``.
    """
    text = module.__doc__.strip()
    parser = commands.add_parser(
        name,
        help=text.splitlines()[0],
        description=text,
        epilog=f"example:\n  {example}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--json", action="store_true", help="print one JSON object"
    )
    parser.set_defaults(run=module.run)
    return parser


def add_store(parser):
    """Add the options for calls to the platform's object API."""
    address = os.environ.get(STORE_VARIABLE)
    parser.add_argument(
        "--store",
        metavar="HOST:PORT",
        default=address,
        required=address is None,
        help="address of the platform's object API"
        f" (default: ${STORE_VARIABLE})",
    )
    parser.add_argument(
        "--timeout-s",
        type=float,
        default=_DEFAULT_TIMEOUT_S,
        metavar="S",
        help="timeout of one call, in seconds (default: %(default)s)",
    )


def add_environment(parser):
    """Add the option that names the environment."""
    parser.add_argument(
        "--environment",
        default="production",
        metavar="NAME",
        help="name of the environment (default: %(default)s)",
    )


def add_council(parser):
    """Add the options that name the council and its key file."""
    parser.add_argument(
        "--council",
        required=True,
        metavar="NAME",
        help="council that makes the change, or all for every council",
    )
    parser.add_argument(
        "--key-file",
        metavar="FILE",
        help="file with the operator keys of the councils, one per line",
    )
