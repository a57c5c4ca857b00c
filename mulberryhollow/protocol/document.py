"""Parser of the environment document: INI bytes to validated data."""

import xxhash

from mulberryhollow.coordination.configuration import Fault
from mulberryhollow.errors import ConfigurationError
from mulberryhollow.protocol import ini
from mulberryhollow.protocol import reader
from mulberryhollow.protocol import references
from mulberryhollow.protocol import values
from mulberryhollow.state import environment

__all__ = ["MAX_DOCUMENT_BYTES", "Fault", "digest", "parse"]

MAX_DOCUMENT_BYTES = 1_000_000


def digest(data):
    """Return the hexadecimal xxh3-128 of a document's bytes."""
    return xxhash.xxh3_128_hexdigest(data)


def parse(data, version=0):
    """Validate a whole document and return it as typed data.

    All faults are collected, so one attempt reports every one of them.

    Parameters
    ----------
    data : bytes
        INI text in UTF-8, at most one megabyte.
    version : int
        Version of the store object that holds the document; 0 when
        unknown.

    Returns
    -------
    state.environment.Environment
        The validated document.

    Raises
    ------
    ConfigurationError
        When the document has faults; holds each one as a `Fault`.

    Examples
    --------
    >>> from mulberryhollow.protocol import document
    >>> with open("examples/production.ini", "rb") as file:
    ...     environment = document.parse(file.read(), version=7)
    >>> environment.name
    'production'
    """
    sections, faults = ini.read_sections(_decode(data))
    document_reader = reader.DocumentReader(sections, faults)
    councils = document_reader.read_all_of_kind("council", _read_council)
    services = document_reader.read_all_of_kind("service", _read_service)
    accounts = document_reader.read_all_of_kind(
        "client_account", _read_account
    )
    environment_values = _read_environment(
        document_reader.open_section("environment")
    )
    document_reader.check_section_kinds()
    faults.extend(references.check_references(councils, services, accounts))
    if faults:
        raise ConfigurationError(faults)
    return environment.Environment(
        councils=councils,
        accounts=accounts,
        services=services,
        version=version,
        digest=digest(data),
        **environment_values,
    )


def _decode(data):
    """Decode a document of at most `MAX_DOCUMENT_BYTES`."""
    if len(data) > MAX_DOCUMENT_BYTES:
        fault = Fault(
            "",
            "",
            f"{len(data)} bytes are above the limit of {MAX_DOCUMENT_BYTES}",
            "remove sections that are not in use",
        )
        raise ConfigurationError([fault])
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        fault = Fault(
            "",
            "",
            f"byte {error.start} is not UTF-8",
            "save the document in UTF-8",
        )
        raise ConfigurationError([fault]) from error


def _read_environment(section):
    """Return the values of the ``[environment]`` section."""
    environment_values = {
        "name": section.read("name", values.convert_name),
        "budget_per_hour": section.read(
            "budget_per_hour", values.convert_positive
        ),
        "capacity_tokens_per_s": section.read(
            "capacity_tokens_per_s", values.convert_positive
        ),
    }
    section.check_unknown_keys()
    return environment_values


def _read_council(section, name):
    """Return the Council in a section."""
    key_hash = section.read("operator_key_hash", values.convert_key_hash, "")
    return environment.Council(name, key_hash)


def _read_account(section, name):
    """Return the Account in a section."""
    return environment.Account(
        name=name,
        council=section.read("council", values.convert_name),
        key_hash=section.read("key_hash", values.convert_key_hash),
        weight=section.read("weight", values.convert_positive, 1.0),
        services=section.read("services", values.convert_names, ()),
    )


def _read_service(section, name):
    """Return the Service in a section, with its versions."""
    version_names = section.read("versions", values.convert_names) or ()
    service = environment.Service(
        name=name,
        council=section.read("council", values.convert_name),
        kind=section.read("kind", values.convert_kind),
        classes=section.read("classes", values.convert_classes) or (),
        version=section.read("version", values.convert_name),
        versions=tuple(
            environment.Version(each, name) for each in version_names
        ),
    )
    _check_service(section, service, version_names)
    return service


def _check_service(section, service, version_names):
    """Add a fault for each pair of keys that contradict each other."""
    if service.version and service.version not in version_names:
        section.add_fault(
            "version",
            f"{service.version!r} is not among the versions",
            "add it to versions or set version to one of them",
        )
    is_model = service.kind is environment.ServiceKind.MODEL
    if is_model and environment.RequestClass.BOOKING in service.classes:
        section.add_fault(
            "classes",
            "a model service does not accept bookings",
            "remove booking or set kind = plain",
        )
