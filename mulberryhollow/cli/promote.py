"""Copy a document that was active in one environment to another.

The stored document of the source environment must have been active there:
either an object of the kind in_force, named ENVIRONMENT-VERSION, records it,
or a ready instance reports this version and digest now, and then the object
is written. The bytes are copied unchanged, so the digest stays the same.
"""

from mulberryhollow.cli import apply
from mulberryhollow.cli import arguments
from mulberryhollow.cli import members
from mulberryhollow.cli import report
from mulberryhollow.cli import stored
from mulberryhollow.cli import writing
from mulberryhollow.coordination.configuration import Change
from mulberryhollow.coordination.configuration import Fault
from mulberryhollow.protocol import document
from mulberryhollow.protocol import status

__all__ = ["add_parser", "run"]


def add_parser(commands, module):
    """Add this command."""
    parser = arguments.make_command(
        commands,
        module,
        "promote",
        "mulberryhollow promote --from trial --to production"
        " --base-version 17 --council brunner --key-file operator.key",
    )
    parser.add_argument(
        "--from",
        dest="source",
        required=True,
        metavar="NAME",
        help="environment where the document was active",
    )
    parser.add_argument(
        "--to",
        dest="target",
        required=True,
        metavar="NAME",
        help="environment that receives the document",
    )
    parser.add_argument(
        "--base-version",
        type=int,
        metavar="N",
        help="version of the target document that the change is based on"
        " (default: the stored one)",
    )
    arguments.add_council(parser)
    arguments.add_store(parser)


def run(options, session):
    """Return the report of the promotion."""
    store = session.open_store(options.store, options.timeout_s)
    source = stored.read_document(store, options.source)
    if not _was_active(store, source, options, session):
        return report.make_fault_report([_make_fault(source)])
    base_version = options.base_version
    if base_version is None:
        target = store.get(stored.DOCUMENT_KIND, options.target)
        base_version = target.version if target else 0
    change = Change(
        options.target, base_version, source.value, options.council
    )
    return apply.apply_change(store, change, options.key_file, "promoted")


def _was_active(store, source, options, session):
    """Return whether the source document was active at its version.

    If it has no activation record yet, but ready instances report this
    version and digest now, then the record is written.
    """
    digest = document.digest(source.value)
    recorded_digest = stored.read_activation_digest(
        store, source.name, source.version
    )
    if recorded_digest:
        return recorded_digest == digest
    answers = members.query_instances(
        session,
        members.list_registered(store),
        "/status",
        status.decode_status,
        options.timeout_s,
    )
    reported = [each.content for each in answers if each.content]
    instances = [
        each.instance
        for each in reported
        if each.ready
        and each.document_version == source.version
        and each.document_digest == digest
    ]
    if instances:
        _write_activation_record(store, source, digest, instances)
    return bool(instances)


def _write_activation_record(store, source, digest, instances):
    """Record that a version was active; an earlier record is kept."""
    value = stored.encode_activation_record(
        source.name, source.version, digest, instances
    )
    name = f"{source.name}-{source.version}"
    new_object = writing.make_object(stored.ACTIVATION_KIND, name, 0, value)
    writing.write(store, new_object)


def _make_fault(source):
    """Return the fault of a document that was not active."""
    return Fault(
        "",
        "",
        f"version {source.version} of {source.name!r} has not been active",
        f"run `mulberryhollow status --environment {source.name}` and promote"
        " once this version is active on a ready instance",
    )
