"""Crashes of endpoints and the quarantine of what caused them."""

import attrs

from mulberryhollow.coordination import retry

__all__ = ["Crash", "CrashRecords", "CrashVerdict"]


@attrs.frozen
class Crash:
    """Crash of an endpoint during an attempt.

    Parameters
    ----------
    endpoint_id : str
        The endpoint.
    fingerprint : str
        Fingerprint of the request.
    is_answering : bool
        Whether part of the answer had been received.
    parts : tuple of str
        Parts of the prompt that other requests may have too.
    """

    endpoint_id: str
    fingerprint: str
    is_answering: bool
    parts: tuple


@attrs.frozen
class CrashVerdict:
    """Verdict on the request that was running when its endpoint crashed.

    Parameters
    ----------
    crash : CrashFact or None
        Crash that counts against the request.
    is_quarantined : bool
        Whether the request is now quarantined, and so refused.
    part_crash : PartCrash or None
        Crash that counts against parts of the prompt.
    """

    crash: retry.CrashFact | None = None
    is_quarantined: bool = False
    part_crash: retry.PartCrash | None = None


class CrashRecords:
    """Crashes of endpoints and the quarantine of what caused them.

    Changed only in the thread of the actor that owns it.

    Attributes
    ----------
    quarantine : Quarantine
        Requests that crashed endpoints.
    part_quarantine : PartQuarantine
        Parts of prompts that crashed endpoints.
    """

    def __init__(self):
        self.quarantine = retry.Quarantine()
        self.part_quarantine = retry.PartQuarantine()

    def check(self, fingerprint, parts=()):
        """Return the Refusal of a quarantined request, or None."""
        return self.quarantine.check(
            fingerprint
        ) or self.part_quarantine.check(parts)

    def record_begun(self, parts, on_cleared):
        """Clear the parts of a prompt to which an answer has begun.

        Parameters
        ----------
        parts : tuple of str
            Parts of the prompt.
        on_cleared : callable
            Called with each part that was suspected.
        """
        for part in self.part_quarantine.record_begun(parts):
            on_cleared(part)

    def record_completed(self, fingerprint, wall_s, on_sound):
        """Clear a request that an endpoint has executed to its end.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        wall_s : float
            Current time, in Unix seconds.
        on_sound : callable
            Called with the SoundFact of a request that was suspected.
        """
        sound = self.quarantine.record_completed(fingerprint, wall_s)
        if sound is not None:
            on_sound(sound)

    def attribute(self, crash, record, wall_s):
        """Decide whether a crash counts against the request.

        Parameters
        ----------
        crash : Crash
            The crash.
        record : EndpointRecord or None
            Record of the endpoint; None for one that is not listed.
        wall_s : float
            Current time, in Unix seconds.

        Returns
        -------
        CrashVerdict

        Notes
        -----
        A crash of a leaving endpoint is never counted, since the leave
        may be its cause. When the request was being answered alongside
        others, the crash is shared with these.
        """
        if record is not None and record.is_leaving:
            return CrashVerdict()
        has_others = record is not None and record.load >= 1.0
        fact = retry.CrashFact(
            crash.fingerprint,
            crash.endpoint_id,
            wall_s,
            is_shared=crash.is_answering and has_others,
        )
        is_quarantined = self.quarantine.record_crash(fact)
        if crash.is_answering:
            return CrashVerdict(fact, is_quarantined)
        part_crash = self.part_quarantine.record_crash(
            crash.parts, crash.endpoint_id
        )
        found = self.part_quarantine.find_quarantined(crash.parts)
        return CrashVerdict(
            fact, is_quarantined or found is not None, part_crash
        )
