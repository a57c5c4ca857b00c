"""Readiness check: whether the load balancer may use an instance."""

import dataclasses
import enum

__all__ = [
    "CUT_OFF_AFTER_S",
    "NotReady",
    "NotReadyReason",
    "Ready",
    "decide_ready",
]

CUT_OFF_AFTER_S = 5.0
"""Time without an answer from the store or any peer after which an instance
is not ready, in seconds."""


class NotReadyReason(enum.Enum):
    """Why an instance is not ready for requests of the load balancer."""

    NO_DOCUMENT = "no document is active yet"
    CUT_OFF = "neither the store nor any peer has answered recently"


@dataclasses.dataclass(frozen=True)
class Ready:
    """The instance accepts requests."""


@dataclasses.dataclass(frozen=True)
class NotReady:
    """The instance accepts no requests.

    Parameters
    ----------
    reason : NotReadyReason
        Why it is not ready.
    """

    reason: NotReadyReason


def decide_ready(
    now_s, last_store_contact_s, last_peer_contact_s, has_document
):
    """Decide whether an instance may accept requests.

    Parameters
    ----------
    now_s : float
        Monotonic time, in seconds.
    last_store_contact_s, last_peer_contact_s : float or None
        When the store and any peer last answered, on the same clock, in
        seconds; None if never.
    has_document : bool
        Whether a document is active.

    Returns
    -------
    Ready or NotReady
        The decision.

    Notes
    -----
    An instance stays ready during a store outage while peers answer, and
    without peers while the store answers. An instance that reaches
    neither cannot know whether its document is current.
    """
    if not has_document:
        return NotReady(NotReadyReason.NO_DOCUMENT)
    contacts_s = (last_store_contact_s, last_peer_contact_s)
    ages_s = [now_s - at_s for at_s in contacts_s if at_s is not None]
    if any(age_s <= CUT_OFF_AFTER_S for age_s in ages_s):
        return Ready()
    return NotReady(NotReadyReason.CUT_OFF)
