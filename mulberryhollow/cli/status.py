"""Print the version of the document that is active on each instance.

The exit code is 0 when the stored version is active on every registered
instance of the environment, and 1 otherwise.
"""

import attrs

from mulberryhollow.cli import arguments
from mulberryhollow.cli import members
from mulberryhollow.cli import report
from mulberryhollow.cli import stored
from mulberryhollow.protocol import document
from mulberryhollow.protocol import status

__all__ = ["add_parser", "run"]


def add_parser(commands, module):
    """Add this command."""
    parser = arguments.make_command(
        commands, module, "status", "mulberryhollow status --json"
    )
    arguments.add_environment(parser)
    arguments.add_store(parser)


def run(options, session):
    """Return the report of all instances."""
    store = session.open_store(options.store, options.timeout_s)
    found = stored.read_document(store, options.environment)
    answers = members.query_instances(
        session,
        members.list_registered(store),
        "/status",
        status.decode_status,
        options.timeout_s,
    )
    rows = [
        _make_row(answer)
        for answer in answers
        if _may_belong_to(answer, options.environment)
    ]
    versions = [row["document_version"] for row in rows]
    is_everywhere = bool(rows) and set(versions) == {found.version}
    return report.Report(
        "everywhere" if is_everywhere else "partly",
        "\n".join(
            [
                f"stored version {found.version}",
                *(_describe(row) for row in rows),
            ]
        ),
        {
            "environment": options.environment,
            "version": found.version,
            "digest": document.digest(found.value),
            "instances": rows,
        },
        report.ExitCode.OK if is_everywhere else report.ExitCode.REFUSED,
    )


def _may_belong_to(answer, environment):
    """Return whether an instance may belong to an environment.

    An instance that gave no usable answer may belong to any.
    """
    named = answer.content.environment if answer.content else ""
    return named in ("", environment)


def _make_row(answer):
    """Return the answer of one instance as data of the report."""
    if answer.content is not None:
        return {**attrs.asdict(answer.content), "error": ""}
    return {
        "instance": answer.member.instance_id,
        "failure_domain": answer.member.failure_domain,
        "document_version": 0,
        "document_digest": "",
        "ready": False,
        "error": answer.error,
    }


def _describe(row):
    """Return the line of one instance."""
    if row["error"]:
        state = f"no answer: {row['error']}"
    else:
        ready = "ready" if row["ready"] else "not ready"
        state = f"version {row['document_version']}, {ready}"
    return f"{row['instance']} ({row['failure_domain']}): {state}"
