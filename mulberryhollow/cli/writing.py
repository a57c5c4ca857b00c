"""Conditional writes of objects in the store.

If the answer to a write is lost, the change id of the stored object shows
whether the write took effect.
"""

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

_MAX_ATTEMPTS = 3


def write(store, new_object):
    """Write an object, conditional on its base version.

    Parameters
    ----------
    store : transport.store.StoreClient
        The object API.
    new_object : state.objects.StoredObject
        The new value with the version to replace (0 to create) and a
        change id of its own.

    Returns
    -------
    WriteApplied, WriteRejected or WriteOutcomeUnknown
        WriteOutcomeUnknown when neither the attempts nor the reads after
        a conflict show whether the write took effect.

    Notes
    -----
    A retry is safe: every attempt is conditional on the same version, so
    only one of the attempts can take effect.
    """
    is_uncertain = False
    for _attempt in range(_MAX_ATTEMPTS):
        outcome = store.put(
            new_object.kind,
            new_object.name,
            new_object.value,
            new_object.version,
            new_object.change_id,
        )
        match outcome:
            case objects.WriteApplied():
                return outcome
            case objects.WriteRejected() if not is_uncertain:
                return outcome
            case objects.WriteRejected(reason="conflict"):
                return _resolve(store, new_object)
            case _:
                is_uncertain = True
    return objects.WriteOutcomeUnknown("no attempt got a definite answer")


def _resolve(store, new_object):
    """Return the outcome of a write after a conflict of a later attempt.

    If the stored object has the change id of the write, then an earlier
    attempt took effect and caused the conflict.
    """
    for _attempt in range(_MAX_ATTEMPTS):
        try:
            found = store.get(new_object.kind, new_object.name)
        except StoreUnavailableError:
            continue
        if found and found.change_id == new_object.change_id:
            return objects.WriteApplied(found.version)
    return objects.WriteOutcomeUnknown(
        "the stored object has another change id"
    )


def report_write(outcome, new_object, success_outcome, data):
    """Return the report of a write.

    Parameters
    ----------
    outcome : WriteApplied, WriteRejected or WriteOutcomeUnknown
        Return value of `write`.
    new_object : state.objects.StoredObject
        The object that was passed to `write`.
    success_outcome : str
        Outcome to report when the write took effect.
    data : dict
        Other keys of the report.

    Raises
    ------
    StoreUnavailableError
        When the write was rejected because the store was not available.
    """
    where = f"{new_object.kind} {new_object.name}"
    data = {**data, "change_id": new_object.change_id}
    match outcome:
        case objects.WriteApplied(version):
            return report.Report(
                success_outcome,
                f"{where}: {success_outcome}, version {version}",
                {**data, "version": version},
            )
        case objects.WriteRejected("conflict", current_version):
            return make_conflict_report(
                Conflict(new_object.version, current_version), where
            )
        case objects.WriteRejected("unavailable"):
            raise StoreUnavailableError(
                "the store is down; nothing was changed",
                "repeat the command once the platform answers",
            )
        case objects.WriteRejected(reason):
            return report.Report(
                "refused",
                f"{where}: the store rejected the write, {reason};"
                " nothing was changed",
                {**data, "reason": reason},
                report.ExitCode.REFUSED,
            )
        case objects.WriteOutcomeUnknown(reason):
            return _make_unknown_report(where, reason, data)


def make_conflict_report(conflict, where):
    """Return the report of a change whose base version is outdated.

    Parameters
    ----------
    conflict : coordination.configuration.Conflict
        The conflict.
    where : str
        Kind and name of the object that was to be changed.
    """
    return report.Report(
        "conflict",
        f"{where}: based on version {conflict.base_version}, but the store"
        f" has {conflict.current_version}; {conflict.remedy}",
        {
            "base_version": conflict.base_version,
            "current_version": conflict.current_version,
            "remedy": conflict.remedy,
        },
        report.ExitCode.CONFLICT,
    )


def _make_unknown_report(where, reason, data):
    """Return the report of a write whose outcome is unknown."""
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
