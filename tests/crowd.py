"""Clients that send requests they do not end, and what they cost a process."""

import concurrent.futures
import contextlib
import itertools
import os
import pathlib
import resource
import socket
import tempfile
import threading
import time

MIB = 1024 * 1024
SEND_TIMEOUT_S = 5.0
SAMPLE_INTERVAL_S = 0.02
SENDERS = 64
PIECE = b"x" * 65536
FILLER = b"x" * (4 * MIB)


def allow_descriptors(count):
    """Raise the soft limit on this process's descriptors if it is lower."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < count:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(count, hard), hard))


class Crowd:
    """Connections that each send some pieces and then stay open.

    Parameters
    ----------
    port : int
        Port of the server on loopback.
    count : int
        Number of connections.
    list_pieces : callable
        Returns the pieces of bytes that each connection sends.
    """

    def __init__(self, port, count, list_pieces):
        self._port = port
        self._list_pieces = list_pieces
        self._sockets = []
        with concurrent.futures.ThreadPoolExecutor(
            min(SENDERS, count)
        ) as senders:
            list(senders.map(self._send, range(count)))

    def close(self):
        """Close all connections."""
        for each in self._sockets:
            each.close()

    def _send(self, _):
        """Open a connection and send until the end or a refusal."""
        with contextlib.suppress(OSError):
            connection = socket.create_connection(
                ("127.0.0.1", self._port), SEND_TIMEOUT_S
            )
            self._sockets.append(connection)
            for piece in self._list_pieces():
                connection.sendall(piece)


class Meter:
    """Highest memory and number of descriptors of a process.

    Parameters
    ----------
    pid : int
        Id of the process.
    ports : iterable of int
        Ports on which it listens.

    Attributes
    ----------
    memory_mib : float
        Resident memory, files in the temporary folder, and bytes received
        and not read, in MiB.
    descriptors : int
        Number of open descriptors.
    """

    def __init__(self, pid, ports):
        self._folder = pathlib.Path("/proc", str(pid))
        self._ports = {f"{port:04X}" for port in ports}
        self._is_stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.memory_mib = 0.0
        self.descriptors = 0

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._is_stopped.set()
        self._thread.join()
        with contextlib.suppress(OSError):
            peak = self._read_status("VmHWM") / MIB
            self.memory_mib = max(self.memory_mib, peak)

    def _run(self):
        while not self._is_stopped.wait(SAMPLE_INTERVAL_S):
            with contextlib.suppress(OSError):
                self._sample()

    def _sample(self):
        links = list(pathlib.Path(self._folder, "fd").iterdir())
        self.descriptors = max(self.descriptors, len(links))
        size = self._read_status("VmRSS")
        size += self._count_unread() + _count_temporary(links)
        self.memory_mib = max(self.memory_mib, size / MIB)

    def _read_status(self, name):
        """Return a size from the status of the process, in bytes."""
        lines = (self._folder / "status").read_text().splitlines()
        line = next(each for each in lines if each.startswith(name))
        return int(line.split()[1]) * 1024

    def _count_unread(self):
        """Return the bytes received on its ports and not read."""
        lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
        rows = (line.split() for line in lines)
        return sum(
            int(row[4].partition(":")[2], 16)
            for row in rows
            # Connections: a listener's queue is counted in connections.
            if row[1].partition(":")[2] in self._ports and row[3] != "0A"
        )


def _count_temporary(links):
    """Return the size of the files among descriptors, in bytes."""
    sizes = 0
    for link in links:
        with contextlib.suppress(OSError):
            if os.readlink(link).startswith(tempfile.gettempdir()):
                sizes += link.stat().st_size
    return sizes


def make_head(method, path, *fields):
    """Return the head of an ordinary caller's request, with fields added."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: h.example",
        "Attempt-Id: crowd",
        "Deadline-Ms: 60000",
        "Key: k1",
        *fields,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def cut(size, piece_bytes):
    """Return pieces of filler bytes with a size in all."""
    return itertools.chain(
        itertools.repeat(FILLER[:piece_bytes], size // piece_bytes),
        [FILLER[: size % piece_bytes]],
    )


def chunk(size, chunk_bytes):
    """Return chunks of filler bytes with a size in all, without an end."""
    count = size // chunk_bytes
    one = b"%x\r\n%s\r\n" % (chunk_bytes, FILLER[:chunk_bytes])
    batch = max(1, len(PIECE) // len(one))
    return itertools.chain(
        itertools.repeat(one * batch, count // batch), [one * (count % batch)]
    )


def list_request(kind, path, limit):
    """Return the pieces of one request of a kind.

    Parameters
    ----------
    kind : str
        What the client sends, as the scenarios name it.
    path : str
        Path of the request.
    limit : int
        Largest size of a body, in bytes.
    """

    def head(*fields):
        return make_head("POST", path, *fields)

    fixed = head(f"Content-Length: {limit - 1}")
    chunked = head("Transfer-Encoding: chunked")
    match kind:
        case "bodies a byte short":
            return [fixed, *cut(limit - 2, limit)]
        case "bodies a byte short in pieces":
            return [fixed, *cut(limit - 2, 4096)]
        case "bodies a byte short after an interim answer":
            expecting = head(
                f"Content-Length: {limit - 1}", "Expect: 100-continue"
            )
            return [expecting, *cut(limit - 2, limit)]
        case "whole bodies":
            return [fixed, *cut(limit - 1, limit)]
        case "large chunks without an end":
            return [chunked, *chunk(limit - limit // 8, limit // 8)]
        case "chunks of a byte without an end":
            return [chunked, *chunk(limit // 16, 1)]
        case "an announced length of 8 GiB":
            long = head(f"Content-Length: {8 << 30}")
            return itertools.chain([long], cut(16 * limit, limit))
        case "chunks far over the limit":
            return itertools.chain([chunked], chunk(16 * limit, limit // 8))
        case "a chunk's length without an end":
            return itertools.chain([chunked], cut(limit - 2, 4096))
        case "a trailer without an end":
            last = chunked + b"1\r\nx\r\n0\r\n"
            return itertools.chain([last], cut(limit - 2, 4096))
        case "heads without an end":
            return [head()[:-2] + b"X: ", FILLER[:15000]]
        case "requests whose answers they do not read":
            return itertools.repeat(make_head("GET", path), limit // 512)
        case "bodies hardly begun":
            return [fixed + b"x"]
        case "nothing":
            return []
    raise ValueError(kind)


def wait_until_quiet(meter, quiet_s=0.5):
    """Wait until the process holds what the crowd has sent."""
    before = -1.0
    while meter.memory_mib > before:
        before = meter.memory_mib
        time.sleep(quiet_s)
