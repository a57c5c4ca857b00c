"""Which version of a service is in use, beside the document."""

from mulberryhollow.coordination.configuration.fault import Fault
from mulberryhollow.coordination.rollout.record import Stage

__all__ = ["check_versions", "find_in_use"]


def find_in_use(service, move):
    """Return the version that a service uses when no move shifts it.

    Parameters
    ----------
    service : state.environment.Service
        The service in the document in force.
    move : coordination.rollout.Move or None
        The latest record of its moves.

    Returns
    -------
    str
        The new version of a move that is done, until the document names
        it; otherwise the ``version`` of the document.
    """
    if move is None or move.from_version != service.version:
        return service.version
    return move.to_version if move.stage is Stage.DONE else service.version


def check_versions(before, after, moves):
    """Check that a change of the document shifts no requests by itself.

    Parameters
    ----------
    before : state.environment.Environment or None
        The document in force; None when there is none.
    after : state.environment.Environment
        The document wanted.
    moves : iterable of coordination.rollout.Move
        The records of the environment's moves.

    Returns
    -------
    tuple of Fault
        One for each ``version`` changed without a move that is done, and
        for each declared version left out while it is in use.
    """
    if before is None:
        return ()
    by_service = {move.service: move for move in moves}
    kept = sorted(before.services.keys() & after.services.keys())
    return tuple(
        fault
        for name in kept
        for fault in _check_service(
            before.services[name],
            after.services[name],
            by_service.get(name),
        )
    )


def _check_service(old, new, move):
    """Yield the faults of one service that is kept."""
    heading = f"service {old.name}"
    in_use = find_in_use(old, move)
    if new.version not in (old.version, in_use):
        yield Fault(
            heading,
            "version",
            f"would send every request to {new.version!r} at once",
            f"leave it at {in_use!r} and run `mulberryhollow move start`",
        )
    needed = {in_use}
    if move is not None and not move.stage.is_final:
        needed |= {move.from_version, move.to_version}
    for name in sorted(needed - _list_names(new)):
        yield Fault(
            heading,
            "versions",
            f"leaves out {name!r}, which is in use",
            "keep it until a move to another version is done",
        )


def _list_names(service):
    """Return the names of a service's declared versions."""
    return {version.name for version in service.versions}
