"""HTTP client that records each request and its outcome."""

import json
import threading
import time

import attrs
import urllib3

from tools.history import record

__all__ = ["Asked", "Client"]

_CONNECT_TIMEOUT_S = 2.0
_READ_TIMEOUT_S = 12.0
_DEADLINE_S = "10"
_CONTINUATIONS = 4
_CONTINUATION_PAUSE_S = 0.5
_SEE_OTHER = 303
_NOT_FOUND = 404
_FIRST_FAULT = 400
_NOT_CONNECTED = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


@attrs.frozen(kw_only=True)
class Asked:
    """A request of a caller.

    Parameters
    ----------
    call : str
        Unique name of the call.
    kind : str
        ``chat``, ``patient``, ``lookup`` or ``booking``.
    service : str
        Name of the service.
    account_key : str
        API key of the client account.
    text : str
        Prompt, query or slot.
    key : str
        Idempotency key of a booking.
    max_tokens : int
        Maximum number of tokens of the answer.
    stream : bool
        Whether the tokens are requested as server-sent events.
    """

    call: str
    kind: str
    service: str
    account_key: str
    text: str
    key: str = ""
    max_tokens: int = 0
    stream: bool = False

    def make_body(self):
        """Return the JSON body of the request."""
        match self.kind:
            case "lookup":
                return {"query": self.text}
            case "booking":
                return {"slot": self.text, "details": f"key {self.key}"}
        return {
            "prompt": self.text,
            "max_tokens": self.max_tokens,
            "stream": self.stream,
        }

    def make_headers(self):
        """Return the header fields of the request."""
        headers = {
            "Authorization": f"Bearer {self.account_key}",
            "Connection": "close",
            "X-Timeout-S": _DEADLINE_S,
        }
        if self.key:
            headers["Idempotency-Key"] = self.key
        return headers


@attrs.define
class _Progress:
    """Part of an answer received so far.

    `fields` are the fields of the recorded outcome; they are empty until
    the answer is complete.
    """

    request_id: str
    tokens: list = attrs.field(factory=list)
    last_id: str = ""
    is_moved: bool = False
    fields: dict = attrs.field(factory=dict)


class Client:
    """Sends requests and records each request and its outcome.

    Parameters
    ----------
    recorder : Recorder
        Collects the events of the history.
    find_entries : callable
        Returns a dict of entry instance names to addresses.
    """

    def __init__(self, recorder, find_entries):
        self._recorder = recorder
        self._find_entries = find_entries
        self._open_calls = 0
        self._lock = threading.Lock()

    def count_open(self):
        """Return the number of calls without an outcome."""
        return self._open_calls

    def _count(self, by):
        with self._lock:
            self._open_calls += by

    def ask(self, asked, entry):
        """Send a request to an entry; return the recorded outcome."""
        self._recorder.add(
            record.Sent(
                at_s=time.time(),
                call=asked.call,
                entry=entry,
                kind=asked.kind,
                text=asked.text,
                key=asked.key,
                max_tokens=asked.max_tokens,
            )
        )
        self._count(1)
        fields = self._exchange(asked, entry)
        ended = record.Answered(at_s=time.time(), call=asked.call, **fields)
        self._recorder.add(ended)
        self._count(-1)
        return ended

    def _exchange(self, asked, entry):
        """Send a request; return the fields of its outcome."""
        address = self._find_entries().get(entry)
        if address is None:
            return {
                "outcome": "unreached",
                "detail": "entry instance was replaced",
            }
        path = f"/v1/services/{asked.service}/{asked.kind}"
        headers = asked.make_headers()
        try:
            answer = _open("POST", address, path, headers, asked.make_body())
        except _NOT_CONNECTED as error:
            return {"outcome": "unreached", "detail": str(error)}
        except urllib3.exceptions.HTTPError as error:
            return {"outcome": "lost", "detail": str(error)}
        progress = _Progress(answer.headers.get("X-Request-Id", ""))
        detail = _read_answer(asked, answer, progress)
        return self._go_on(asked, entry, progress, detail)

    def _go_on(self, asked, entry, progress, detail):
        """Resume an answer at other entries after a cut or a redirect."""
        for number in range(_CONTINUATIONS):
            if progress.fields or not progress.request_id:
                break
            if not progress.is_moved:
                time.sleep(_CONTINUATION_PAUSE_S)
            address = self._find_other(entry, number)
            detail = f"{detail}; {_continue(asked, address, progress)}"
        lost = {"outcome": "lost", "detail": detail}
        fields = progress.fields or lost
        return fields | {"request_id": progress.request_id}

    def _find_other(self, entry, number):
        """Return the address of another entry, by turns for each number."""
        entries = self._find_entries()
        others = sorted(set(entries) - {entry})
        return entries[others[number % len(others)]]


def _open(method, address, path, headers, body=None):
    """Send a request on a new connection; return the unread response."""
    timeout = urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=_READ_TIMEOUT_S)
    pool = urllib3.connection_from_url(f"http://{address}")
    data = None if body is None else json.dumps(body).encode()
    return pool.urlopen(
        method,
        path,
        body=data,
        headers=headers | {"Content-Type": "application/json"},
        timeout=timeout,
        retries=False,
        redirect=False,
        preload_content=False,
    )


def _continue(asked, address, progress):
    """Resume an answer at another entry; return the error, if any."""
    headers = asked.make_headers()
    if progress.last_id:
        headers["Last-Event-ID"] = progress.last_id
    path = f"/v1/requests/{progress.request_id}"
    try:
        answer = _open("GET", address, path, headers)
    except urllib3.exceptions.HTTPError as error:
        return f"continuation failed: {error}"
    if answer.status == _NOT_FOUND:
        return f"request unknown at {answer.headers.get('X-Instance')}"
    return _read_answer(asked, answer, progress)


def _read_answer(asked, answer, progress):
    """Add a response to the progress; return why it is incomplete."""
    progress.is_moved = answer.status == _SEE_OTHER
    if progress.is_moved:
        return "moved"
    if "event-stream" in answer.headers.get("Content-Type", ""):
        return _read_events(answer, progress)
    try:
        value = json.loads(answer.read())
    except urllib3.exceptions.HTTPError as error:
        return f"status {answer.status}: {error}"
    except ValueError as error:
        detail = f"status {answer.status}: {error}"
        progress.fields = {"outcome": "malformed", "detail": detail}
        return detail
    if answer.status >= _FIRST_FAULT:
        progress.fields = _describe_refusal(value.get("error", {}))
    else:
        progress.fields = _describe_whole(asked, value)
    return ""


def _describe_whole(asked, value):
    """Return the outcome fields of a complete JSON answer."""
    contents = {"lookup": "result", "booking": "booking_id"}
    return {
        "outcome": "done",
        "content": value.get(contents.get(asked.kind, "text"), ""),
        "tokens": value.get("tokens", 0),
        "version": value.get("version", ""),
    }


def _describe_refusal(error):
    """Return the outcome fields of a refusal."""
    return {
        "outcome": "refused",
        "ran": error.get("ran", ""),
        "detail": error.get("kind", ""),
    }


def _read_events(answer, progress):
    """Add the events of a stream; return why it is incomplete."""
    rest = b""
    try:
        for data in answer.stream(None):
            *events, rest = (rest + data).split(b"\n\n")
            for event in events:
                _add_event(event.decode(), progress)
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        return f"stream broke: {error}"
    return (
        "moved" if progress.is_moved else "stream ended without an end event"
    )


def _add_event(text, progress):
    """Add one server-sent event to the progress of a stream."""
    pairs = (line.partition(":") for line in text.splitlines())
    fields = {name: value.strip() for name, _, value in pairs if name}
    data = json.loads(fields.get("data", "{}"))
    match fields.get("event", "token"):
        case "end":
            progress.fields = {
                "outcome": "done",
                "content": "".join(progress.tokens),
                "tokens": data.get("tokens", -1),
                "version": data.get("version", ""),
            }
        case "error":
            progress.fields = _describe_refusal(data.get("error", {}))
        case "moved":
            progress.is_moved = True
        case "token":
            progress.tokens.append(data["token"])
            progress.last_id = fields.get("id", progress.last_id)
