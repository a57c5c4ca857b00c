"""Stand-in for an endpoint that answers twice, late, in parts or not whole."""

import collections
import contextlib
import random
import socket
import struct
import threading
import time

__all__ = ["EVENTS", "StutteringEndpoint", "make_event"]

EVENTS = 6
"""Number of events of each stream."""

_LINGER_RESET = struct.pack("ii", 1, 0)


def make_event(request_id, number):
    """Return an event of the stream that answers a request."""
    return b"id: %d\ndata: %s\n\n" % (number, request_id.encode())


class StutteringEndpoint:
    """Server on loopback whose answers are faulty at random.

    Parameters
    ----------
    seed : int
        Seed of the faults.

    Attributes
    ----------
    runs : dict
        Id of each request that ran to a list of (status, body).
    """

    def __init__(self, seed):
        self.runs = collections.defaultdict(list)
        self._random = random.Random(seed)
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=100)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        """Return the listening address, ``host:port``."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def close(self):
        """Stop listening."""
        self._listener.close()

    def _accept(self):
        """Serve each connection in a thread of its own."""
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection):
        """Answer the requests of one connection."""
        earlier = b""
        with contextlib.suppress(OSError), connection:
            connection.settimeout(5.0)
            reader = connection.makefile("rb")
            while headers := _read_head(reader):
                if self._happens(0.2):
                    earlier = self._send_parts(connection, earlier)
                reader.read(int(headers.get("Content-Length", 0)))
                if self._happens(0.2):
                    refusal = self._refuse(connection, headers["Attempt-Id"])
                    earlier = refusal
                    continue
                answer = self._answer(connection, headers)
                if answer is None:
                    break
                earlier = answer
            reader.close()

    def _happens(self, fraction):
        """Return whether something that happens at times happens now."""
        return self._random.random() < fraction

    def _send_parts(self, connection, answer):
        """Send an answer in two parts; return it."""
        connection.sendall(answer[:30])
        time.sleep(0.001)
        connection.sendall(answer[30:])
        return answer

    def _refuse(self, connection, request_id):
        """Send a refusal; return it, at times without the request id."""
        named = b"Attempt-Id: %s\r\n" % request_id.encode()
        refusal = b"HTTP/1.1 503 No\r\n%sNot-Executed: 1\r\n%s\r\n"
        length = b"Content-Length: 0\r\n"
        connection.sendall(refusal % (named, length))
        return refusal % (named if self._happens(0.5) else b"", length)

    def _answer(self, connection, headers):
        """Run a request; return its answer, or None if the connection ends."""
        request_id = headers["Attempt-Id"]
        status = 500 if self._happens(0.05) else 200
        if "stream" in headers:
            first = int(headers.get("Last-Event-Id", 0)) + 1
            pieces = [
                make_event(request_id, number)
                for number in range(first, EVENTS + 1)
            ]
        else:
            run = f"{request_id} {self._random.random()}".encode()
            pieces = [run, b"x" * self._random.randrange(3000)]
        self.runs[request_id].append((status, b"".join(pieces)))
        framing = self._random.choice(("length", "chunks", "close"))
        parts = _frame(status, request_id, pieces, framing)
        if self._happens(0.05):
            connection.sendall(_frame(103, request_id, (), "close")[0])
        answer = b"".join(parts)
        if self._happens(0.1):
            self._break_off(connection, parts, framing)
            return None
        is_twice = self._happens(0.1)
        connection.sendall(answer + answer if is_twice else answer)
        return None if framing == "close" else answer

    def _break_off(self, connection, parts, framing):
        """Send a part of an answer; reset if a close would be its end."""
        answer = b"".join(parts)
        connection.sendall(
            answer[: self._random.randrange(len(parts[0]), len(answer))]
        )
        time.sleep(0.005)
        if framing == "close":
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
            )


def _read_head(reader):
    """Return the headers of a request; empty at the end."""
    lines = []
    while (line := reader.readline()) not in (b"\r\n", b""):
        lines.append(line.decode().strip())
    headers = dict(line.split(": ", 1) for line in lines[1:])
    if lines and lines[0].split()[1] == "/stream":
        headers["stream"] = "1"
    return headers


def _frame(status, request_id, pieces, framing):
    """Return the head and the framed pieces of an answer."""
    head = b"HTTP/1.1 %d -\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n" % (
        status,
        request_id.encode(),
    )
    match framing:
        case "length":
            size = sum(map(len, pieces))
            head += b"Content-Length: %d\r\n" % size
        case "chunks":
            head += b"Transfer-Encoding: chunked\r\n"
            pieces = [b"%x\r\n%s\r\n" % (len(each), each) for each in pieces]
            pieces.append(b"0\r\n\r\n")
    return [head + b"\r\n", *pieces]
