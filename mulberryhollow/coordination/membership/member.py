"""Members, their status and the encoding of both."""

import enum
import json

import attrs

from mulberryhollow.state import decoding
from mulberryhollow.state import facts
from mulberryhollow.state import known_fields

__all__ = [
    "MEMBER_EXPIRY_S",
    "Member",
    "MemberState",
    "MemberStatus",
    "MemberView",
    "decode_fact",
    "decode_registration",
    "decode_status",
    "encode_fact",
    "encode_registration",
    "find_next_incarnation",
]

MEMBER_EXPIRY_S = 10_800.0
"""Time after which a member fact that is not refreshed expires, in
seconds."""

_STATUS_BITS = 2
_RENEWAL_BITS = 19
_FIELD_COUNT = 5


class MemberStatus(enum.IntEnum):
    """Status of a member; the higher value wins within one renewal."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@attrs.frozen
class Member:
    """One daemon process that is a member of the cluster.

    Parameters
    ----------
    instance_id : str
        Id of the instance that the process runs on.
    incarnation : int
        Number of the process, which grows with each restart: the time of its
        start in milliseconds since the Unix epoch, see
        `find_next_incarnation`.
    peer_address : str
        ``HOST:PORT`` of the peer server.
    http_address : str
        ``HOST:PORT`` of the HTTP server.
    failure_domain : str
        Failure domain of the instance.
    region : str
        Region of the failure domain.
    started_s : float
        Start of the process, in seconds since the Unix epoch.
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
    """A member and its status, ordered by version.

    Parameters
    ----------
    member : Member
        The member.
    renewals : int
        How often the process refuted a suspicion or refreshed its fact.
    status : MemberStatus
        Status of the member.
    """

    member: Member
    renewals: int = 0
    status: MemberStatus = MemberStatus.ALIVE

    @property
    def version(self):
        """Incarnation, renewals and status packed into one integer.

        A newer state of the same member has a greater version.
        """
        renewed = (self.member.incarnation << _RENEWAL_BITS) | self.renewals
        return (renewed << _STATUS_BITS) | int(self.status)


@attrs.frozen
class MemberView:
    """One node's view of a member.

    Parameters
    ----------
    member : Member
        The member.
    status : MemberStatus
        Status of the member.
    is_reachable : bool
        False while this node gets no answer from the member's failure
        domain.
    """

    member: Member
    status: MemberStatus
    is_reachable: bool

    @property
    def is_usable(self):
        """Whether requests can be sent to the member."""
        return self.status is MemberStatus.ALIVE and self.is_reachable


def find_next_incarnation(wall_s, previous=0):
    """Return the incarnation of a process that starts now.

    Parameters
    ----------
    wall_s : float
        Wall-clock time, in seconds since the Unix epoch.
    previous : int
        Incarnation found in the instance's registration object; 0 when
        there is none. The result is always greater, even if the clock of
        the instance was set back.
    """
    return max(int(wall_s * 1000), previous + 1)


def encode_fact(state, wall_s):
    """Return the fact that encodes a member's state.

    Parameters
    ----------
    state : MemberState
        The state.
    wall_s : float
        Wall-clock time, in seconds since the Unix epoch, from which the
        fact's expiry counts.
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


def decode_status(fact):
    """Return the status encoded in a member fact's version."""
    return MemberStatus(fact.version & ((1 << _STATUS_BITS) - 1))


def decode_fact(fact):
    """Return the member's state encoded in a member fact.

    Fields that a newer build adds are ignored.

    Raises
    ------
    ValueError
        When the fact's value does not encode a member.
    """
    status = decode_status(fact)
    renewed = fact.version >> _STATUS_BITS
    renewals = renewed & ((1 << _RENEWAL_BITS) - 1)
    with decoding.convert_errors("member fact"):
        fields = [*decoding.decode_json(fact.value)]
        if len(fields) < _FIELD_COUNT:
            raise ValueError(f"{len(fields)} fields")
        incarnation = renewed >> _RENEWAL_BITS
        member = Member(fact.key, incarnation, *fields[:_FIELD_COUNT])
        return MemberState(_check(member), renewals, status)


def encode_registration(member):
    """Return the value of a member's registration object, as JSON."""
    return json.dumps(attrs.asdict(member), sort_keys=True).encode()


def decode_registration(value):
    """Return the member encoded in a registration object's value.

    Fields that a newer build adds are ignored.

    Raises
    ------
    ValueError
        When the value does not encode a member.
    """
    with decoding.convert_errors("registration object"):
        fields = known_fields.select_known(Member, decoding.decode_json(value))
        return _check(Member(**fields))


def _check(member):
    """Return a member whose fields have the right types and ranges.

    Raises
    ------
    TypeError, ValueError
    """
    fields = attrs.asdict(member)
    decoding.check_name(member.instance_id, "instance_id")
    for name in ("failure_domain", "region"):
        # A deployment with one of them may leave its name empty.
        if fields[name] != "":
            decoding.check_name(fields[name], name)
    for name in ("peer_address", "http_address"):
        # An instance without a page of its own has no address for it.
        if fields[name] != "":
            decoding.check_address(fields[name], name)
    decoding.get_integer(fields, "incarnation")
    decoding.get_number(fields, "started_s")
    return member
