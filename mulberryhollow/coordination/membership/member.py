"""Members, their standing and how both are written down."""

import enum
import json

import attrs

from mulberryhollow.state import facts

__all__ = [
    "MEMBER_EXPIRY_S",
    "Member",
    "MemberState",
    "MemberView",
    "Standing",
    "decode_fact",
    "decode_registration",
    "encode_fact",
    "encode_registration",
    "find_next_incarnation",
    "find_standing",
]

MEMBER_EXPIRY_S = 10_800.0
"""Time after which an unrefreshed member fact is dropped, in seconds."""

_STANDING_BITS = 2
_RENEWAL_BITS = 19
_FIELDS = 5


class Standing(enum.IntEnum):
    """How a member stands; a higher one wins within a renewal."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@attrs.frozen
class Member:
    """One daemon process that takes part.

    Parameters
    ----------
    instance_id : str
        Id of its instance.
    incarnation : int
        Number of the process, which grows over restarts: its start in
        milliseconds since the Unix epoch, see `find_next_incarnation`.
    peer_address : str
        ``HOST:PORT`` of its peer server.
    http_address : str
        ``HOST:PORT`` of its HTTP server.
    failure_domain : str
        Its failure domain.
    region : str
        The region of its failure domain.
    started_s : float
        Its start, in seconds since the Unix epoch.
    """

    instance_id: str
    incarnation: int
    peer_address: str
    http_address: str
    failure_domain: str
    region: str
    started_s: float


@attrs.frozen
class MemberState:
    """A member with its standing, as one point of a total order.

    Parameters
    ----------
    member : Member
        The member.
    renewals : int
        How often the process answered a doubt or refreshed its fact.
    standing : Standing
        How it stands.
    """

    member: Member
    renewals: int = 0
    standing: Standing = Standing.ALIVE

    @property
    def version(self):
        """Incarnation, renewals and standing in one growing number."""
        renewed = (self.member.incarnation << _RENEWAL_BITS) | self.renewals
        return (renewed << _STANDING_BITS) | int(self.standing)


@attrs.frozen
class MemberView:
    """What one node holds of another.

    Parameters
    ----------
    member : Member
        The member.
    standing : Standing
        Its standing.
    is_reachable : bool
        False while this node gets no answer from its failure domain.
    """

    member: Member
    standing: Standing
    is_reachable: bool

    @property
    def is_usable(self):
        """Whether work can be sent there."""
        return self.standing is Standing.ALIVE and self.is_reachable


def find_next_incarnation(wall_s, previous=0):
    """Return the incarnation of a process that starts now.

    Parameters
    ----------
    wall_s : float
        Wall-clock time, in seconds since the Unix epoch.
    previous : int
        Incarnation found in the instance's registration object; 0 when
        there is none. It keeps the number growing when the clock of the
        instance was set back.
    """
    return max(int(wall_s * 1000), previous + 1)


def encode_fact(state, wall_s):
    """Return the fact that tells a member's state.

    Parameters
    ----------
    state : MemberState
        The state.
    wall_s : float
        Wall-clock time, from which its expiry counts, in seconds.
    """
    member = state.member
    fields = [
        member.peer_address,
        member.http_address,
        member.failure_domain,
        member.region,
        member.started_s,
    ]
    return facts.Fact(
        facts.Topic.MEMBER,
        member.instance_id,
        state.version,
        json.dumps(fields, separators=(",", ":")).encode(),
        wall_s + MEMBER_EXPIRY_S,
    )


def find_standing(fact):
    """Return the standing that a member fact tells."""
    return Standing(fact.version & ((1 << _STANDING_BITS) - 1))


def decode_fact(fact):
    """Return the state that a member fact tells.

    Raises
    ------
    ValueError
        When its value is not that of a member.
    """
    try:
        fields = [*json.loads(fact.value)]
    except TypeError as error:
        raise ValueError(f"not a member: {error}") from error
    if len(fields) != _FIELDS:
        raise ValueError(f"not a member: {len(fields)} fields")
    standing = find_standing(fact)
    renewed = fact.version >> _STANDING_BITS
    renewals = renewed & ((1 << _RENEWAL_BITS) - 1)
    member = Member(fact.key, renewed >> _RENEWAL_BITS, *fields)
    return MemberState(member, renewals, standing)


def encode_registration(member):
    """Return the value of a member's registration object."""
    return json.dumps(attrs.asdict(member), sort_keys=True).encode()


def decode_registration(value):
    """Return the member that a registration object names.

    Raises
    ------
    ValueError
        When the value is not that of a member.
    """
    try:
        return Member(**json.loads(value))
    except TypeError as error:
        raise ValueError(f"not a registration: {error}") from error
