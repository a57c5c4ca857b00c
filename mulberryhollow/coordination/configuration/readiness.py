"""Whether an instance may stay with the balancer."""

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
"""Longest time without store and peers while ready, in seconds."""


class NotReadyReason(enum.Enum):
    """Why an instance leaves the balancer."""

    NO_DOCUMENT = "no document is in force yet"
    CUT_OFF = "neither the store nor a peer has answered"


@dataclasses.dataclass(frozen=True)
class Ready:
    """The instance takes requests."""


@dataclasses.dataclass(frozen=True)
class NotReady:
    """The instance takes no requests.

    Parameters
    ----------
    reason : NotReadyReason
        Why not.
    """

    reason: NotReadyReason


def decide_ready(
    now_s, last_store_contact_s, last_peer_contact_s, has_document
):
    """Decide whether an instance may take requests.

    Parameters
    ----------
    now_s : float
        Monotonic time, in seconds.
    last_store_contact_s, last_peer_contact_s : float or None
        When the store and any peer last answered, on the same clock;
        None when never.
    has_document : bool
        Whether a document is in force.

    Returns
    -------
    Ready or NotReady
        The decision.

    Notes
    -----
    A store outage with live peers changes nothing, and neither does a
    lack of peers while the store answers. An instance that hears neither
    cannot know whether its document is current.
    """
    if not has_document:
        return NotReady(NotReadyReason.NO_DOCUMENT)
    contacts_s = (last_store_contact_s, last_peer_contact_s)
    ages_s = [now_s - at_s for at_s in contacts_s if at_s is not None]
    if any(age_s <= CUT_OFF_AFTER_S for age_s in ages_s):
        return Ready()
    return NotReady(NotReadyReason.CUT_OFF)
