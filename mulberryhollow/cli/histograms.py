"""Print latencies by client account and class, merged over instances.

The exit code is 0 when every registered instance gave a usable answer, and 1
otherwise.
"""

import attrs

from mulberryhollow.cli import arguments
from mulberryhollow.cli import members
from mulberryhollow.cli import report
from mulberryhollow.protocol import status
from mulberryhollow.state.histograms import MalformedHistogramError
from mulberryhollow.state.histograms import merge_records

__all__ = ["add_parser", "run"]


def add_parser(commands, module):
    """Add this command."""
    parser = arguments.make_command(
        commands, module, "histograms", "mulberryhollow histograms --json"
    )
    arguments.add_store(parser)


def run(options, session):
    """Return the report of the merged histograms."""
    store = session.open_store(options.store, options.timeout_s)
    answers = members.query_instances(
        session,
        members.list_registered(store),
        "/histograms",
        _decode,
        options.timeout_s,
    )
    errors_by_instance = {
        answer.member.instance_id: answer.error
        for answer in answers
        if answer.error
    }
    merged = merge_records(
        record for answer in answers for record in answer.content or ()
    )
    return report.Report(
        "partly" if errors_by_instance else "whole",
        "\n".join(
            [
                *map(_describe, merged),
                *_describe_unanswered(errors_by_instance),
            ]
        ),
        {
            "histograms": [attrs.asdict(record) for record in merged],
            "silent": errors_by_instance,
        },
        report.ExitCode.REFUSED if errors_by_instance else report.ExitCode.OK,
    )


def _decode(body):
    """Return the records in a body.

    Raises
    ------
    ValueError
        When the body or a record is malformed.
    """
    records = status.decode_histograms(body)
    try:
        merge_records(records)
    except MalformedHistogramError as error:
        raise ValueError(str(error)) from error
    return records


def _describe(record):
    """Return the line of one histogram."""
    return (
        f"{record.account} {record.request_class}, {record.measure} answer:"
        f" {record.count} requests,"
        f" p50 {record.p50_us} us, p95 {record.p95_us} us,"
        f" p99 {record.p99_us} us, max {record.max_us} us"
    )


def _describe_unanswered(errors_by_instance):
    """Return a line for each instance that gave no usable answer."""
    return [
        f"{name}: no answer: {error}"
        for name, error in errors_by_instance.items()
    ]
