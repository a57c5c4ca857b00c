"""Quarantine of requests that crash the endpoints executing them."""

import collections
import itertools
import math

import attrs
import xxhash

from mulberryhollow import errors

__all__ = [
    "CRASH_EXPIRY_S",
    "CrashFact",
    "LostRequest",
    "Quarantine",
    "SoundFact",
    "compute_fingerprint",
]

SHARED_WEIGHT = 0.5
"""Weight of a crash that other requests may have caused; else it is 1."""

MIN_WEIGHT = 2.0
"""Weight of crashes that quarantines a request without a completion."""

MIN_SOUND_WEIGHT = 3.0
"""Weight of crashes that quarantines a request that was completed before."""

MIN_LASTING_WEIGHT = 1.5
"""Weight of crashes from which a request is to be remembered by the store.

Most requests that are not the cause have been at fewer crashes.
"""

MIN_SOUND_SPAN_S = 3.0
"""Minimum time from the first to the last crash after a completion, in
seconds.

A request that many callers send is in flight at each of several endpoints
that fail at the same time.
"""

CRASH_EXPIRY_S = 24 * 3600.0
"""Age from which a crash no longer counts, in seconds."""

MAX_FINGERPRINTS = 4096
"""Maximum number of requests whose crashes are remembered."""

MAX_SOUND = 4096
"""Maximum number of requests whose completion is remembered."""


@attrs.frozen
class CrashFact:
    """An endpoint crashed while it executed a request.

    Parameters
    ----------
    fingerprint : str
        Result of `compute_fingerprint` for the request.
    endpoint_id : str
        The endpoint that crashed.
    at_s : float
        Time of the crash, in Unix seconds.
    is_shared : bool
        Whether the endpoint was answering other requests too, one of which
        may be the cause.
    """

    fingerprint: str
    endpoint_id: str
    at_s: float
    is_shared: bool = False

    @property
    def weight(self):
        """How much the crash counts against the request."""
        return SHARED_WEIGHT if self.is_shared else 1.0

    def join(self, other):
        """Return what two instances report of the same crash, as one."""
        return attrs.evolve(
            self,
            at_s=max(self.at_s, other.at_s),
            is_shared=self.is_shared and other.is_shared,
        )


@attrs.frozen
class SoundFact:
    """An endpoint executed a request to its end.

    Parameters
    ----------
    fingerprint : str
        Result of `compute_fingerprint` for the request.
    at_s : float
        Time of the end, in Unix seconds.
    """

    fingerprint: str
    at_s: float


@attrs.frozen
class LostRequest:
    """A request in flight at an endpoint whose process ended.

    Parameters
    ----------
    fingerprint : str
        Result of `compute_fingerprint` for the request.
    is_answering : bool
        Whether the endpoint had sent a part of the answer.
    """

    fingerprint: str
    is_answering: bool


@attrs.define
class _Completion:
    """Latest completion of a request.

    Parameters
    ----------
    at_s : float
        Time of the latest one that is known here, in Unix seconds.
    told_s : float
        Time of the latest one that all instances are told of.
    """

    at_s: float = -math.inf
    told_s: float = -math.inf


def compute_fingerprint(service, request_class, body):
    """Return a hash of a request that is independent of its caller.

    Parameters
    ----------
    service : str
        The service that the request calls.
    request_class : RequestClass
        Class of the request.
    body : bytes
        Input of the endpoint, without ids of the request.

    Returns
    -------
    str
        XXH3-128 hash in hexadecimal.
    """
    state = xxhash.xxh3_128()
    for part in (service.encode(), request_class.value.encode(), body):
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.hexdigest()


class Quarantine:
    """Requests, the endpoints that each crashed, and their completions.

    Parameters
    ----------
    max_fingerprints : int
        Maximum number of requests whose crashes are remembered. Beyond it,
        those that are not quarantined are evicted first, the oldest of them
        first.

    Notes
    -----
    A request that crashes each endpoint is never completed. A completion
    therefore clears a request of all earlier crashes, and a request that was
    completed before is only blamed for more of them, which must not be at the
    same time. A crash that other requests may have caused counts half.

    Crashes and completions are only added, and the latest completion counts,
    so merging them from peers in any order and any number of times gives the
    same result.
    """

    def __init__(self, max_fingerprints=MAX_FINGERPRINTS):
        self._max_fingerprints = max_fingerprints
        # Fingerprint to the crashes since its completion, by endpoint.
        self._suspects = collections.OrderedDict()
        self._quarantined = collections.OrderedDict()
        self._completions = collections.OrderedDict()

    def __len__(self):
        return len(self._suspects) + len(self._quarantined)

    def record_crash(self, crash):
        """Record a crash; return whether the request is quarantined now.

        Parameters
        ----------
        crash : CrashFact
            The connection to the endpoint was lost and its process is gone.
        """
        fingerprint = crash.fingerprint
        if crash.at_s > self._get_completed_s(fingerprint):
            is_refused = fingerprint in self._quarantined
            table = self._quarantined if is_refused else self._suspects
            crashes = table.setdefault(fingerprint, {})
            reported = crashes.get(crash.endpoint_id, crash)
            crashes[crash.endpoint_id] = crash.join(reported)
            self._place(fingerprint)
        return fingerprint in self._quarantined

    def record_completed(self, fingerprint, now_s):
        """Record that an endpoint executed a request to its end.

        Parameters
        ----------
        fingerprint : str
            The request's fingerprint.
        now_s : float
            Current time, in Unix seconds.

        Returns
        -------
        SoundFact or None
            Fact to be published to the peers, if crashes were recorded.
        """
        crashes = self._get_crashes(fingerprint)
        # The clock of the instance that reported a crash may be ahead.
        times = [crash.at_s for crash in crashes.values()]
        at_s = max([now_s, *times])
        self._complete(fingerprint, at_s)
        return self._tell(fingerprint) if crashes else None

    def mark_sound(self, sound):
        """Clear a request of whose completion all instances are told.

        Parameters
        ----------
        sound : SoundFact
            The completion. Crashes after it still count.
        """
        self._complete(sound.fingerprint, sound.at_s)
        completion = self._completions[sound.fingerprint]
        completion.told_s = max(completion.told_s, sound.at_s)

    def _complete(self, fingerprint, at_s):
        """Record a completion; judge a request by the crashes after it."""
        completion = self._completions.setdefault(fingerprint, _Completion())
        completion.at_s = max(completion.at_s, at_s)
        self._completions.move_to_end(fingerprint)
        if len(self._completions) > MAX_SOUND:
            self._completions.popitem(last=False)
        crashes = self._get_crashes(fingerprint)
        later = {
            endpoint_id: crash
            for endpoint_id, crash in crashes.items()
            if crash.at_s > completion.at_s
        }
        self._quarantined.pop(fingerprint, None)
        self._suspects.pop(fingerprint, None)
        if later:
            self._suspects[fingerprint] = later
            self._place(fingerprint)

    def mark_quarantined(self, crash):
        """Quarantine a request that a peer has quarantined.

        A request that is known to have been completed is not quarantined by
        the peer's word, but by its crashes.

        Parameters
        ----------
        crash : CrashFact
            The latest crash.
        """
        fingerprint = crash.fingerprint
        if self.record_crash(crash) or fingerprint in self._completions:
            return
        crashes = self._suspects.pop(fingerprint, {crash.endpoint_id: crash})
        self._quarantined[fingerprint] = crashes
        self._trim()

    def answer_crash(self, crash):
        """Return the SoundFact to be published after the crash of a peer.

        None unless a completion is known here that may keep the request out
        of the quarantine, and of which the peers are not told.
        """
        completion = self._completions.get(crash.fingerprint)
        if completion is None or completion.told_s >= completion.at_s:
            return None
        is_cleared = crash.at_s <= completion.at_s
        is_told = crash.at_s <= completion.told_s
        weight = _weigh(self._suspects.get(crash.fingerprint, {}))
        if (is_cleared and not is_told) or weight >= MIN_WEIGHT:
            return self._tell(crash.fingerprint)
        return None

    def record_loss(self, endpoint_id, lost, is_leaving, now_s):
        """Record the crash of an endpoint that executed several requests.

        Parameters
        ----------
        endpoint_id : str
            The endpoint whose process is gone.
        lost : sequence of LostRequest
            Requests of this node in flight at the endpoint.
        is_leaving : bool
            Whether the endpoint was marked as leaving. Its end is then
            expected, and no request is blamed.
        now_s : float
            Current time, in Unix seconds.

        Returns
        -------
        tuple of CrashFact
            Facts recorded, to be published to peers. Requests that were
            being answered are blamed only if there is no other request.
        """
        if is_leaving:
            return ()
        silent = [item for item in lost if not item.is_answering]
        facts = tuple(
            CrashFact(item.fingerprint, endpoint_id, now_s)
            for item in silent or lost
        )
        self.merge(facts)
        return facts

    def merge(self, facts):
        """Merge crashes and completions that a peer reports.

        Parameters
        ----------
        facts : iterable of CrashFact or SoundFact
            Result of `list_facts` on the peer.
        """
        for fact in facts:
            match fact:
                case CrashFact():
                    self.record_crash(fact)
                case SoundFact():
                    self.mark_sound(fact)

    def list_facts(self):
        """Return all recorded crashes and completions."""
        crashes = (
            crash for _, found in self._iterate() for crash in found.values()
        )
        completions = (
            SoundFact(fingerprint, completion.at_s)
            for fingerprint, completion in self._completions.items()
        )
        return [*crashes, *completions]

    def list_lasting(self):
        """Return the crashes to be remembered when all processes are gone.

        Returns
        -------
        dict
            Tuple of CrashFact by fingerprint.
        """
        return {
            fingerprint: tuple(crashes.values())
            for fingerprint, crashes in self._iterate()
            if _weigh(crashes) >= MIN_LASTING_WEIGHT
        }

    def expire(self, now_s):
        """Drop the requests whose crashes no longer count.

        Parameters
        ----------
        now_s : float
            Current time, in Unix seconds.
        """
        for known in (self._quarantined, self._suspects):
            for fingerprint, crashes in tuple(known.items()):
                latest_s = max(crash.at_s for crash in crashes.values())
                if latest_s <= now_s - CRASH_EXPIRY_S:
                    del known[fingerprint]

    def is_quarantined(self, fingerprint):
        """Return whether requests with the fingerprint are quarantined."""
        return fingerprint in self._quarantined

    def is_suspect(self, fingerprint):
        """Return whether the request crashed an endpoint, but too few yet.

        Notes
        -----
        A suspect should be sent to an endpoint that executes no other
        suspect, so that a second crash is blamed on a single request.
        """
        return fingerprint in self._suspects

    def check(self, fingerprint):
        """Return the refusal of a quarantined request; None otherwise."""
        if not self.is_quarantined(fingerprint):
            return None
        return errors.Refusal(
            errors.RefusalKind.QUARANTINED,
            "this request crashed the endpoints that executed it",
            "change the request before sending it again",
            errors.ExecutionStatus.NOT_RUN,
        )

    def _iterate(self):
        """Iterate over each request with crashes, and these by endpoint."""
        return itertools.chain(
            self._quarantined.items(), self._suspects.items()
        )

    def _get_completed_s(self, fingerprint):
        """Return the time of the latest completion, in Unix seconds."""
        return self._completions.get(fingerprint, _Completion()).at_s

    def _tell(self, fingerprint):
        """Return the latest completion, of which all instances are told."""
        completion = self._completions[fingerprint]
        completion.told_s = completion.at_s
        return SoundFact(fingerprint, completion.at_s)

    def _get_crashes(self, fingerprint):
        """Return the crashes that count against a request, by endpoint."""
        found = self._quarantined.get(fingerprint)
        return found or self._suspects.get(fingerprint, {})

    def _place(self, fingerprint):
        """Quarantine a suspect that is to blame; keep within the limit."""
        if self._is_to_blame(fingerprint):
            crashes = self._suspects.pop(fingerprint)
            self._quarantined[fingerprint] = crashes
        self._trim()

    def _is_to_blame(self, fingerprint):
        """Return whether the crashes of a suspect quarantine it."""
        crashes = self._suspects.get(fingerprint, {})
        if fingerprint not in self._completions:
            return _weigh(crashes) >= MIN_WEIGHT
        if _weigh(crashes) < MIN_SOUND_WEIGHT:
            return False
        times = [crash.at_s for crash in crashes.values()]
        return max(times) - min(times) >= MIN_SOUND_SPAN_S

    def _trim(self):
        """Evict requests beyond the limit, suspects first."""
        while len(self) > self._max_fingerprints:
            oldest = self._suspects or self._quarantined
            oldest.popitem(last=False)


def _weigh(crashes):
    """Return the weight of the crashes that count against a request."""
    return sum(crash.weight for crash in crashes.values())
