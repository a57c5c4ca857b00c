"""Copy of the quarantine in the store, which outlives all processes."""

import json
import logging

import attrs

from mulberryhollow.coordination import retry
from mulberryhollow import events
from mulberryhollow.state import decoding
from mulberryhollow.state import objects
from mulberryhollow.transport import store as store_adapter

__all__ = ["KIND", "StoredQuarantine"]

KIND = "quarantine"
"""Kind of the stored objects, one for each request or part of a prompt."""

REQUEST_PREFIX = "request-"
"""Prefix of the objects' names for whole requests."""

IDLE_INTERVAL_S = 30.0
"""Interval between calls once the stored entries were read, in seconds."""

STORED = events.declare(
    9030,
    logging.WARNING,
    "a request or prompt part that crashes endpoints was written to the store",
    "find the requests with event 4014 and mend what they have in common",
)
REMOVED = events.declare(
    9031,
    logging.INFO,
    "a request or prompt part was removed from the stored quarantine",
)
LOADED = events.declare(
    9032,
    logging.INFO,
    "the stored quarantine was read after the start or a restore of the store",
)
MALFORMED = events.declare(
    9033,
    logging.WARNING,
    "a stored entry of the quarantine is malformed and is ignored",
    "delete the object",
)


@attrs.frozen
class _Entry:
    """Content of a stored object.

    Parameters
    ----------
    endpoints : tuple of str
        Endpoints that crashed with what the object is named for.
    stored_s : float
        Time of the write, in Unix seconds.
    shared : tuple of str
        Those of them at which other requests may have been the cause.
    """

    endpoints: tuple
    stored_s: float
    shared: tuple = ()

    def encode(self):
        """Return the entry as the JSON bytes of the stored object."""
        fields = attrs.asdict(self)
        if not self.shared:
            # Other builds write the entries of prompt parts without it.
            del fields["shared"]
        return json.dumps(fields, sort_keys=True).encode()

    @classmethod
    def decode(cls, value):
        """Return the entry encoded in value; None if malformed."""
        try:
            fields = decoding.decode_json(value)
            endpoints = tuple(str(each) for each in fields["endpoints"])
            shared = tuple(str(each) for each in fields.get("shared", ()))
            return cls(endpoints, float(fields["stored_s"]), shared)
        except (ValueError, TypeError, KeyError):
            return None


class StoredQuarantine:
    """Reads what is stored at the start; writes what is new, as a duty.

    Parameters
    ----------
    store : StoreClient
        Store that holds the entries.
    clock : Clock
        Source of the wall-clock time.
    dispatcher : Dispatcher
        Owns the quarantine of this instance.

    Notes
    -----
    The peers learn of a quarantine by gossip. The store serves the instances
    that start when no peer is left who knows it.
    """

    def __init__(self, store, clock, dispatcher):
        self._store = store
        self._clock = clock
        self._dispatcher = dispatcher
        self._versions = {}
        self._loaded_era = None

    def load(self):
        """Apply the stored entries, unless that was done.

        Returns
        -------
        float
            Time until the next call, in seconds.

        Raises
        ------
        StoreUnavailableError
            If the store gave no usable answer; the caller retries.
        """
        if self._loaded_era is None:
            self._read_all()
        return IDLE_INTERVAL_S

    def _read_all(self):
        """Apply the stored entries and keep their versions."""
        version, found = self._store.list_objects(KIND)
        crashes = [crash for each in found for crash in self._read(each)]
        self._dispatcher.change(
            lambda actor, now_s: [_apply(actor, each) for each in crashes]
        )
        self._versions = {each.name: each.version for each in found}
        self._loaded_era = objects.get_era(version)
        if found:
            events.log(LOADED, entries=len(found), crashes=len(crashes))

    def begin(self):
        """Do nothing: what is stored was read at the start."""

    def work(self, fence, is_held):
        """Write what was quarantined since; remove what no longer is.

        Raises
        ------
        StoreUnavailableError
            If the outcome of a write is unknown, or the store was restored
            and does not answer; the next call repeats it.
        """
        if self._is_from_earlier_era():
            self._read_all()
        now_s = self._clock.wall_s()
        lasting = self._dispatcher.read(
            lambda actor, _: _make_entries(actor, now_s)
        )
        for name in lasting.keys() - self._versions.keys():
            if is_held():
                self._write(name, lasting[name])
        for name in self._versions.keys() - lasting.keys():
            if is_held():
                self._remove(name)

    def _is_from_earlier_era(self):
        """Return whether the store was restored since it was read."""
        era = self._store.era or 0
        return self._loaded_era is not None and self._loaded_era < era

    def _read(self, item):
        """Return the crashes of a stored object, unless it has expired."""
        entry = _Entry.decode(item.value)
        if entry is None:
            events.log(MALFORMED, part=item.name)
            return []
        if self._clock.wall_s() - entry.stored_s > retry.CRASH_EXPIRY_S:
            return []
        if not item.name.startswith(REQUEST_PREFIX):
            return [
                retry.PartCrash(each, (item.name,)) for each in entry.endpoints
            ]
        fingerprint = item.name.removeprefix(REQUEST_PREFIX)
        return [
            retry.CrashFact(
                fingerprint, each, entry.stored_s, each in entry.shared
            )
            for each in entry.endpoints
        ]

    def _write(self, name, entry):
        """Store an entry, unless another instance has done so."""
        match store_adapter.put_and_resolve(
            self._store, KIND, name, entry.encode(), 0
        ):
            case objects.WriteApplied(version):
                self._versions[name] = version
                events.log(STORED, part=name, endpoints=list(entry.endpoints))
            case objects.WriteRejected(current_version=version) if version:
                self._versions[name] = version

    def _remove(self, name):
        """Remove an entry that is no longer quarantined, or has expired.

        Unless the store has answered, the next call of the duty repeats it.
        """
        match self._store.delete(KIND, name, self._versions[name]):
            case objects.WriteApplied():
                del self._versions[name]
                events.log(REMOVED, part=name)
            case objects.WriteRejected(reason="conflict"):
                del self._versions[name]


def _apply(actor, crash):
    """Add a stored crash to the quarantine that it belongs to."""
    match crash:
        case retry.PartCrash():
            actor.part_quarantine.merge_crash(crash)
        case retry.CrashFact():
            actor.quarantine.record_crash(crash)


def _make_entries(actor, now_s):
    """Return the entry of all that is to be stored, by object name."""
    parts = actor.part_quarantine.list_quarantined()
    entries = {
        part: _Entry(endpoints, now_s) for part, endpoints in parts.items()
    }
    requests = actor.quarantine.list_lasting()
    return entries | {
        REQUEST_PREFIX + fingerprint: _Entry(
            tuple(sorted(crash.endpoint_id for crash in crashes)),
            now_s,
            tuple(
                sorted(each.endpoint_id for each in crashes if each.is_shared)
            ),
        )
        for fingerprint, crashes in requests.items()
    }
