"""Stand-in for the object store of the users' platform, in memory."""

import json
import threading
import urllib.parse

import attrs

__all__ = ["Answer", "PlatformStore", "StoreCopy"]

# Maximum number of objects in one page of a list.
PAGE_SIZE = 3


@attrs.frozen
class Answer:
    """A response as a client of the store receives it."""

    status: int
    data: bytes
    headers: dict = attrs.field(factory=dict)


@attrs.frozen
class StoreCopy:
    """Content of a `PlatformStore` at one time."""

    revision: int
    objects: dict
    events: tuple


@attrs.define
class PlatformStore:
    """Objects with revisions, conditional writes, paged lists and watches.

    A write that changes nothing keeps the revision and produces no event. A
    store that is restored from a copy has lost what was written since, and
    gives its revisions out again.

    Parameters
    ----------
    statuses : list of int
        HTTP statuses to return from the next calls, one each, without
        executing them.
    revision : int
        Revision of the last write.
    objects : dict
        Kind and name to the stored object.
    events : list of tuple
        Revision, kind, object and whether it was deleted, in order.
    calls : list of tuple
        Method and path of each call.
    texts : dict
        JSON text by the marker that stands for it in a spec, both as bytes.
    era : int
        Value of ``Store-Era`` in all answers; 0 to send none.
    oldest : int
        Oldest revision after which all changes are kept.
    """

    statuses: list = attrs.field(factory=list)
    revision: int = 7
    objects: dict = attrs.field(factory=dict)
    events: list = attrs.field(factory=list)
    calls: list = attrs.field(factory=list)
    texts: dict = attrs.field(factory=dict)
    era: int = 0
    oldest: int = 0
    _lock: object = attrs.field(factory=threading.Lock)

    def request(self, method, path, body=None, headers=None, timeout=None):
        """Execute one call; return its Answer."""
        with self._lock:
            self.calls.append((method, path))
            headers = {"Store-Era": str(self.era)} if self.era else {}
            if self.statuses:
                return Answer(self.statuses.pop(0), b"{}", headers)
            split = urllib.parse.urlsplit(path)
            query = dict(urllib.parse.parse_qsl(split.query))
            segments = split.path.strip("/").split("/")[2:]
            fields = json.loads(body) if body else {}
            answer = self._answer(method, segments, query, fields)
            return attrs.evolve(
                answer, data=self._insert_texts(answer.data), headers=headers
            )

    def _insert_texts(self, data):
        """Return an answer's body with the texts in place of the markers."""
        for marker, text in self.texts.items():
            data = data.replace(marker, text)
        return data

    def copy(self):
        """Return a copy of the content, as a backup takes it."""
        with self._lock:
            return StoreCopy(
                self.revision, dict(self.objects), tuple(self.events)
            )

    def restore(self, saved):
        """Continue from a `StoreCopy`; the era rises by one."""
        with self._lock:
            self.revision = saved.revision
            self.objects = dict(saved.objects)
            self.events = list(saved.events)
            self.oldest = min(self.oldest, saved.revision)
            self.era += 1

    def drop_history(self):
        """Drop all changes; the objects and the revision stay."""
        with self._lock:
            self.events.clear()
            self.oldest = self.revision

    def put(self, kind, name, spec):
        """Write an object on behalf of another client."""
        with self._lock:
            return self._store(kind, name, spec)

    def put_text(self, kind, name, text):
        """Write an object whose spec is JSON text that is passed on as is."""
        marker = f"text {len(self.texts)}"
        self.texts[json.dumps(marker).encode()] = text
        return self.put(kind, name, marker)

    def remove(self, kind, name):
        """Remove an object on behalf of another client."""
        with self._lock:
            item = self.objects.pop((kind, name))
            self.revision += 1
            self.events.append((self.revision, kind, item, True))

    def _answer(self, method, segments, query, fields):
        """Return the answer to a call."""
        kind, name = segments[0], segments[1] if len(segments) > 1 else ""
        part = segments[2] if len(segments) > 2 else "spec"
        stored = self.objects.get((kind, name))
        match method:
            case "GET" if "watch" in query:
                return self._watch(kind, int(query["watch"]))
            case "GET" if name and stored is None:
                return Answer(404, b"{}")
            case "GET" if name:
                return _encode(stored)
            case "GET":
                return self._list(kind, query.get("after", ""))
            case "POST":
                name = fields["metadata"]["name"]
                if (kind, name) in self.objects:
                    return _encode(self.objects[kind, name], 409)
                return _encode(self._store(kind, name, fields["spec"]), 201)
            case "PUT" if stored is None:
                return Answer(404, b"{}")
            case "PUT":
                expected = fields["metadata"].get("revision")
                if expected not in (None, stored["metadata"]["revision"]):
                    return _encode(stored, 409)
                return _encode(self._store(kind, name, fields[part], part))

    def _store(self, kind, name, value, part="spec"):
        """Write a part of an object at the next revision; return the object.

        The object is created if it does not exist.
        """
        stored = self.objects.get((kind, name))
        if stored is not None and stored[part] == value:
            return stored
        self.revision += 1
        created = stored["metadata"]["created"] if stored else self.revision
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
            },
            "spec": stored and stored["spec"],
            "status": stored and stored["status"],
            part: value,
        }
        self.objects[kind, name] = item
        self.events.append((self.revision, kind, item, False))
        return item

    def _list(self, kind, after):
        """Return one page of the objects of a kind, sorted by name."""
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        page = [self.objects[kind, name] for name in names[:PAGE_SIZE]]
        return _encode(
            {
                "items": page,
                "hasMore": len(names) > PAGE_SIZE,
                "at": self.revision,
            }
        )

    def _watch(self, kind, after):
        """Return the events of a kind after a revision.

        The status is 410 when the events just after it are no longer kept,
        or the store does not have the revision.
        """
        is_dropped = self.events and after < self.events[0][0] - 1
        is_dropped = is_dropped or after < self.oldest
        if is_dropped or after > self.revision:
            return Answer(410, b"{}")
        events = [
            {"object": item, "deleted": is_deleted}
            for at, k, item, is_deleted in self.events
            if k == kind and at > after
        ]
        return _encode({"events": events, "at": self.revision})


def _encode(value, status=200):
    """Return an answer with a JSON body."""
    return Answer(status, json.dumps(value).encode())
