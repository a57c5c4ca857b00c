"""Questions to every registered instance."""

from concurrent import futures

import attrs

from mulberryhollow.coordination import membership
from mulberryhollow.errors import PeerError

__all__ = ["Answer", "ask_all", "list_registered"]

MEMBER_KIND = "member"
"""Kind of the objects that instances write at their start."""

_THREADS = 16


@attrs.frozen
class Answer:
    """What an instance answered.

    Parameters
    ----------
    member : coordination.membership.Member
        The instance.
    content : object or None
        The decoded answer; None when there was no usable one.
    error : str
        Why there is none.
    """

    member: membership.Member
    content: object
    error: str = ""


def list_registered(store):
    """Return the registered instances, sorted by id.

    Raises
    ------
    StoreUnavailableError
        When the platform gave no usable answer.
    """
    _revision, items = store.list_objects(MEMBER_KIND)
    found = [_decode(item) for item in items]
    named = [member for member in found if member is not None]
    return sorted(named, key=lambda member: member.instance_id)


def ask_all(session, members, path, decode, timeout_s):
    """Ask every instance at once.

    Parameters
    ----------
    session : Session
        Whose ``fetch`` is used.
    members : list of coordination.membership.Member
        Whom to ask.
    path : str
        Path of the resource.
    decode : callable
        Turns a body into an object; raises ValueError.
    timeout_s : float
        Longest time of one question, in seconds.

    Returns
    -------
    list of Answer
        In the order of the instances.
    """

    def ask(member):
        try:
            body = session.fetch(member.http_address, path, timeout_s)
            return Answer(member, decode(body))
        except (PeerError, ValueError) as error:
            return Answer(member, None, str(error))

    with futures.ThreadPoolExecutor(_THREADS) as pool:
        return list(pool.map(ask, members))


def _decode(item):
    """Return the member that a registration names, or None."""
    try:
        return membership.decode_registration(item.value)
    except ValueError:
        return None
