"""Stand-ins for the platform that record and that fail on demand."""

import hashlib
import json
import pathlib
import time

from standins import platform_site
from tools.soak import records

__all__ = ["SoakEndpoint", "SoakServer", "make_body"]

SLOW_ANSWER_S = 1.5
"""Time that an endpoint takes for a path below /slow/, in seconds."""

MAX_BODY_BYTES = 20_000

_INODE_COLUMN = 9


class SoakServer(platform_site.PlatformServer):
    """The object store, with one address of the duties' API per instance.

    Calls of duties are attributed by the address they were sent to, and
    calls of the store by the process at the other end of the connection.

    Parameters
    ----------
    recorder : Recorder
        Gets the calls of duties.
    instances : sequence of Instance
        Instances that call.

    Attributes
    ----------
    loses_answers : bool
        Whether calls of the store and of duties are executed but not
        answered.
    refused : set of str
        Names of the instances whose calls of the store get 503.
    duty_apis : dict
        Instance name to the DutyApi that it calls.
    """

    def __init__(self, recorder, instances):
        super().__init__()
        self._server.handle_error = _ignore_error
        self.store.era = 1
        self.loses_answers = False
        self.refused = set()
        self._instances = instances
        self.duty_apis = {
            each.name: DutyApi(recorder, each.name, self) for each in instances
        }

    def close(self):
        """Stop listening."""
        for each in self.duty_apis.values():
            each.close()
        super().close()

    def handle(self, handler, body):
        """Answer one call of the store, unless a fault prevents it."""
        if self.refused and self._find_caller(handler) in self.refused:
            handler.reply(503, {}, b"")
        elif self.loses_answers and "watch=" not in handler.path:
            self.store.request(handler.command, handler.path, body)
            handler.close_connection = True
        else:
            super().handle(handler, body)

    def _find_caller(self, handler):
        """Return the name of the instance that has opened a connection."""
        if not hasattr(handler, "caller"):
            inode = _find_socket(handler.client_address[1])
            handler.caller = next(
                (
                    each.name
                    for each in self._instances
                    if _has_socket(each.process.pid, inode)
                ),
                "",
            )
        return handler.caller


class DutyApi(platform_site.Server):
    """The API for the duties, as one instance reaches it."""

    def __init__(self, recorder, instance, store_server):
        self._recorder = recorder
        self._instance = instance
        self._store_server = store_server
        super().__init__()
        self._server.handle_error = _ignore_error

    def handle(self, handler, body):
        """Record and accept one call."""
        content = json.loads(body)
        subject = f"{content.get('service')} {content.get('zone')}"
        self._recorder.add(
            records.DutyCall(
                at_s=self._recorder.now_s(),
                instance=self._instance,
                duty=handler.path,
                subject=subject if handler.path == "/scale" else "",
                token=int(handler.headers["Fencing-Token"]),
                content=content,
            )
        )
        if self._store_server.loses_answers:
            handler.close_connection = True
        else:
            handler.reply(200, {}, b"")


class SoakEndpoint(platform_site.PlatformEndpoint):
    """An endpoint that records its runs and may say that it leaves.

    Attributes
    ----------
    is_leaving : bool
        Whether all answers say that the endpoint leaves.
    """

    def __init__(self, identity, recorder):
        self._recorder = recorder
        self.is_leaving = False
        super().__init__(identity)
        self._server.handle_error = _ignore_error

    def handle(self, handler, body):
        """Answer one request."""
        attempt = handler.headers.get("Attempt-Id", "")
        headers = {"Attempt-Id": attempt}
        at_s = self._recorder.now_s()
        if handler.headers.get("Expect-Instance") != self.identity:
            handler.reply(421, headers, b"")
            return
        run = records.Run(at_s, attempt, self.identity, handler.path)
        self._recorder.add(run)
        if "/slow/" in handler.path:
            time.sleep(SLOW_ANSWER_S)
        is_leaving = self.is_leaving
        if is_leaving:
            headers |= {"Server-Leaving": "1", "Connection": "close"}
            self._recorder.add(records.LeavingSaid(attempt, self.identity))
        headers["Response-Seal"] = f"seal {self.identity}"
        handler.reply(200, headers, make_body(self.identity, attempt))
        handler.close_connection = is_leaving


def make_body(endpoint, attempt):
    """Return the body of an endpoint's answer to one request."""
    text = f"{endpoint} {attempt} "
    digest = hashlib.sha256(text.encode()).digest()
    size = int.from_bytes(digest[:4], "big") % MAX_BODY_BYTES
    return (text * (1 + size // len(text))).encode()


def _ignore_error(request, client_address):
    """Print nothing about a connection that was cut."""


def _find_socket(port):
    """Return the inode of the socket with a local port on loopback."""
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        columns = line.split()
        if int(columns[1].rpartition(":")[2], 16) == port:
            return columns[_INODE_COLUMN]
    return ""


def _has_socket(pid, inode):
    """Return whether a process has a socket open."""
    try:
        links = list(pathlib.Path(f"/proc/{pid}/fd").iterdir())
        return any(
            str(each.readlink()) == f"socket:[{inode}]" for each in links
        )
    except OSError:
        return False
