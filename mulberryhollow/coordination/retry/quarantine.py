"""Requests that crash the endpoints that run them."""

import collections

import attrs
import xxhash

from mulberryhollow import errors

__all__ = ["CrashFact", "LostRequest", "Quarantine", "compute_fingerprint"]

CRASHES_TO_QUARANTINE = 2
FINGERPRINTS_KEPT = 4096


@attrs.frozen
class CrashFact:
    """A request took down an endpoint.

    Parameters
    ----------
    fingerprint : str
        What `compute_fingerprint` returned for the request.
    endpoint_id : str
        The endpoint that was gone after it.
    """

    fingerprint: str
    endpoint_id: str


@attrs.frozen
class LostRequest:
    """A request that was at an endpoint when its process went.

    Parameters
    ----------
    fingerprint : str
        What `compute_fingerprint` returned for the request.
    is_answering : bool
        Whether a part of its answer had come from that endpoint.
    """

    fingerprint: str
    is_answering: bool


def compute_fingerprint(service, request_class, body):
    """Return the fingerprint of a request, whoever sends it.

    Parameters
    ----------
    service : str
        The service that it calls.
    request_class : RequestClass
        Its class.
    body : bytes
        What the endpoint would run, without ids of the request.

    Returns
    -------
    str
        Hexadecimal xxh3-128.
    """
    state = xxhash.xxh3_128()
    for part in (service.encode(), request_class.value.encode(), body):
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.hexdigest()


class Quarantine:
    """Fingerprints and the different endpoints that each took down.

    Parameters
    ----------
    kept : int
        Most fingerprints that are kept; those with a single crash go
        first, the oldest of them first.

    Notes
    -----
    Facts are only added, so merging them from peers in any order and
    any number of times gives the same result.
    """

    def __init__(self, kept=FINGERPRINTS_KEPT):
        self._kept = kept
        self._suspects = collections.OrderedDict()
        self._condemned = collections.OrderedDict()

    def __len__(self):
        return len(self._suspects) + len(self._condemned)

    def record_crash(self, fingerprint, endpoint_id):
        """Add a crash; return whether the fingerprint is now refused.

        Parameters
        ----------
        fingerprint : str
            The request's fingerprint.
        endpoint_id : str
            The endpoint that lost the connection and is gone.
        """
        if fingerprint in self._condemned:
            return True
        crashed = self._suspects.setdefault(fingerprint, [])
        if endpoint_id not in crashed:
            crashed.append(endpoint_id)
        if len(crashed) >= CRASHES_TO_QUARANTINE:
            self._condemned[fingerprint] = self._suspects.pop(fingerprint)
        self._trim()
        return fingerprint in self._condemned

    def condemn(self, fingerprint):
        """Refuse a request that a peer refuses already.

        Parameters
        ----------
        fingerprint : str
            The request's fingerprint.
        """
        crashed = self._suspects.pop(fingerprint, [])
        self._condemned.setdefault(fingerprint, crashed)
        self._trim()

    def record_loss(self, endpoint_id, lost, is_leaving):
        """Add the crash of an endpoint that ran several requests.

        Parameters
        ----------
        endpoint_id : str
            The endpoint whose process is gone.
        lost : sequence of LostRequest
            What this node had in flight there.
        is_leaving : bool
            Whether the endpoint was marked as leaving; its end then says
            nothing about any request.

        Returns
        -------
        tuple of CrashFact
            What was added, for the peers. Requests whose answer was
            under way are suspected only when there is no other.
        """
        if is_leaving:
            return ()
        silent = [item for item in lost if not item.is_answering]
        facts = tuple(
            CrashFact(item.fingerprint, endpoint_id) for item in silent or lost
        )
        self.merge(facts)
        return facts

    def merge(self, facts):
        """Add crashes that a peer reports.

        Parameters
        ----------
        facts : iterable of CrashFact
            What the peer's `list_facts` returned.
        """
        for fact in facts:
            self.record_crash(fact.fingerprint, fact.endpoint_id)

    def list_facts(self):
        """Return every crash that is known, for a peer."""
        return [
            CrashFact(fingerprint, endpoint_id)
            for known in (self._condemned, self._suspects)
            for fingerprint, endpoints in known.items()
            for endpoint_id in endpoints
        ]

    def is_quarantined(self, fingerprint):
        """Return whether requests with the fingerprint are refused."""
        return fingerprint in self._condemned

    def is_suspect(self, fingerprint):
        """Return whether one endpoint went while it ran the request.

        Notes
        -----
        A suspect is best sent to an endpoint that runs no other suspect,
        so that a second crash blames a single request.
        """
        return fingerprint in self._suspects

    def check(self, fingerprint):
        """Return the refusal of a quarantined request; None otherwise."""
        if not self.is_quarantined(fingerprint):
            return None
        return errors.Refusal(
            errors.RefusalKind.QUARANTINED,
            "this request took down the endpoints that ran it",
            "change the request before sending it again",
            errors.Ran.NOT_RUN,
        )

    def _trim(self):
        """Forget the oldest fingerprints beyond the limit."""
        while len(self) > self._kept:
            oldest = self._suspects or self._condemned
            oldest.popitem(last=False)
