"""Registration objects in the store: creation and removal."""

import attrs

from mulberryhollow.coordination.membership import member as members
from mulberryhollow.coordination.membership import topology

__all__ = ["KIND", "StartPlan", "list_removable", "plan_start"]

KIND = "member"
"""Kind of the registration objects; an object's name is the instance id."""

_GONE = (members.MemberStatus.DEAD, members.MemberStatus.LEFT)


@attrs.frozen
class StartPlan:
    """Registration that a process writes before it sends peer messages.

    Parameters
    ----------
    member : Member
        The process with its new incarnation.
    object_version : int
        Version that the conditional write expects; 0 when the object must
        not exist.
    value : bytes
        Value of the registration object.
    seeds : tuple of Member
        The other registered members.
    """

    member: members.Member
    object_version: int
    value: bytes
    seeds: tuple


def plan_start(local_member, objects, wall_s):
    """Return the registration of a process that starts.

    Parameters
    ----------
    local_member : Member
        The process; its incarnation is replaced.
    objects : iterable of StoredObject
        The registration objects, as listed; malformed ones are ignored.
    wall_s : float
        Wall-clock time, in seconds since the Unix epoch.

    Returns
    -------
    StartPlan
        An incarnation above the one registered, and the seeds.

    Notes
    -----
    A version conflict of the write means that another process of the same
    instance has started: list the objects and plan again.
    """
    registered = dict(_read_all(objects))
    registered_before = [
        (stored, member)
        for stored, member in registered.items()
        if stored.name == local_member.instance_id
    ]
    stored_version = max(
        (stored.version for stored, _ in registered_before), default=0
    )
    previous = max(
        (member.incarnation for _, member in registered_before), default=0
    )
    incarnation = members.find_next_incarnation(wall_s, previous)
    starting = attrs.evolve(local_member, incarnation=incarnation)
    seeds = tuple(
        member
        for member in registered.values()
        if member.instance_id != local_member.instance_id
    )
    value = members.encode_registration(starting)
    return StartPlan(starting, stored_version, value, seeds)


def list_removable(local_id, views, objects, listed):
    """Return the registration objects that this node should remove.

    Parameters
    ----------
    local_id : str
        Instance id of this node.
    views : iterable of MemberView
        This node's views of the members.
    objects : iterable of StoredObject
        The registration objects, as listed.
    listed : collection of str
        Instance ids that the platform's list still names as live; the list
        may lag, which only delays the removal.

    Returns
    -------
    tuple of StoredObject
        Objects of members that are dead or have left. Empty unless this node
        ranks first among the usable members by rendezvous hash. The caller
        removes each object on condition of its version, so a process that
        registers again in the meantime keeps its object.
    """
    by_name = {view.member.instance_id: view for view in views}
    alive = [name for name, view in by_name.items() if view.is_usable]
    if topology.rank_by_rendezvous(KIND, alive)[:1] != [local_id]:
        return ()
    return tuple(
        stored
        for stored, member in _read_all(objects)
        if stored.name not in listed
        and _is_gone(by_name.get(stored.name), member)
    )


def _is_gone(view, registered):
    """Return whether the registered process is dead or has left."""
    if view is None or view.status not in _GONE:
        return False
    return view.member.incarnation >= registered.incarnation


def _read_all(objects):
    """Yield each well-formed object with its member."""
    for stored in objects:
        try:
            yield stored, members.decode_registration(stored.value)
        except ValueError:
            continue
