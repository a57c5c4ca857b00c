"""Check a document or a platform's configuration before it is sent.

Every fault is reported with its remedy, then entries that have no effect,
limits that contradict each other, and what differs from the version in
force.
"""

import attrs

from mulberryhollow.cli import arguments
from mulberryhollow.cli import catalogue as declared
from mulberryhollow.cli import files
from mulberryhollow.cli import report
from mulberryhollow.coordination import configuration
from mulberryhollow import errors
from mulberryhollow.protocol import document

__all__ = ["add_parser", "run"]


def add_parser(commands, module):
    """Add this command."""
    parser = arguments.make_command(
        commands, module, "check", "mulberryhollow check production.ini"
    )
    parser.add_argument(
        "file",
        help="the document in INI, or a platform's configuration in JSON;"
        " - for standard input",
    )
    parser.add_argument(
        "--in-force",
        metavar="FILE",
        help="the version in force, to report what differs from it",
    )
    parser.add_argument(
        "--regions",
        metavar="NAME,NAME",
        help="regions in which failure domains lie, to check allowed regions",
    )
    parser.add_argument(
        "--strict", action="store_true", help="treat warnings as errors"
    )


def run(options, session):
    """Return the report of a document or configuration.

    Raises
    ------
    ConfigurationError
        When an INI document has faults.
    SettingsError
        When a file cannot be read or compared.
    """
    data = files.read_bytes(options.file)
    if _is_json(options.file, data):
        return _check_json(options, data)
    return _check_ini(options, data)


def _is_json(path, data):
    """Return whether a file holds JSON, by its name or its first byte."""
    return path.endswith(".json") or data.lstrip().startswith(b"{")


def _check_ini(options, data):
    """Return the report of a document in INI."""
    environment = document.parse(data)
    findings = configuration.check_environment(environment)
    before = _read_in_force(options, False, document.parse)
    if before is not None:
        findings += configuration.list_environment_differences(
            before, environment
        )
    counts = {
        "councils": len(environment.councils),
        "client_accounts": len(environment.accounts),
        "services": len(environment.services),
    }
    return _make_report(options, environment.digest, counts, findings)


def _check_json(options, data):
    """Return the report of a platform's configuration in JSON."""
    decode = declared.find_decoder("json")
    try:
        catalogue = decode(data, 0)
    except errors.ConfigurationError as error:
        finding = configuration.Finding(
            configuration.Severity.ERROR,
            "configuration",
            f"cannot be decoded: {error.message}",
            "correct the named field",
        )
        return _make_report(options, "", {}, (finding,))
    regions = options.regions and _split(options.regions)
    findings = configuration.check_catalogue(catalogue, regions)
    before = _read_in_force(options, True, decode)
    if before is not None:
        findings += configuration.list_catalogue_differences(before, catalogue)
    counts = {
        "accounts": len(catalogue.accounts or ()),
        "routes": len(catalogue.routes),
        "services": len(catalogue.services),
    }
    return _make_report(options, catalogue.digest, counts, findings)


def _split(names):
    """Return the set of the names in a list with commas."""
    return {name.strip() for name in names.split(",") if name.strip()}


def _read_in_force(options, is_json, decode):
    """Return the decoded version in force; None without the option."""
    if options.in_force is None:
        return None
    data = files.read_bytes(options.in_force)
    remedy = "name a file of the same notation that is in force"
    if _is_json(options.in_force, data) != is_json:
        raise errors.SettingsError(
            f"{options.in_force} is not in the notation of {options.file}",
            remedy,
        )
    try:
        return decode(data, 0)
    except errors.ConfigurationError as error:
        raise errors.SettingsError(
            f"{options.in_force} cannot be decoded: {error.message}", remedy
        ) from error


def _make_report(options, digest, counts, findings):
    """Return the report of a check, with its exit code by severity."""
    severity = configuration.Severity
    worst = max((each.severity for each in findings), default=severity.NOTE)
    if options.strict and worst is severity.WARNING:
        worst = severity.ERROR
    outcome, exit_code = {
        severity.NOTE: ("whole", report.ExitCode.OK),
        severity.WARNING: ("warnings", report.ExitCode.WARNINGS),
        severity.ERROR: ("errors", report.ExitCode.ERRORS),
    }[worst]
    listed = ", ".join(
        f"{count} {name.replace('_', ' ')}" for name, count in counts.items()
    )
    status = "valid" if worst is severity.NOTE else outcome
    ending = f"{options.file}: {status}" + (listed and f", {listed}")
    lines = [*map(str, findings), ending, digest and f"digest {digest}"]
    data = [
        {**attrs.asdict(each), "severity": each.severity.name.lower()}
        for each in findings
    ]
    return report.Report(
        outcome,
        "\n".join(filter(None, lines)),
        {"digest": digest, **counts, "findings": data},
        exit_code,
    )
