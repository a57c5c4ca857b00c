"""HTTP client that records each request and its outcome."""

import json
import threading
import time

import attrs
import urllib3

from tools.history import record

__all__ = ["CallerRequest", "Client"]

_CONNECT_TIMEOUT_S = 2.0
_READ_TIMEOUT_S = 12.0
_DEADLINE_S = "10"
_MAX_CONTINUATIONS = 4
_CONTINUATION_DELAY_S = 0.5
_SEE_OTHER = 303
_NOT_FOUND = 404
_MIN_ERROR_STATUS = 400
_CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


@attrs.frozen(kw_only=True)
class CallerRequest:
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
    get_entry_addresses : callable
        Returns a dict of entry instance names to addresses.
    """

    def __init__(self, recorder, get_entry_addresses):
        self._recorder = recorder
        self._get_entry_addresses = get_entry_addresses
        self._open_calls = 0
        self._lock = threading.Lock()

    def count_open(self):
        """Return the number of calls without an outcome."""
        return self._open_calls

    def _change_open_calls(self, change):
        with self._lock:
            self._open_calls += change

    def send(self, request, entry):
        """Send a request to an entry; return the recorded outcome."""
        self._recorder.add(
            record.Sent(
                at_s=time.time(),
                call=request.call,
                entry=entry,
                kind=request.kind,
                text=request.text,
                key=request.key,
                max_tokens=request.max_tokens,
            )
        )
        self._change_open_calls(1)
        fields = self._exchange(request, entry)
        answered = record.Answered(
            at_s=time.time(), call=request.call, **fields
        )
        self._recorder.add(answered)
        self._change_open_calls(-1)
        return answered

    def _exchange(self, request, entry):
        """Send a request; return the fields of its outcome."""
        address = self._get_entry_addresses().get(entry)
        if address is None:
            return {
                "outcome": "unreached",
                "detail": "entry instance was replaced",
            }
        path = f"/v1/services/{request.service}/{request.kind}"
        headers = request.make_headers()
        try:
            answer = _send("POST", address, path, headers, request.make_body())
        except _CONNECT_ERRORS as error:
            return {"outcome": "unreached", "detail": str(error)}
        except urllib3.exceptions.HTTPError as error:
            return {"outcome": "lost", "detail": str(error)}
        progress = _Progress(answer.headers.get("X-Request-Id", ""))
        detail = _read_answer(request, answer, progress)
        return self._resume_answer(request, entry, progress, detail)

    def _resume_answer(self, request, entry, progress, detail):
        """Resume an answer at other entries after a cut or a redirect."""
        for number in range(_MAX_CONTINUATIONS):
            if progress.fields or not progress.request_id:
                break
            if not progress.is_moved:
                time.sleep(_CONTINUATION_DELAY_S)
            address = self._choose_other_address(entry, number)
            detail = (
                f"{detail}; {_fetch_continuation(request, address, progress)}"
            )
        lost = {"outcome": "lost", "detail": detail}
        fields = progress.fields or lost
        return fields | {"request_id": progress.request_id}

    def _choose_other_address(self, entry, number):
        """Return the address of another entry, in turn by number."""
        entries = self._get_entry_addresses()
        other_entries = sorted(set(entries) - {entry})
        return entries[other_entries[number % len(other_entries)]]


def _send(method, address, path, headers, body=None):
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


def _fetch_continuation(request, address, progress):
    """Resume an answer at another entry; return the error, if any."""
    headers = request.make_headers()
    if progress.last_id:
        headers["Last-Event-ID"] = progress.last_id
    path = f"/v1/requests/{progress.request_id}"
    try:
        answer = _send("GET", address, path, headers)
    except urllib3.exceptions.HTTPError as error:
        return f"continuation failed: {error}"
    if answer.status == _NOT_FOUND:
        return f"request unknown at {answer.headers.get('X-Instance')}"
    return _read_answer(request, answer, progress)


def _read_answer(request, answer, progress):
    """Add a response to the progress; return why the answer is incomplete."""
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
    if answer.status >= _MIN_ERROR_STATUS:
        progress.fields = _describe_refusal(value.get("error", {}))
    else:
        progress.fields = _describe_answer(request, value)
    return ""


def _describe_answer(request, value):
    """Return the outcome fields of a complete JSON answer."""
    contents = {"lookup": "result", "booking": "booking_id"}
    return {
        "outcome": "done",
        "content": value.get(contents.get(request.kind, "text"), ""),
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
    """Add the events of a stream; return why it is incomplete.

    The reason has no meaning when an end event was received.
    """
    partial_event = b""
    try:
        for data in answer.stream(None):
            *events, partial_event = (partial_event + data).split(b"\n\n")
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
