"""Start, show or abort the gradual move of a service to another version."""

import argparse

import attrs

from mulberryhollow.cli import arguments
from mulberryhollow.cli import operator_keys
from mulberryhollow.cli import report
from mulberryhollow.cli import stored
from mulberryhollow.cli import writing
from mulberryhollow.coordination import configuration
from mulberryhollow.coordination import rollout
from mulberryhollow.errors import ConfigurationError
from mulberryhollow.protocol import document
from mulberryhollow.protocol import moves
from mulberryhollow.transport.store import make_change_id

__all__ = ["add_parser", "run"]

_EXAMPLE = (
    "mulberryhollow move start --service slots --to-version v2"
    " --within-s 900 --council brunner --key-file operator.key"
)


def add_parser(commands, module):
    """Add this command with its three actions."""
    parser = arguments.make_command(commands, module, "move", _EXAMPLE)
    actions = parser.add_subparsers(
        title="actions", required=True, metavar="ACTION"
    )
    start = _add_action(actions, "start", _start)
    start.add_argument("--service", required=True, metavar="NAME")
    start.add_argument("--to-version", required=True, metavar="NAME")
    start.add_argument(
        "--within-s",
        type=float,
        required=True,
        metavar="S",
        help="time within which the move has to be done, in seconds",
    )
    arguments.add_council(start)
    show = _add_action(actions, "show", _show)
    show.add_argument("--service", metavar="NAME", help="default: all")
    abort = _add_action(actions, "abort", _abort)
    abort.add_argument("--service", required=True, metavar="NAME")
    arguments.add_council(abort)


def _add_action(actions, name, act):
    """Return the parser of one action."""
    parser = actions.add_parser(
        name,
        help=act.__doc__.splitlines()[0],
        description=act.__doc__,
        epilog=f"example:\n  {_EXAMPLE}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--json",
        action="store_true",
        default=argparse.SUPPRESS,
        help="print one JSON object",
    )
    parser.set_defaults(act=act)
    arguments.add_environment(parser)
    arguments.add_store(parser)
    return parser


def run(options, session):
    """Return the report of one action."""
    store = session.open_store(options.store, options.timeout_s)
    return options.act(options, session, store)


def _start(options, session, store):
    """Start a move; the previous move of the service must have ended."""
    environment = _read_environment(store, options)
    service = environment.services[options.service]
    found = store.get(stored.MOVE_KIND, _get_object_name(options))
    current = _decode_or_none(found)
    _check_version_in_use(service, current)
    now_s = session.clock.wall_s()
    new_move = rollout.Move(
        id=make_change_id(),
        environment=options.environment,
        service=options.service,
        from_version=service.version,
        to_version=options.to_version,
        created_s=now_s,
        deadline_s=now_s + _check_duration(options.within_s),
    )
    _check_version_declared(service, options.to_version)
    move = rollout.start(current, new_move)
    base_version = found.version if found else 0
    return _write(store, move, base_version, "started")


def _show(options, session, store):
    """Show the record of the move of one service or of all services."""
    found = [
        move
        for move in stored.read_moves(store, options.environment)
        if options.service in (None, move.service)
    ]
    return report.Report(
        "found" if found else "none",
        "\n".join(map(_describe, found)) or "no move has been started",
        {"moves": [_make_row(move) for move in found]},
    )


def _abort(options, session, store):
    """Roll a move back; the old version gets all requests."""
    _read_environment(store, options)
    found = store.get(stored.MOVE_KIND, _get_object_name(options))
    if found is None:
        raise _make_error(
            "the service has no move",
            "list the moves with `mulberryhollow move show`",
        )
    current = moves.decode(found.value, found.version)
    now_s = session.clock.wall_s()
    move = rollout.abort(current, now_s, options.council)
    return _write(store, move, found.version, "aborted")


def _read_environment(store, options):
    """Return the stored document if the operator may move the service.

    Raises
    ------
    ConfigurationError
        When the document does not declare the service, another council
        owns the service, or the operator key is missing.
    """
    found = stored.read_document(store, options.environment)
    environment = document.parse(found.value, found.version)
    service = environment.services.get(options.service)
    heading = f"service {options.service}"
    if service is None:
        raise _make_error(
            "is not in the document",
            "name a service of the document",
            heading,
        )
    if options.council not in (service.council, configuration.ALL_COUNCILS):
        raise _make_error(
            f"belongs to {service.council}, not to {options.council!r}",
            "have its council move it",
            heading,
        )
    faults = operator_keys.check_keys(
        environment, options.council, options.key_file
    )
    if faults:
        raise ConfigurationError(faults)
    return environment


def _make_error(message, remedy, heading=""):
    """Return the error of a single fault."""
    return ConfigurationError(
        [configuration.Fault(heading, "", message, remedy)]
    )


def _check_version_in_use(service, current):
    """Raise unless the document names the version that is in use.

    After a move is done, the service uses its new version, while the
    document still names the old one until an operator updates it.
    """
    in_use = configuration.find_in_use(service, current)
    if in_use != service.version:
        raise _make_error(
            f"has used {in_use!r} since its last move, but the document names"
            f" {service.version!r}",
            f"set version = {in_use} and apply the document first",
            f"service {service.name}",
        )


def _check_version_declared(service, name):
    """Raise if the document does not declare a version."""
    if name not in {version.name for version in service.versions}:
        raise _make_error(
            f"does not declare the version {name!r}",
            "add it to versions and apply the document first",
            f"service {service.name}",
        )


def _check_duration(within_s):
    """Return a duration; raise if it is not finite and above zero."""
    if not 0 < within_s < float("inf"):
        raise _make_error(
            f"--within-s {within_s} is not a finite time above 0",
            "give a finite time in seconds above 0",
        )
    return within_s


def _decode_or_none(found):
    """Return the stored record; None when it is missing or malformed."""
    try:
        return moves.decode(found.value, found.version) if found else None
    except moves.MoveFormatError:
        return None


def _get_object_name(options):
    """Return the name of the object that holds a service's move."""
    return f"{options.environment}.{options.service}"


def _write(store, move, base_version, success_outcome):
    """Write a record, conditional on its base version."""
    new_object = writing.make_object(
        stored.MOVE_KIND, move.object_name, base_version, moves.encode(move)
    )
    outcome = writing.write(store, new_object)
    data = {"move": _make_row(move)}
    return writing.report_write(outcome, new_object, success_outcome, data)


def _make_row(move):
    """Return a record as data of the report."""
    row = attrs.asdict(move)
    return {**row, "stage": move.stage.value}


def _describe(move):
    """Return the line of one record."""
    reason = f", {move.reason}" if move.reason else ""
    return (
        f"{move.service}: {move.from_version} to {move.to_version},"
        f" {move.stage.value}, share {move.share:.0%}{reason},"
        f" deadline {move.deadline_s:.0f}"
    )
