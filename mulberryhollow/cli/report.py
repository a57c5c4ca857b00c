"""Result of a command, as text for people and data for programs."""

import enum
import json

import attrs

__all__ = ["ExitCode", "Report", "make_fault_report", "print_report"]


class ExitCode(enum.IntEnum):
    """Exit codes of every command.

    `WARNINGS` and `ERRORS` are those of a check by severity. They share
    their numbers with `REFUSED` and `USAGE`; the outcome tells them apart.
    """

    OK = 0
    REFUSED = 1
    WARNINGS = 1
    USAGE = 2
    ERRORS = 2
    CONFLICT = 3
    STORE_UNAVAILABLE = 4
    OUTCOME_UNKNOWN = 5


@attrs.frozen
class Report:
    """Result of a command.

    Parameters
    ----------
    outcome : str
        One word, the value of the key ``outcome`` of the JSON object.
    text : str
        Text for people, written to the standard output.
    data : dict
        Other keys of the JSON object and their values.
    exit_code : ExitCode
        Exit code of the process.
    """

    outcome: str
    text: str = ""
    data: dict = attrs.field(factory=dict)
    exit_code: ExitCode = ExitCode.OK


def make_fault_report(faults):
    """Return the report of a document or change with faults."""
    return Report(
        "refused",
        "\n".join(str(fault) for fault in faults),
        {"faults": [attrs.asdict(fault) for fault in faults]},
        ExitCode.REFUSED,
    )


def print_report(report, as_json, stream):
    """Write a report to a stream, as text or as one JSON object."""
    text = report.text
    if as_json:
        data = {"outcome": report.outcome, **report.data}
        text = json.dumps(data, indent=2, sort_keys=True)
    if text:
        stream.write(text if text.endswith("\n") else f"{text}\n")
