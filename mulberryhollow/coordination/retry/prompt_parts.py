"""Quarantine of prompt parts that crash the endpoints answering them."""

import collections

import attrs

from mulberryhollow import errors

__all__ = ["PartCrash", "PartQuarantine"]

PART_CRASH_COUNT = 3
"""Number of different endpoints whose crash quarantines a prompt part.

One more than for a whole request: a part that is shared by many requests is
more often just present at a crash.
"""

MAX_SUSPECT_PARTS = 4096
"""Number of parts without an answer whose crashes are remembered."""

MAX_SOUND_PARTS = 8192
"""Number of parts to which an answer has begun that are remembered."""


@attrs.frozen
class PartCrash:
    """An endpoint crashed before it began to answer a prompt.

    Parameters
    ----------
    endpoint_id : str
        The endpoint that crashed.
    parts : tuple of str
        Parts of the prompt that may be the cause, in a fixed order.
    """

    endpoint_id: str
    parts: tuple


class PartQuarantine:
    """Prompt parts and the endpoints that crashed before answering them.

    Notes
    -----
    A part that crashes each endpoint is never part of an answer, so a part
    to which an answer has begun is sound and never blamed. Of several parts
    that may explain the same crashes, one alone is not blamed as long as
    another one, which the request at hand does not have, explains as many.

    Crashes and sound parts are only added, so merging them from peers in
    any order and any number of times gives the same result.
    """

    def __init__(self):
        # Part to the endpoints that crashed with it, each with the other
        # parts that may be the cause of that crash.
        self._suspects = collections.OrderedDict()
        self._sound = collections.OrderedDict()

    def record_crash(self, parts, endpoint_id):
        """Record a crash; return its PartCrash, or None if no part is blamed.

        Parameters
        ----------
        parts : iterable of str
            Parts of the prompt that other requests may have too.
        endpoint_id : str
            The endpoint that crashed before it began to answer.
        """
        blamed = tuple(
            sorted(part for part in set(parts) if part not in self._sound)
        )
        if not blamed:
            return None
        crash = PartCrash(endpoint_id, blamed)
        self.merge_crash(crash)
        return crash

    def merge_crash(self, crash):
        """Add a crash, here or at a peer; return its parts known as sound."""
        sound = tuple(part for part in crash.parts if part in self._sound)
        blamed = [part for part in crash.parts if part not in self._sound]
        for part in blamed:
            crashes = self._suspects.setdefault(part, {})
            others = crashes.setdefault(crash.endpoint_id, set())
            others.update(other for other in blamed if other != part)
        self._trim()
        return sound

    def record_begun(self, parts):
        """Record that an answer has begun; return the parts cleared by it.

        Parameters
        ----------
        parts : iterable of str
            Parts of the prompt.

        Returns
        -------
        tuple of str
            Those that had been suspects.
        """
        cleared = tuple(part for part in parts if part in self._suspects)
        for part in parts:
            self.mark_sound(part)
        return cleared

    def mark_sound(self, part):
        """Clear a part to which an answer has begun, here or at a peer."""
        self._suspects.pop(part, None)
        self._sound[part] = None
        self._sound.move_to_end(part)
        if len(self._sound) > MAX_SOUND_PARTS:
            self._sound.popitem(last=False)

    def __len__(self):
        return len(self._suspects)

    def list_quarantined(self):
        """Return a dict of each quarantined part to its crashed endpoints.

        A part that is blamed only together with others is not in it.
        """
        return {
            part: tuple(sorted(crashes))
            for part, crashes in self._suspects.items()
            if self._is_blamed(part, (part,))
        }

    def find_quarantined(self, parts):
        """Return the first part that quarantines a request, or None."""
        return next((p for p in parts if self._is_blamed(p, parts)), None)

    def check(self, parts):
        """Return the refusal of a request with a quarantined part, or None."""
        if self.find_quarantined(parts) is None:
            return None
        return errors.Refusal(
            errors.RefusalKind.QUARANTINED,
            "a part of the prompt crashed the endpoints that had it",
            "change the prompt before sending it again",
            errors.ExecutionStatus.NOT_RUN,
        )

    def _is_blamed(self, part, parts):
        """Return whether a part quarantines a request with these parts."""
        count = self._count_crashes(part)
        if count < PART_CRASH_COUNT:
            return False
        others = set().union(*self._suspects[part].values()).difference(parts)
        return all(self._count_crashes(other) < count for other in others)

    def _count_crashes(self, part):
        """Return the number of endpoints that crashed with a part."""
        return len(self._suspects.get(part, ()))

    def _trim(self):
        """Evict suspects beyond the limit, quarantined parts last."""
        while len(self._suspects) > MAX_SUSPECT_PARTS:
            oldest = next(iter(self._suspects))
            evicted = (
                part
                for part, crashes in self._suspects.items()
                if len(crashes) < PART_CRASH_COUNT
            )
            del self._suspects[next(evicted, oldest)]
