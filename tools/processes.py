"""Child processes of a development run, all killed when it ends."""

import contextlib
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import attrs

__all__ = [
    "Child",
    "Fleet",
    "StartError",
    "find_free_port",
    "find_free_ports",
]

ROOT = pathlib.Path(__file__).resolve().parent.parent
_START_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.02
_ADDRESS_PREFIX = "listening "
_PORT_RANGE = (15_000, 32_000)
_PORT_ATTEMPTS = 100


class StartError(Exception):
    """A child process ended, or was not ready in time."""


@attrs.frozen
class Child:
    """A process that a fleet started.

    Parameters
    ----------
    name : str
        Name of the process in the fleet.
    address : str
        Address on which the process listens, ``HOST:PORT``.
    process : subprocess.Popen
        Handle of the process.
    stderr_path : pathlib.Path
        File with the standard error of the process.
    """

    name: str
    address: str
    process: object
    stderr_path: pathlib.Path

    @property
    def pid(self):
        """Return the process id."""
        return self.process.pid

    def is_running(self):
        """Return whether the process is running."""
        return self.process.poll() is None


class Fleet:
    """Processes of stand-ins and entry daemons on loopback, by name.

    Examples
    --------
    >>> with Fleet() as fleet:  # doctest: +SKIP
    ...     store = fleet.start_store()
    ...     print(store.address)
    """

    def __init__(self):
        self.children = {}
        self.folder = None

    def __enter__(self):
        """Create the temporary directory for settings and output."""
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="fleet-"))
        return self

    def __exit__(self, *_):
        """Kill every child and remove the directory."""
        for child in self.children.values():
            self._kill_and_wait(child)
        shutil.rmtree(self.folder, ignore_errors=True)

    def start_store(self, name="store"):
        """Start the stand-in for the store and the cloud API."""
        return self.start(name, ["standins.store", "--port", "0"])

    def start_engine(self, name, failure_domain, service, version, *options):
        """Start a model engine with further command line options."""
        return self._start_endpoint(
            "standins.engine", name, failure_domain, service, version, options
        )

    def start_plain(self, name, failure_domain, service, version, *options):
        """Start a plain service with further command line options."""
        return self._start_endpoint(
            "standins.plain", name, failure_domain, service, version, options
        )

    def start_entry(self, name, settings):
        """Start an entry daemon with settings in INI format."""
        path = self.folder / f"{name}.ini"
        path.write_text(settings, encoding="utf-8")
        return self.start(name, ["mulberryhollow.daemon.main", str(path)])

    def start(self, name, arguments):
        """Start a Python module and wait until the process listens.

        Parameters
        ----------
        name : str
            Name in the fleet; that of an ended process may be used again.
        arguments : list of str
            Module and options.

        Returns
        -------
        Child
            The started process.

        Raises
        ------
        StartError
            When the process does not listen in time.
        """
        stdout_path = self.folder / f"{name}.out"
        stderr_path = self.folder / f"{name}.err"
        with open(stdout_path, "wb") as out, open(stderr_path, "ab") as err:
            process = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
                env=os.environ | {"PYTHONFAULTHANDLER": "1"},
            )
        child = Child(name, "", process, stderr_path)
        self.children[name] = child
        child = attrs.evolve(
            child, address=_wait_for_address(child, stdout_path)
        )
        self.children[name] = child
        return child

    def kill(self, name):
        """Send SIGKILL and wait for the end of the process."""
        child = self.children[name]
        if child.is_running():
            child.process.kill()
        child.process.wait(_STOP_TIMEOUT_S)

    def freeze(self, name):
        """Suspend a process with SIGSTOP."""
        self._send_signal(name, signal.SIGSTOP)

    def thaw(self, name):
        """Resume a process with SIGCONT."""
        self._send_signal(name, signal.SIGCONT)

    def terminate(self, name):
        """Send SIGTERM without waiting for the end of the process."""
        self._send_signal(name, signal.SIGTERM)

    def abort(self, name):
        """Send SIGABRT; the process dumps all thread stacks and ends."""
        self._send_signal(name, signal.SIGABRT)

    def wait(self, name, timeout_s=_STOP_TIMEOUT_S):
        """Wait for the end of a process.

        Returns
        -------
        int or None
            The exit code; None when the process is still running.
        """
        try:
            return self.children[name].process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def read_stderr(self, name):
        """Return the standard error of a process as text."""
        stderr_path = self.children[name].stderr_path
        return stderr_path.read_text(encoding="utf-8", errors="replace")

    def _start_endpoint(
        self, module, name, failure_domain, service, version, options
    ):
        arguments = [module, "--port", "0", "--id", name]
        arguments += ["--failure-domain", failure_domain]
        arguments += ["--service", service, "--version", version]
        return self.start(name, arguments + list(options))

    def _send_signal(self, name, number):
        child = self.children[name]
        if child.is_running():
            child.process.send_signal(number)

    def _kill_and_wait(self, child):
        if child.is_running():
            child.process.kill()
        child.process.wait(_STOP_TIMEOUT_S)


def _wait_for_address(child, stdout_path):
    """Wait for the address that a child prints and return it."""
    end_s = time.monotonic() + _START_TIMEOUT_S
    while child.is_running() and time.monotonic() < end_s:
        text = stdout_path.read_text(encoding="utf-8")
        if text.startswith(_ADDRESS_PREFIX) and "\n" in text:
            return text.split("\n")[0].removeprefix(_ADDRESS_PREFIX).strip()
        time.sleep(_POLL_INTERVAL_S)
    child.process.kill()
    child.process.wait(_STOP_TIMEOUT_S)
    errors = child.stderr_path.read_text(encoding="utf-8", errors="replace")
    raise StartError(f"{child.name} did not start listening: {errors[-2000:]}")


def find_free_port():
    """Return a port that is currently free on loopback."""
    return find_free_ports(1)[0]


def find_free_ports(count):
    """Return different ports that are currently free on loopback.

    Raises
    ------
    StartError
        When too many attempts hit ports that are in use.

    Notes
    -----
    The ports lie below the range that the system assigns to outgoing
    connections, so that a process can listen on them again after a restart.
    """
    generator = random.SystemRandom()
    found = []
    with contextlib.ExitStack() as listeners:
        for _ in range(count * _PORT_ATTEMPTS):
            port = generator.randrange(*_PORT_RANGE)
            with contextlib.suppress(OSError):
                # A listener that stays open until the end keeps the port from
                # being chosen twice.
                listeners.enter_context(
                    socket.create_server(("127.0.0.1", port))
                )
                found.append(port)
            if len(found) == count:
                return found
    raise StartError("no free port was found")
