"""SWIM-style membership and gossip of facts between peers."""

from mulberryhollow.coordination.membership.budget import BUDGET_BYTES_PER_S
from mulberryhollow.coordination.membership.budget import ByteBudget
from mulberryhollow.coordination.membership.levels import encode_level
from mulberryhollow.coordination.membership.levels import LEVEL_REFRESH_S
from mulberryhollow.coordination.membership.levels import list_levels
from mulberryhollow.coordination.membership.levels import PROTOCOL_LEVEL
from mulberryhollow.coordination.membership.member import decode_fact
from mulberryhollow.coordination.membership.member import decode_registration
from mulberryhollow.coordination.membership.member import encode_fact
from mulberryhollow.coordination.membership.member import encode_registration
from mulberryhollow.coordination.membership.member import find_next_incarnation
from mulberryhollow.coordination.membership.member import Member
from mulberryhollow.coordination.membership.member import MemberState
from mulberryhollow.coordination.membership.member import MemberStatus
from mulberryhollow.coordination.membership.member import MemberView
from mulberryhollow.coordination.membership.messages import AskProbe
from mulberryhollow.coordination.membership.messages import Exchange
from mulberryhollow.coordination.membership.messages import SendExchange
from mulberryhollow.coordination.membership.node import PeerNode
from mulberryhollow.coordination.membership.registration import KIND
from mulberryhollow.coordination.membership.registration import list_removable
from mulberryhollow.coordination.membership.registration import plan_start
from mulberryhollow.coordination.membership.registration import StartPlan
from mulberryhollow.coordination.membership.state_machine import Membership
from mulberryhollow.coordination.membership.state_machine import ROUND_S
from mulberryhollow.coordination.membership.state_machine import SUSPICION_S
from mulberryhollow.coordination.membership.topology import rank_by_rendezvous
from mulberryhollow.coordination.membership.topology import RELAYS_PER_DOMAIN
from mulberryhollow.coordination.membership.topology import Topology

__all__ = [
    "AskProbe",
    "BUDGET_BYTES_PER_S",
    "ByteBudget",
    "Exchange",
    "KIND",
    "LEVEL_REFRESH_S",
    "Member",
    "MemberState",
    "MemberStatus",
    "MemberView",
    "Membership",
    "PROTOCOL_LEVEL",
    "PeerNode",
    "RELAYS_PER_DOMAIN",
    "ROUND_S",
    "SUSPICION_S",
    "SendExchange",
    "StartPlan",
    "Topology",
    "decode_fact",
    "decode_registration",
    "encode_fact",
    "encode_level",
    "encode_registration",
    "find_next_incarnation",
    "list_levels",
    "list_removable",
    "plan_start",
    "rank_by_rendezvous",
]
