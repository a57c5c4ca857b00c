"""Changes of a document: permissions and the check of the base version."""

import dataclasses

import attrs

from mulberryhollow.coordination.configuration.fault import Fault
from mulberryhollow.coordination.configuration.versions import check_versions
from mulberryhollow.errors import ConfigurationError

__all__ = [
    "ALL_COUNCILS",
    "OPERATORS",
    "Allowed",
    "Change",
    "Conflict",
    "Refused",
    "check_change",
    "decide_change",
    "list_changes",
]

ALL_COUNCILS = "all"
"""Council name of a change on which all councils agree."""

OPERATORS = "operators"
"""Name of the council that may change the shared section."""

_SHARED_KEYS = ("name", "budget_per_hour", "capacity_tokens_per_s")


@attrs.frozen
class Change:
    """A new document that an operator wants to make active.

    Parameters
    ----------
    environment : str
        Name of the object that holds the document.
    base_version : int
        Version on which the change is based; 0 for the first document.
    data : bytes
        The whole new document.
    council : str
        The council that makes the change, or `ALL_COUNCILS`.
    """

    environment: str
    base_version: int
    data: bytes
    council: str


@dataclasses.dataclass(frozen=True)
class Allowed:
    """The change may be written over its base version."""


@dataclasses.dataclass(frozen=True)
class Refused:
    """The change is invalid or not permitted.

    Parameters
    ----------
    faults : tuple of Fault
        All faults found.
    """

    faults: tuple


@dataclasses.dataclass(frozen=True)
class Conflict:
    """The document has been changed since the base version.

    Parameters
    ----------
    base_version, current_version : int
        Version on which the change is based, and stored version; 0 when
        not known.
    remedy : str
        What the operator can do about it.
    """

    base_version: int
    current_version: int
    remedy: str = (
        "run `mulberryhollow show` and `diff` on the new version, merge, and"
        " apply with its number as --base-version"
    )


def decide_change(change, current, parse, moves=()):
    """Decide whether a change may be written.

    Parameters
    ----------
    change : Change
        The requested change.
    current : state.objects.StoredObject or None
        The stored object, just read; None when there is none.
    parse : callable
        ``parse(data, version)``, as `protocol.document.parse`.
    moves : iterable of coordination.rollout.Move
        The move records of the environment.

    Returns
    -------
    Allowed, Refused or Conflict
        A conflict takes precedence over faults, since the other change may
        have caused them.

    Notes
    -----
    The write must still be conditional on the base version: the read may
    be stale, and another operator may write between the read and the
    write.
    """
    current_version = current.version if current else 0
    if current_version != change.base_version:
        return Conflict(change.base_version, current_version)
    try:
        after = parse(change.data, 0)
    except ConfigurationError as error:
        return Refused(error.faults)
    try:
        before = parse(current.value, current_version) if current else None
    except ConfigurationError:
        return _decide_repair(change)
    faults = check_change(before, after, change.council)
    faults += check_versions(before, after, moves)
    return Refused(faults) if faults else Allowed()


def _decide_repair(change):
    """Decide on a change when the stored document cannot be parsed."""
    if change.council == ALL_COUNCILS:
        return Allowed()
    fault = Fault(
        "",
        "",
        "the stored document is invalid, so the owners of its sections are"
        " not known",
        f"apply the change as the council {ALL_COUNCILS!r}",
    )
    return Refused((fault,))


def check_change(before, after, council):
    """Check that a council changes only its own sections.

    Parameters
    ----------
    before : state.environment.Environment or None
        The active document; None when there is none, and then every
        change is allowed.
    after : state.environment.Environment
        The new document.
    council : str
        The council that makes the change, or `ALL_COUNCILS`.

    Returns
    -------
    tuple of Fault
        One for each changed section and each other council that owns it.

    Notes
    -----
    A change of a section's owner needs both the old and the new owner.
    Adding or removing a council belongs to the council `OPERATORS`, as the
    shared section does.
    """
    if before is None or council == ALL_COUNCILS:
        return ()
    return tuple(
        Fault(
            heading,
            "",
            f"belongs to {owner}, not to the council {council!r}",
            "leave the section unchanged, or have its owner apply the change",
        )
        for heading, owners in list_changes(before, after)
        for owner in sorted(owners - {council})
    )


def list_changes(before, after):
    """Yield (heading, owners) of each section that differs.

    Parameters
    ----------
    before, after : state.environment.Environment
        The two documents to be compared.

    Yields
    ------
    tuple
        The section's heading and the set of councils that must agree.
    """
    if _get_shared_values(before) != _get_shared_values(after):
        yield "environment", {OPERATORS}
    yield from _list_council_changes(before.councils, after.councils)
    groups = (
        ("service", before.services, after.services),
        ("client_account", before.accounts, after.accounts),
    )
    for kind, old, new in groups:
        for name in _list_changed_names(old, new):
            sides = (old.get(name), new.get(name))
            owners = {side.council for side in sides if side}
            yield f"{kind} {name}", owners


def _get_shared_values(environment):
    """Return the values of the shared section."""
    return [getattr(environment, key) for key in _SHARED_KEYS]


def _list_council_changes(old, new):
    """Yield (heading, owners) of each council that differs."""
    for name in _list_changed_names(old, new):
        is_in_both = name in old and name in new
        yield f"council {name}", {name if is_in_both else OPERATORS}


def _list_changed_names(old, new):
    """Return the names whose objects differ, sorted."""
    names = sorted(old.keys() | new.keys())
    return [name for name in names if old.get(name) != new.get(name)]
