import time

from behave import given
from behave import then
from behave import when
import urllib3

from tools import processes

_HTTP = urllib3.PoolManager(retries=False)
_TIMEOUT_S = 10.0
_POLL_INTERVAL_S = 0.05


def call(address, method, path, **options):
    """Send one request, without retries."""
    url = f"http://{address}{path}"
    options.setdefault("timeout", _TIMEOUT_S)
    return _HTTP.request(method, url, **options)


def start_fleet(context):
    """Start a fleet that is stopped at the end of the scenario."""
    fleet = processes.Fleet()
    context.add_cleanup(fleet.__exit__, None, None, None)
    return fleet.__enter__()


def set_fault(standin_address, fault, /, **fields):
    """Set one fault at a stand-in."""
    body = {"fault": fault, **fields}
    assert call(standin_address, "POST", "/control", json=body).status == 200


def list_instances(address):
    """Return the state of each listed instance."""
    listed = call(address, "GET", "/cloud/instances").json()["items"]
    return {item["id"]: item["state"] for item in listed}


@given("a store stand-in")
def start_store(context):
    context.store = start_fleet(context).start_store().address


@when('object "{path}" is created in the store')
def create(context, path):
    assert _create(context, path).status == 200


def _create(context, path):
    headers = {"If-None-Match": "*", "X-Change-Id": "c1"}
    url = f"/v1/objects/{path}"
    return call(context.store, "PUT", url, body=b"x", headers=headers)


@then('a second creation of "{path}" is answered 412')
def check_second_creation(context, path):
    answer = _create(context, path)
    assert (answer.status, answer.json()) == (412, {"version": 1})


@then('a watch of "{kind}" after 0 returns version {version:d} of "{name}"')
def check_watch(context, kind, version, name):
    path = f"/v1/watch?kind={kind}&after=0&wait_s=5"
    items = call(context.store, "GET", path).json()["items"]
    assert [(i["name"], i["version"]) for i in items] == [(name, version)]


@when('the fault "{fault}" is set at the store')
def set_store_fault(context, fault):
    set_fault(context.store, fault)


@when('object "{path}" is updated with expected version {version:d}')
def update(context, path, version):
    context.lost = False
    headers = {"If-Match": str(version), "X-Change-Id": "c2"}
    url = f"/v1/objects/{path}"
    try:
        call(context.store, "PUT", url, body=b"y", headers=headers)
    except urllib3.exceptions.HTTPError:
        context.lost = True


@then("the store's answer is lost")
def check_lost(context):
    assert context.lost


@then('object "{path}" has version {version:d}')
def check_version(context, path, version):
    answer = call(context.store, "GET", f"/v1/objects/{path}")
    assert answer.headers["X-Version"] == str(version)


@then('a read of object "{path}" is answered {status:d}')
def check_object(context, path, status):
    answer = call(context.store, "GET", f"/v1/objects/{path}")
    assert answer.status == status


@given('the cloud lists instance "{name}" in failure domain "{domain}"')
def register(context, name, domain):
    instance = {
        "id": name,
        "role": "model",
        "address": "127.0.0.1:9",
        "failure_domain": domain,
    }
    set_fault(context.store, "register", instance=instance)


@when('the cloud reclaims failure domain "{domain}" after {after_s:g} seconds')
def reclaim(context, domain, after_s):
    set_fault(context.store, "reclaim", failure_domain=domain, after_s=after_s)


@then('the cloud lists a notice for failure domain "{domain}"')
def check_notice(context, domain):
    answer = call(context.store, "GET", "/cloud/notices?after=0")
    (notice,) = answer.json()["items"]
    assert (notice["instance"], notice["failure_domain"]) == ("", domain)


@then('the cloud lists "{name}" as "{state}" within {limit_s:g} seconds')
def check_state(context, name, state, limit_s):
    end_s = time.monotonic() + limit_s
    seen = None
    while seen != state and time.monotonic() < end_s:
        time.sleep(_POLL_INTERVAL_S)
        seen = list_instances(context.store).get(name, "gone")
    assert seen == state, seen


@given('the cloud has the idle address "{address}" for role "{role}"')
def add_idle(context, address, role):
    set_fault(context.store, "idle_address", address=address, role=role)


@then('a start of an instance of role "{role}" is answered {status:d}')
def check_start(context, role, status):
    wanted = {"role": role, "failure_domain": "fd-1", "market": "on_demand"}
    answer = call(context.store, "POST", "/cloud/instances", json=wanted)
    assert answer.status == status
