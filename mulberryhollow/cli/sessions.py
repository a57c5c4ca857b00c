"""Access of commands to the store, the instances and the clock."""

import attrs
import urllib3

from mulberryhollow.clock import Clock
from mulberryhollow.clock import SystemClock
from mulberryhollow.errors import PeerError
from mulberryhollow.transport import bounded_pool
from mulberryhollow.transport.store import split_address
from mulberryhollow.transport.store import StoreClient

__all__ = ["Session", "fetch"]

_OK = 200


def fetch(address, path, timeout_s):
    """Return the body of a GET request to an instance.

    Parameters
    ----------
    address : str
        ``host:port`` of the instance.
    path : str
        Path of the resource.
    timeout_s : float
        Timeout of the request, in seconds.

    Raises
    ------
    PeerError
        When the instance gave no usable answer.
    """
    remedy = "see docs/OPERATIONS.md on instances that do not answer"
    try:
        answer = bounded_pool.fetch(*split_address(address), path, timeout_s)
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        raise PeerError(f"{address} does not answer: {error}", remedy) from (
            error
        )
    if answer.status != _OK:
        raise PeerError(
            f"{address} answers with HTTP status {answer.status}", remedy
        )
    return answer.data


@attrs.frozen
class Session:
    """External dependencies of a command; tests replace them.

    Parameters
    ----------
    open_store : callable
        ``open_store(address, timeout_s)`` returns a StoreClient.
    fetch : callable
        ``fetch(address, path, timeout_s)`` returns the body of a GET
        request to an instance, like the function `fetch`.
    clock : Clock
        Source of time.
    """

    open_store: object = StoreClient
    fetch: object = fetch
    clock: Clock = attrs.field(factory=SystemClock)
