"""Processes of a run: starting, killing and replacing them."""

import itertools
import json
import secrets
import threading
import time

import attrs
import urllib3

from tools.chaos import configuration
from tools.chaos import schedule
from tools.history import record
from tools.processes import find_free_port

__all__ = ["Cluster", "Member"]

DOMAINS = ("fd-1", "fd-2", "fd-3")
LAYOUT = schedule.Layout(
    engines=("m1", "m2", "m3"),
    plains=("p1", "p2", "p3"),
    entries=("e1", "e2", "e3"),
    domains=DOMAINS,
)
_CONTROL_TIMEOUT_S = 5.0
_TOKEN_TIME_S = "0.004"
_CRASH_EXIT_CODE = 70
_SERVICE_TIME_S = "0.03"


@attrs.frozen
class Member:
    """One process of a run.

    Parameters
    ----------
    name : str
        Name in the layout; a replacement keeps the name.
    role : str
        ``model``, ``plain`` or ``entry``.
    failure_domain : str
        Failure domain of the process.
    instance : str
        Instance id; a replacement gets a new one.
    port : int
        Port on the loopback interface; a restart keeps the port.
    """

    name: str
    role: str
    failure_domain: str
    instance: str
    port: int

    @property
    def address(self):
        """Return the address as ``HOST:PORT``."""
        return f"127.0.0.1:{self.port}"


class Cluster:
    """Store, endpoints and entry instances of a run.

    Parameters
    ----------
    fleet : Fleet
        Starts and ends the processes.
    recorder : Recorder
        Collects the events of the history.
    """

    def __init__(self, fleet, recorder):
        self.fleet = fleet
        self.recorder = recorder
        self.store = ""
        self._key_file = None
        self._members = {}
        self._lock = threading.Lock()
        self._generations = itertools.count(2)

    def start(self):
        """Start the store, publish the document and start all members."""
        self.store = self.fleet.start_store().address
        self._key_file = self.fleet.folder / "peer.key"
        self._key_file.write_text(secrets.token_hex(32), encoding="utf-8")
        configuration.publish(self.store, self.recorder)
        member_specs = itertools.chain(
            zip(LAYOUT.engines, itertools.repeat("model"), DOMAINS),
            zip(LAYOUT.plains, itertools.repeat("plain"), DOMAINS),
            zip(LAYOUT.entries, itertools.repeat("entry"), DOMAINS),
        )
        for name, role, domain in member_specs:
            port = find_free_port()
            self._start_member(Member(name, role, domain, name, port))

    def get(self, name):
        """Return the member with a name of the layout."""
        with self._lock:
            return self._members[name]

    def list_members(self, role=None):
        """Return the members of a role, or all members without one."""
        with self._lock:
            members = list(self._members.values())
        return [each for each in members if role in (None, each.role)]

    def get_entry_addresses(self):
        """Return a dict of entry instance ids to addresses."""
        return {
            member.instance: member.address
            for member in self.list_members("entry")
        }

    def kill(self, name):
        """Kill a member with SIGKILL and record it."""
        member = self.get(name)
        self.recorder.add(
            record.Killed(at_s=time.time(), instance=member.instance)
        )
        self.fleet.kill(member.instance)

    def restart(self, name):
        """Restart a member that has ended, with the same id and port."""
        member = self.get(name)
        if not self.fleet.children[member.instance].is_running():
            self._start_process(member)

    def replace(self, name):
        """Kill a reclaimed member and start a replacement."""
        member = self.get(name)
        self.fleet.kill(member.instance)
        instance = f"{name}-{next(self._generations)}"
        port = find_free_port()
        self._start_member(attrs.evolve(member, instance=instance, port=port))

    def set_fault(self, address, fault, **fields):
        """Set a fault of a stand-in; return whether the stand-in answered.

        A stand-in that has ended doesn't answer, which is no error.
        """
        try:
            urllib3.request(
                "POST",
                f"http://{address}/control",
                json={"fault": fault, **fields},
                timeout=_CONTROL_TIMEOUT_S,
                retries=False,
            )
        except urllib3.exceptions.HTTPError:
            return False
        return True

    def announce_reclaim(self, members, **fields):
        """Announce the reclaim of an instance or a failure domain.

        The notice is recorded, and for each entry instance also the graceful
        stop that follows.
        """
        self.set_fault(self.store, "reclaim", **fields)
        at_s = time.time()
        instances = tuple(member.instance for member in members)
        self.recorder.add(
            record.LeavingNotice(
                at_s=at_s,
                endpoints=instances,
                reclaim_at_s=at_s + fields["after_s"],
            )
        )
        for member in members:
            if member.role == "entry":
                self.record_stop(member)

    def record_stop(self, member):
        """Record that an entry instance is about to stop gracefully."""
        self.recorder.add(
            record.StopPlanned(at_s=time.time(), instance=member.instance)
        )

    def revive_crashed(self, text):
        """Clear the faults of all engines; restart those that have crashed.

        Each crash is recorded with the prompt that caused it.
        """
        for member in self.list_members("model"):
            self.set_fault(member.address, "clear")
            process = self.fleet.children[member.instance].process
            if process.poll() == _CRASH_EXIT_CODE:
                self.recorder.add(
                    record.Crashed(
                        at_s=time.time(), endpoint=member.instance, text=text
                    )
                )
                self.restart(member.name)

    def record_ledgers(self):
        """Record every line of every endpoint's ledger."""
        for path in sorted(self.fleet.folder.glob("*.ledger")):
            lines = path.read_text(encoding="utf-8").splitlines()
            for line in lines:
                step = record.EndpointStep(
                    endpoint=path.stem, **json.loads(line)
                )
                self.recorder.add(step)

    def _start_member(self, member):
        self._start_process(member)
        with self._lock:
            self._members[member.name] = member
        instance = {
            "id": member.instance,
            "role": member.role,
            "address": member.address,
            "failure_domain": member.failure_domain,
            "service": configuration.SERVICES.get(member.role, ""),
            "version": configuration.VERSION,
        }
        self.set_fault(self.store, "register", instance=instance)

    def _start_process(self, member):
        match member.role:
            case "model":
                self.fleet.start_engine(
                    *self._make_endpoint_arguments(member),
                    "--token-time-s",
                    _TOKEN_TIME_S,
                )
            case "plain":
                self.fleet.start_plain(
                    *self._make_endpoint_arguments(member),
                    "--service-time-s",
                    _SERVICE_TIME_S,
                )
            case "entry":
                settings = configuration.make_settings(
                    member, self.store, self._key_file
                )
                self.fleet.start_entry(member.instance, settings)

    def _make_endpoint_arguments(self, member):
        """Return the command-line arguments common to all endpoints."""
        ledger = self.fleet.folder / f"{member.instance}.ledger"
        return (
            member.instance,
            member.failure_domain,
            configuration.SERVICES[member.role],
            configuration.VERSION,
            "--port",
            str(member.port),
            "--ledger",
            str(ledger),
        )
