"""Protocol levels: which elements on the wire an instance's build knows.

A level is carried by a notice, which builds from before the levels ignore.
An element that an older build cannot decode is sent from the level on with
which it was introduced, see docs/upgrades.md.
"""

from mulberryhollow.state import facts

__all__ = [
    "LEVEL_REFRESH_S",
    "PROTOCOL_LEVEL",
    "encode_level",
    "list_levels",
]

PROTOCOL_LEVEL = 1
"""Protocol level of this build; raised with each new element on the wire."""

LEVEL_REFRESH_S = 3_600.0
"""Interval at which an instance publishes its level again, in seconds."""

LEVEL_EXPIRY_S = 10_800.0
"""Time after which the level of an instance expires, in seconds.

It outlives two refreshes that were lost.
"""

_RENEWAL_BITS = 19


def encode_level(member, renewals, wall_s, level=PROTOCOL_LEVEL):
    """Return the fact that tells the level of a member's process.

    Parameters
    ----------
    member : Member
        The member.
    renewals : int
        How often the process has published its level before.
    wall_s : float
        Wall-clock time, in seconds since the Unix epoch.
    level : int
        Protocol level of the process.
    """
    return facts.Fact(
        facts.Topic.NOTICE,
        f"{facts.LEVEL} {member.instance_id}",
        member.incarnation << _RENEWAL_BITS | renewals,
        str(level).encode(),
        wall_s + LEVEL_EXPIRY_S,
    )


def list_levels(members, notices):
    """Return the protocol level of each of some members, by instance id.

    Parameters
    ----------
    members : iterable of Member
        The members.
    notices : iterable of Fact
        The notices that this instance holds.

    Notes
    -----
    A level counts only for the process that published it: after a rollback
    the notice of the newer build is still held everywhere, while the older
    build, with a higher incarnation, publishes none. A member without a
    level has level 0.
    """
    prefix = f"{facts.LEVEL} "
    levels = {
        (fact.key.removeprefix(prefix), fact.version >> _RENEWAL_BITS): fact
        for fact in notices
        if fact.key.startswith(prefix)
    }
    return {
        each.instance_id: _decode_level(
            levels.get((each.instance_id, each.incarnation))
        )
        for each in members
    }


def _decode_level(fact):
    """Return the level in a fact; 0 without one and for a malformed one."""
    try:
        return max(0, int(fact.value)) if fact else 0
    except ValueError:
        return 0
