"""Configuration document and entry settings of a run."""

import time

import urllib3

from mulberryhollow.state import keys
from tools.chaos import callers
from tools.history import record

__all__ = [
    "ENVIRONMENT",
    "SERVICES",
    "TRAFFIC",
    "NEW_VERSION",
    "VERSION",
    "make_document",
    "make_settings",
    "publish",
]

ENVIRONMENT = "production"
VERSION = "v1"
NEW_VERSION = "v2"
SERVICES = {"model": "desk", "plain": "visits"}
_ACCOUNT_KEYS = {"households": "chaos-households", "fitters": "chaos-fitters"}
_SALT = "00112233445566778899aabbccddeeff"
_MAX_ATTEMPTS = 20
_RETRY_INTERVAL_S = 0.3
_TIMEOUT_S = 2.0

TRAFFIC = (
    callers.Traffic("chat", "desk", _ACCOUNT_KEYS["households"], 5),
    callers.Traffic("patient", "desk", _ACCOUNT_KEYS["fitters"], 1),
    callers.Traffic("lookup", "visits", _ACCOUNT_KEYS["households"], 2),
    callers.Traffic("booking", "visits", _ACCOUNT_KEYS["fitters"], 4),
)

_DOCUMENT = """\
[environment]
name = production
budget_per_hour = 60
capacity_tokens_per_s = {capacity}

[council desk]

[service desk]
council = desk
kind = model
classes = chat, patient
version = v1
versions = v1, v2

[service visits]
council = desk
kind = plain
classes = lookup, booking
version = v1
versions = v1
"""
_ACCOUNT = """
[client_account {name}]
council = desk
key_hash = {key_hash}
weight = 1
services = desk, visits
"""
_SETTINGS = """\
[instance]
name = {instance}
failure_domain = {failure_domain}
environment = production

[callers]
address = {address}
grace_s = 10

[platform]
store = {store}
cloud = {store}
notice_interval_s = 0.2

[peers]
key_file = {key_file}
"""


def make_document(number):
    """Return the bytes of a document; its content depends on a number."""
    accounts = [
        _ACCOUNT.format(name=name, key_hash=keys.make_hash(key, _SALT))
        for name, key in _ACCOUNT_KEYS.items()
    ]
    text = _DOCUMENT.format(capacity=20_000 + number) + "".join(accounts)
    return text.encode()


def make_settings(member, store, key_file):
    """Return the settings of an entry daemon.

    Parameters
    ----------
    member : Member
        The entry instance.
    store : str
        Address of the store and cloud.
    key_file : pathlib.Path
        File with the key that all entry instances share.
    """
    return _SETTINGS.format(
        instance=member.instance,
        failure_domain=member.failure_domain,
        address=member.address,
        store=store,
        key_file=key_file,
    )


def publish(store, recorder):
    """Publish the next document, in a limited number of attempts.

    Parameters
    ----------
    store : str
        Address of the store.
    recorder : Recorder
        Records the version once the store has accepted it.
    """
    url = f"http://{store}/v1/objects/environment/{ENVIRONMENT}"
    for _ in range(_MAX_ATTEMPTS):
        try:
            version = _publish_once(url)
        except urllib3.exceptions.HTTPError:
            version = 0
        if version:
            recorder.add(
                record.Published(
                    at_s=time.time(), environment=ENVIRONMENT, version=version
                )
            )
            return
        time.sleep(_RETRY_INTERVAL_S)


def _publish_once(url):
    """Update the document conditionally; return its version or 0."""
    current = _call("GET", url)
    if current.status not in (200, 404):
        return 0
    version = int(current.headers.get("X-Version", 0))
    condition = {"If-Match": str(version)} if version else {}
    condition = condition or {"If-None-Match": "*"}
    headers = condition | {"X-Change-Id": f"operator-{version}"}
    body = make_document(version)
    written = _call("PUT", url, body=body, headers=headers)
    return written.json()["version"] if written.status == 200 else 0


def _call(method, url, **options):
    """Send one request without retries."""
    return urllib3.request(
        method, url, timeout=_TIMEOUT_S, retries=False, **options
    )
