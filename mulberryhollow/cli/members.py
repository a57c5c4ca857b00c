"""Queries to all registered instances."""

from concurrent import futures

import attrs

from mulberryhollow.coordination import membership
from mulberryhollow.errors import PeerError

__all__ = ["Answer", "list_registered", "query_instances"]

MEMBER_KIND = "member"
"""Kind of the objects with which instances register at their start."""

_MAX_CONCURRENT_QUERIES = 16


@attrs.frozen
class Answer:
    """Answer of one instance to a query.

    Parameters
    ----------
    member : coordination.membership.Member
        The instance.
    content : object or None
        The decoded answer; None when there was no usable one.
    error : str
        Reason why there is no usable answer; empty if there is one.
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


def query_instances(session, members, path, decode, timeout_s):
    """Query instances concurrently, at most 16 at a time.

    Parameters
    ----------
    session : Session
        Session whose ``fetch`` sends the requests.
    members : list of coordination.membership.Member
        Instances to query.
    path : str
        Path of the resource.
    decode : callable
        Decodes a response body; raises ValueError if it is malformed.
    timeout_s : float
        Timeout of each request, in seconds.

    Returns
    -------
    list of Answer
        One for each instance, in the same order.
    """

    def query_instance(member):
        try:
            body = session.fetch(member.http_address, path, timeout_s)
            return Answer(member, decode(body))
        except (PeerError, ValueError) as error:
            return Answer(member, None, str(error))

    with futures.ThreadPoolExecutor(_MAX_CONCURRENT_QUERIES) as pool:
        return list(pool.map(query_instance, members))


def _decode(item):
    """Return the member of a registration; None if it is malformed."""
    try:
        return membership.decode_registration(item.value)
    except ValueError:
        return None
