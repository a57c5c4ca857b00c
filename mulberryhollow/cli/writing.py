"""Conditional writes whose lost answers are settled by their change id."""

from mulberryhollow.cli import report
from mulberryhollow.coordination.configuration import Conflict
from mulberryhollow.errors import StoreUnavailableError
from mulberryhollow.state import objects
from mulberryhollow.transport.store import make_change_id

__all__ = [
    "make_conflict_report",
    "make_object",
    "report_write",
    "write",
]

_ATTEMPTS = 3


def write(store, wanted):
    """Write an object on the version it was made from.

    Parameters
    ----------
    store : transport.store.StoreClient
        The object API.
    wanted : state.objects.StoredObject
        The new value with the version to replace, 0 to create, and an
        own change id.

    Returns
    -------
    WriteApplied, WriteRejected or WriteOutcomeUnknown
        WriteOutcomeUnknown when no read settles whether the write took effect.

    Notes
    -----
    A repetition is safe: it is conditional on the same version, so only
    one of the attempts can take effect.
    """
    is_uncertain = False
    for _attempt in range(_ATTEMPTS):
        outcome = store.put(
            wanted.kind,
            wanted.name,
            wanted.value,
            wanted.version,
            wanted.change_id,
        )
        match outcome:
            case objects.WriteApplied():
                return outcome
            case objects.WriteRejected() if not is_uncertain:
                return outcome
            case objects.WriteRejected(reason="conflict"):
                return _settle(store, wanted)
            case _:
                is_uncertain = True
    return objects.WriteOutcomeUnknown("no answer settled the write")


def _settle(store, wanted):
    """Return whether an earlier attempt is what a later one met."""
    for _attempt in range(_ATTEMPTS):
        try:
            found = store.get(wanted.kind, wanted.name)
        except StoreUnavailableError:
            continue
        if found and found.change_id == wanted.change_id:
            return objects.WriteApplied(found.version)
    return objects.WriteOutcomeUnknown("another change stands in its place")


def report_write(outcome, wanted, done, data):
    """Return the report of a write.

    Parameters
    ----------
    outcome : WriteApplied, WriteRejected or WriteOutcomeUnknown
        What `write` returned.
    wanted : state.objects.StoredObject
        What it was given.
    done : str
        Outcome to report when it took effect.
    data : dict
        Further keys of the report.
    """
    where = f"{wanted.kind} {wanted.name}"
    data = {**data, "change_id": wanted.change_id}
    match outcome:
        case objects.WriteApplied(version):
            return report.Report(
                done,
                f"{where}: {done}, version {version}",
                {**data, "version": version},
            )
        case objects.WriteRejected("conflict", current_version):
            return make_conflict_report(
                Conflict(wanted.version, current_version), where
            )
        case objects.WriteRejected("unavailable"):
            raise StoreUnavailableError(
                "the store is down; nothing was changed",
                "repeat the command once the platform answers",
            )
        case objects.WriteRejected(reason):
            return report.Report(
                "refused",
                f"{where}: the store {reason}; nothing was changed",
                {**data, "reason": reason},
                report.ExitCode.REFUSED,
            )
        case objects.WriteOutcomeUnknown(reason):
            return _make_unknown_report(where, reason, data)


def make_conflict_report(conflict, where):
    """Return the report of a change that came second.

    Parameters
    ----------
    conflict : coordination.configuration.Conflict
        The conflict.
    where : str
        What was to be changed.
    """
    return report.Report(
        "conflict",
        f"{where}: made from version {conflict.base_version}, but the store"
        f" has {conflict.current_version}; {conflict.remedy}",
        {
            "base_version": conflict.base_version,
            "current_version": conflict.current_version,
            "remedy": conflict.remedy,
        },
        report.ExitCode.CONFLICT,
    )


def _make_unknown_report(where, reason, data):
    """Return the report of a write whose outcome stays unknown."""
    remedy = (
        "run `mulberryhollow show` once the platform answers and compare the"
        " change id"
    )
    return report.Report(
        "unknown",
        f"{where}: outcome unknown, {reason}; {remedy}",
        {**data, "reason": reason, "remedy": remedy},
        report.ExitCode.OUTCOME_UNKNOWN,
    )


def make_object(kind, name, base_version, value):
    """Return the object to write, with a change id of its own."""
    return objects.StoredObject(
        kind, name, base_version, value, make_change_id()
    )
