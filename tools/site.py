"""A small deployment on loopback: stand-ins and entry daemons."""

import itertools
import json
import pathlib
import secrets
import time

import attrs
import urllib3

from mulberryhollow.transport import store
from tools import processes

__all__ = ["Site", "call", "make_key", "set_fault"]

EXAMPLE_PATH = processes.ROOT / "examples" / "production.ini"
READY_TIMEOUT_S = 20.0

_SETTINGS = """\
[instance]
name = {name}
failure_domain = {failure_domain}
[platform]
store = {store}
cloud = {store}
[peers]
key_file = {key_file}
[callers]
threads = 64
grace_s = {grace_s}
"""


def make_key():
    """Return a new idempotency key, which starts with the current time."""
    return f"{int(time.time())}-{secrets.token_hex(8)}"


def call(address, method, path, body=None, key="", headers=None, timeout_s=30):
    """Send one request over a new connection; return the answer.

    Parameters
    ----------
    address : str
        ``host:port`` of the server.
    method, path : str
        The request line.
    body : object
        Value to send as JSON; None for no body.
    key : str
        API key; empty for none.
    headers : dict
        Further headers.
    timeout_s : float
        Maximum time to connect and between two bytes, in seconds.
    """
    fields = {"Content-Type": "application/json", "Connection": "close"}
    if key:
        fields["Authorization"] = f"Bearer {key}"
    with urllib3.PoolManager() as connections:
        return connections.request(
            method,
            f"http://{address}{path}",
            body=None if body is None else json.dumps(body).encode(),
            headers=fields | (headers or {}),
            timeout=timeout_s,
            retries=False,
        )


def set_fault(address, fault, **fields):
    """Set a fault of a stand-in.

    Raises
    ------
    RuntimeError
        When the stand-in rejects the fault.
    """
    body = {"fault": fault} | fields
    answer = call(address, "POST", "/control", body)
    if answer.status != 200:
        raise RuntimeError(f"fault {fault}: {answer.status} {answer.data!r}")


@attrs.define
class Site:
    """Stand-ins, an active configuration document and entry daemons.

    Parameters
    ----------
    fleet : Fleet
        Starts and ends the processes.
    grace_s : float
        Time for which a stopping entry daemon finishes requests, in seconds.
    further_settings : str
        Sections added to the settings of each entry daemon.
    store_address : str
        Address of the stand-in for the store and the cloud API.
    key_file : pathlib.Path or None
        File with the key by which peers sign their messages.
    entries : list of str
        Addresses of the entry daemons.
    domains : dict
        Name of an endpoint or entry daemon to its failure domain.
    """

    fleet: processes.Fleet
    grace_s: float = 20.0
    further_settings: str = ""
    store_address: str = ""
    key_file: pathlib.Path | None = None
    entries: list = attrs.field(factory=list)
    domains: dict = attrs.field(factory=dict)
    _next_domain: object = attrs.field(
        factory=lambda: itertools.cycle(["fd-1", "fd-2", "fd-3", "fd-4"])
    )

    def start_platform(self, document=None):
        """Start the store and cloud API; write the configuration document."""
        self.store_address = self.fleet.start_store().address
        self.key_file = self.fleet.folder / "peer.key"
        self.key_file.write_text(secrets.token_hex(32), encoding="utf-8")
        client = store.StoreClient(self.store_address)
        data = document or EXAMPLE_PATH.read_bytes()
        change_id = store.make_change_id()
        client.put("environment", "production", data, 0, change_id)

    def add_engine(self, name, service, version="v1", options=()):
        """Start and register a model engine; return its address."""
        return self._add_endpoint("model", name, service, version, options)

    def add_plain(self, name, service, version="v1", options=()):
        """Start and register a plain service; return its address."""
        return self._add_endpoint("plain", name, service, version, options)

    def add_entry(self, name, failure_domain=None):
        """Start and register an entry daemon; return its address."""
        domain = failure_domain or next(self._next_domain)
        self.domains[name] = domain
        text = _SETTINGS.format(
            name=name,
            failure_domain=domain,
            store=self.store_address,
            key_file=self.key_file,
            grace_s=self.grace_s,
        )
        text += self.further_settings
        address = self.fleet.start_entry(name, text).address
        self.entries.append(address)
        self._register(
            id=name, role="entry", address=address, failure_domain=domain
        )
        return address

    def wait_ready(self, probe):
        """Wait until every entry daemon is ready and answers a probe.

        Parameters
        ----------
        probe : callable
            Takes an address; returns whether the daemon answers correctly.
        """
        end_s = time.monotonic() + READY_TIMEOUT_S
        not_ready = list(self.entries)
        while not_ready and time.monotonic() < end_s:
            time.sleep(0.05)
            not_ready = [
                each for each in not_ready if not _is_ready(probe, each)
            ]
        if not_ready:
            raise RuntimeError(f"entry daemons not ready in time: {not_ready}")

    def _add_endpoint(self, role, name, service, version, options):
        """Start an endpoint and register it in the instance list."""
        start = {
            "model": self.fleet.start_engine,
            "plain": self.fleet.start_plain,
        }[role]
        domain = next(self._next_domain)
        self.domains[name] = domain
        child = start(name, domain, service, version, *options)
        self._register(
            id=name,
            role=role,
            address=child.address,
            failure_domain=domain,
            service=service,
            version=version,
        )
        return child.address

    def _register(self, **fields):
        """Register an instance in the instance list of the cloud API."""
        instance = {
            "state": "live",
            "service": "",
            "version": "",
            "market": "reclaimable",
            "machine_class": "small",
            "price_per_hour": 1.0,
        }
        set_fault(self.store_address, "register", instance=instance | fields)


def _is_ready(probe, address):
    """Return whether a daemon is ready and a probe succeeds.

    A failed connection counts as not ready.
    """
    try:
        ready = call(address, "GET", "/readyz", timeout_s=2)
        return ready.status == 200 and probe(address)
    except urllib3.exceptions.HTTPError:
        return False
