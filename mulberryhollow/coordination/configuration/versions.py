"""The version of a service in use, from its document and its moves."""

from mulberryhollow.coordination.configuration.fault import Fault
from mulberryhollow.coordination.rollout.record import Stage

__all__ = ["check_versions", "find_in_use"]


def find_in_use(service, move):
    """Return the version that a service uses, apart from a running move.

    Parameters
    ----------
    service : state.environment.Service
        The service in the active document.
    move : coordination.rollout.Move or None
        The service's latest move record.

    Returns
    -------
    str
        The new version of a completed move, until the document names it;
        otherwise the ``version`` in the document.
    """
    if move is None or move.from_version != service.version:
        return service.version
    return move.to_version if move.stage is Stage.DONE else service.version


def check_versions(before, after, moves):
    """Check that a change of the document moves no requests by itself.

    Parameters
    ----------
    before : state.environment.Environment or None
        The active document; None when there is none.
    after : state.environment.Environment
        The new document.
    moves : iterable of coordination.rollout.Move
        The move records of the environment.

    Returns
    -------
    tuple of Fault
        One for each ``version`` changed without a completed move, and for
        each declared version removed while it is in use.
    """
    if before is None:
        return ()
    by_service = {move.service: move for move in moves}
    common = sorted(before.services.keys() & after.services.keys())
    return tuple(
        fault
        for name in common
        for fault in _check_service(
            before.services[name],
            after.services[name],
            by_service.get(name),
        )
    )


def _check_service(old, new, move):
    """Yield the faults of one service that both documents contain."""
    heading = f"service {old.name}"
    in_use = find_in_use(old, move)
    if new.version not in (old.version, in_use):
        yield Fault(
            heading,
            "version",
            f"would send every request to {new.version!r} at once",
            f"keep it at {in_use!r} and run `mulberryhollow move start`",
        )
    needed = {in_use}
    if move is not None and not move.stage.is_final:
        needed |= {move.from_version, move.to_version}
    for name in sorted(needed - _list_version_names(new)):
        yield Fault(
            heading,
            "versions",
            f"removes {name!r}, which is in use",
            "keep it until a move to another version is done",
        )


def _list_version_names(service):
    """Return the names of a service's declared versions."""
    return {version.name for version in service.versions}
