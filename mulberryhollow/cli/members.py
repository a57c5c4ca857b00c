"""Questions to every registered instance."""

from concurrent import futures
import json

import attrs

from mulberryhollow.errors import PeerError

__all__ = ["Answer", "RegisteredInstance", "ask_all", "list_registered"]

MEMBER_KIND = "member"
"""Kind of the objects that instances write at their start."""

_THREADS = 16


@attrs.frozen
class RegisteredInstance:
    """An instance as its registration object names it.

    Parameters
    ----------
    instance : str
        Its id.
    failure_domain : str
        Its failure domain.
    http_address : str
        ``host:port`` of its HTTP server.
    """

    instance: str
    failure_domain: str
    http_address: str


@attrs.frozen
class Answer:
    """What an instance answered.

    Parameters
    ----------
    member : RegisteredInstance
        The instance.
    content : object or None
        The decoded answer; None when there was no usable one.
    error : str
        Why there is none.
    """

    member: RegisteredInstance
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
    return sorted(named, key=lambda member: member.instance)


def ask_all(session, members, path, decode, timeout_s):
    """Ask every instance at once.

    Parameters
    ----------
    session : Session
        Whose ``fetch`` is used.
    members : list of RegisteredInstance
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
    """Return the instance that a registration names, or None."""
    try:
        fields = json.loads(item.value)
        return RegisteredInstance(
            str(fields["instance_id"]),
            str(fields["failure_domain"]),
            str(fields["http_address"]),
        )
    except (ValueError, KeyError, TypeError):
        return None
