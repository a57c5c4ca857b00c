"""Streams that may be resumed: their endpoints and their callers."""

import contextlib
import math
import random
import re
import select
import socket
import time

from tools import platform_site
from tools.soak import records
from tools.soak import stand_ins
from tools.soak import traffic

__all__ = [
    "DEADLINE_S",
    "MAX_ATTEMPTS",
    "PATH",
    "SLOTS",
    "StreamCaller",
    "StreamEndpoint",
    "make_route",
]

PATH = "/resumed/"
"""Begin of the path of a stream; its number of events follows."""

SLOTS = 48
MAX_ATTEMPTS = 2
MAX_EVENTS = 70
EVENT_GAP_S = (0.01, 0.06)
"""Time between two events of a stream, in seconds."""

PAUSE_S = (1.2, 2.5)
"""Time for which an endpoint pauses a single stream, in seconds."""

FATES = {"whole": 75, "pause": 15, "silent": 5, "close": 5}
"""What becomes of a stream at an endpoint, with weights."""

PART_FRACTION = 0.3
"""Fraction of the pauses that begin inside the chunk of an event."""

MAX_PART_BYTES = 24
"""Longest part of a chunk that is sent before such a pause, in bytes."""

DEADLINE_S = 10.0
ROUTE_TIMEOUT_S = 12.0
BACKLOG = 128
"""Connections that wait to be accepted, beyond those of the base class."""

_POLL_S = 0.02
_READ_BYTES = 65536
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+)\n\n")


def make_route():
    """Return the route of the streams that may be resumed."""
    name = PATH.strip("/")
    return platform_site.make_route(
        name, "streaming", int(ROUTE_TIMEOUT_S * 1000)
    ) | {
        "resumable": True,
        "maxAttempts": MAX_ATTEMPTS,
        "goalMs": 600,
        "gapGoalMs": 500,
    }


class StreamEndpoint(stand_ins.SoakEndpoint):
    """An endpoint that runs streams, some of which it does not end in time.

    Parameters
    ----------
    seed : int
        Seed of what becomes of each stream.
    identity : str
        Id of the endpoint.
    recorder : Recorder
        Gets the runs.
    """

    def __init__(self, seed, identity, recorder):
        self._seed = seed
        self._paused_until_s = 0.0
        self._full_until_s = 0.0
        super().__init__(identity, recorder)
        self._server.socket.listen(BACKLOG)

    def pause(self, duration_s):
        """Pause all streams, as an endpoint does that preempts them."""
        self._paused_until_s = self._recorder.now_s() + duration_s

    def fill(self, duration_s):
        """Refuse new streams as full."""
        self._full_until_s = self._recorder.now_s() + duration_s

    def handle(self, handler, body):
        """Answer one request."""
        is_stream = handler.path.startswith(PATH)
        is_mine = handler.headers.get("Expect-Instance") == self.identity
        if not is_stream or not is_mine:
            super().handle(handler, body)
            return
        attempt = handler.headers.get("Attempt-Id", "")
        if self._recorder.now_s() < self._full_until_s:
            refusal = {"Attempt-Id": attempt, "Not-Executed": "1"}
            handler.reply(503, refusal, b"")
            return
        self._run(handler, attempt)

    def _run(self, handler, attempt):
        """Run a stream and record how it ended."""
        begin_s = self._recorder.now_s()
        self._recorder.add(
            records.Run(begin_s, attempt, self.identity, handler.path)
        )
        generator = random.Random(f"{self._seed}-{attempt}-{self.identity}")
        fate = generator.choices(list(FATES), list(FATES.values()))[0]
        sent = []
        try:
            end = self._send(handler, attempt, generator, fate, sent)
        except OSError:
            end = "left"
        if end != "finished":
            handler.close_connection = True
        self._recorder.add(
            records.StreamRun(
                attempt=attempt,
                endpoint=self.identity,
                fate=fate,
                begin_s=begin_s,
                ended_s=self._recorder.now_s(),
                first_s=sent[0][1] if sent else None,
                last=sent[-1][0] if sent else 0,
                end=end,
            )
        )

    def _send(self, handler, attempt, generator, fate, sent):
        """Send the events of a stream; return how that ended.

        Parameters
        ----------
        handler : http.server.BaseHTTPRequestHandler
            Handler of the request.
        attempt : str
            Id of the request.
        generator : random.Random
            Source of the times.
        fate : str
            What becomes of the stream.
        sent : list of tuple
            Gets the number and the time of each event that was sent.
        """
        count = int(handler.path.removeprefix(PATH).split("/")[0])
        first = int(handler.headers.get("Last-Event-Id") or 0) + 1
        # Before the first event of this run, or after any.
        turn = generator.randint(first, count + 1)
        gap_s = generator.uniform(*EVENT_GAP_S)
        part_turn = 0
        part_bytes = generator.randint(1, MAX_PART_BYTES)
        if fate == "pause" and generator.random() < PART_FRACTION:
            # The pause falls inside the chunk of an event.
            turn, part_turn = 0, turn
        if first == 1 and turn == 1 and fate != "whole":
            # The head is late, too.
            end = self._change(handler, generator, fate)
            if end:
                return end
            turn = 0
        self._send_head(handler, attempt)
        for number in range(first, count + 2):
            if number == turn:
                end = self._change(handler, generator, fate)
                if end:
                    return end
            if number > count:
                break
            self._wait(handler, gap_s)
            event = b"id: %d\ndata: %s %d\n\n" % (
                number,
                attempt.encode(),
                number,
            )
            data = b"%x\r\n%s\r\n" % (len(event), event)
            if number == part_turn:
                handler.wfile.write(data[:part_bytes])
                handler.wfile.flush()
                self._change(handler, generator, fate)
                data = data[part_bytes:]
            handler.wfile.write(data)
            handler.wfile.flush()
            sent.append((number, self._recorder.now_s()))
        handler.wfile.write(b"0\r\n\r\n")
        handler.wfile.flush()
        return "finished"

    def _send_head(self, handler, attempt):
        """Send the head of a stream."""
        handler.send_response(200)
        handler.send_header("Attempt-Id", attempt)
        handler.send_header("Response-Seal", f"seal {self.identity}")
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        handler.wfile.flush()

    def _change(self, handler, generator, fate):
        """Let a fate take its turn; return the end, empty if it goes on."""
        match fate:
            case "pause":
                self._wait(handler, generator.uniform(*PAUSE_S))
            case "silent":
                self._wait(handler, float("inf"))
            case "close":
                with contextlib.suppress(OSError):
                    handler.connection.shutdown(socket.SHUT_RDWR)
                return "closed"
        return ""

    def _wait(self, handler, duration_s):
        """Wait, also while all streams are paused.

        Raises
        ------
        ConnectionError
            When the other side has left.
        """
        until_s = self._recorder.now_s() + duration_s
        poll = select.poll()
        poll.register(handler.connection, select.POLLIN)
        while True:
            now_s = self._recorder.now_s()
            rest_s = max(until_s, self._paused_until_s) - now_s
            if rest_s <= 0:
                return
            limit_ms = None if math.isinf(rest_s) else math.ceil(rest_s * 1e3)
            if not poll.poll(limit_ms):
                continue
            if not handler.connection.recv(1, socket.MSG_PEEK):
                raise ConnectionError("the other side has left")
            # It has sent more; only its end matters here.
            time.sleep(min(rest_s, _POLL_S))


class StreamCaller(traffic.Caller):
    """Thread that reads one stream after the other from one instance."""

    timeout_s = ROUTE_TIMEOUT_S + 1.0

    def _choose(self):
        """Return the method and path of the next stream."""
        count = self._generator.randint(1, MAX_EVENTS)
        return "GET", f"{PATH}{count}/x"

    def _exchange(self, method, path, attempt):
        """Read one stream; return its head and the events."""
        headers = {
            "Host": "h.example",
            "Attempt-Id": attempt,
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Key": "k1",
        }
        count = int(path.removeprefix(PATH).split("/")[0])
        body, status, is_whole = b"", 0, False
        try:
            self._connection.request(method, path, None, headers)
            answer = self._connection.getresponse()
            status = answer.status
            while data := answer.read1(_READ_BYTES):
                body += data
            # Only this tells the client that the answer has ended.
            answer.read()
            is_whole = True
            return answer, body
        finally:
            if status in (0, 200):
                self._recorder.add(
                    records.Stream(
                        attempt, count, _parse(body, attempt), is_whole
                    )
                )

    @staticmethod
    def _find_fault(answer, body, attempt):
        """Return what is wrong with a head; empty for nothing."""
        if answer.status == 200 and not answer.getheader("Response-Seal"):
            return f"no seal, {len(body)} bytes"
        return ""


def _parse(body, attempt):
    """Return the numbers of the events; 0 for one of another stream.

    What follows the last whole event counts as nothing.
    """
    numbers, end = [], 0
    for match in _EVENT.finditer(body):
        number, owner, text = match.groups()
        is_own = match.start() == end and owner == attempt.encode()
        numbers.append(int(number) if is_own and number == text else 0)
        end = match.end()
    return tuple(numbers)
