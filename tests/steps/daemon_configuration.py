import io
import json
import threading
import time
import uuid

from behave import given
from behave import then
from behave import when
import urllib3

from mulberryhollow.cli import main
from mulberryhollow.transport import store
from tests import site_fixture
from tools import site as sites

FAILURE_DOMAIN = "fd-1"
READY_LIMIT_S = 20
UNREADY_LIMIT_S = 20


class VersionMonitor:
    """Polls the active document version of each instance until stopped."""

    def __init__(self, shared):
        self.regressions = []
        self._seen = {}
        self._shared = shared
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self):
        self._stopped.set()
        self._thread.join()

    def _run(self):
        while not self._stopped.wait(0.05):
            for address in list(self._shared.entry_names.values()):
                self._poll(address)

    def _poll(self, address):
        status = read_status(address, 0.3)
        if status is None:
            return
        before = self._seen.get(address, 0)
        if status["document_version"] < before:
            self.regressions.append((address, before, status))
        self._seen[address] = status["document_version"]


def read_status(address, timeout_s=2):
    try:
        answer = sites.call(address, "GET", "/status", timeout_s=timeout_s)
        return answer.json()
    except urllib3.exceptions.HTTPError:
        return None


def run_command(context, words, council="brunner"):
    """Run a command on the store of the site; return (exit code, report)."""
    shared = context.shared
    # Commands run at the same time, so each has a key file of its own.
    keys = shared.fleet.folder / f"{council}-{uuid.uuid4().hex}.key"
    keys.write_text(f"example-key-{council}-operator", encoding="utf-8")
    words = [*words, "--store", shared.site.store_address, "--json"]
    words += ["--council", council, "--key-file", str(keys)]
    stream = io.StringIO()
    code = main.main(words, None, stream)
    return code, json.loads(stream.getvalue())


def read_stored(context):
    client = store.StoreClient(context.shared.site.store_address)
    return client.get("environment", "production")


def apply_weight(context, weight, base_version):
    text = sites.EXAMPLE_PATH.read_text(encoding="utf-8")
    path = context.shared.fleet.folder / f"weight-{weight}.ini"
    path.write_text(
        text.replace("weight = 3", f"weight = {weight}", 1), encoding="utf-8"
    )
    words = ["apply", str(path), "--environment", "production"]
    return run_command(context, [*words, "--base-version", str(base_version)])


def list_entries(context, without=()):
    names = list(context.shared.entry_names)
    return {
        name: context.shared.entry_names[name]
        for number, name in enumerate(names, 1)
        if number not in without
    }


def wait_active(context, entries, limit_s):
    wanted = context.wanted_version
    site_fixture.wait_until(
        lambda: all(
            (read_status(each) or {}).get("document_version") == wanted
            for each in entries.values()
        ),
        limit_s,
    )


@given("two more instances in one failure domain")
def add_entries(context):
    shared = context.shared
    if len(shared.entry_names) == site_fixture.ENTRIES:
        shared.add_entry(FAILURE_DOMAIN)
        shared.add_entry(FAILURE_DOMAIN)
        shared.wait_ready()


@given("the active version is monitored on every instance")
def watch_versions(context):
    context.monitor = VersionMonitor(context.shared)
    context.add_cleanup(context.monitor.stop)
    context.add_cleanup(thaw_all, context)
    context.base_version = read_stored(context).version


@when("weight {weight:d} is applied")
def apply_change(context, weight):
    context.outcome = apply_weight(context, weight, context.base_version)
    if context.outcome[0] == 0:
        context.wanted_version = read_stored(context).version


@when("weights {first:d} and {second:d} are applied at once")
def apply_both(context, first, second):
    calls = [
        site_fixture.BackgroundCall(
            apply_weight, context, weight, context.base_version
        )
        for weight in (first, second)
    ]
    context.outcomes = [call.wait() for call in calls]
    context.wanted_version = read_stored(context).version


@when("the platform's store becomes unavailable")
def stop_store(context):
    context.shared.fault(context.shared.site.store_address, "outage")


@when("the platform's store becomes available again")
def start_store(context):
    context.shared.fault(context.shared.site.store_address, "clear")


@when("the next {count:d} reads of the store are stale")
def make_stale(context, count):
    address = context.shared.site.store_address
    context.shared.fault(address, "stale_reads", count=count)


@when("the store's next {count:d} answers to changes are lost")
def lose_answers(context, count):
    address = context.shared.site.store_address
    context.shared.fault(address, "drop_answer", count=count)


@when("{seconds:d} real seconds pass")
def pass_time(context, seconds):
    time.sleep(seconds)


@when("every instance is frozen")
def freeze_all(context):
    freeze(context, list_entries(context))


@when("every instance but {number:d} is frozen")
def freeze_others(context, number):
    freeze(context, list_entries(context, {number}))


@when("instance {number:d} is frozen")
def freeze_one(context, number):
    context.frozen = {number}
    freeze(context, [list(context.shared.entry_names)[number - 1]])


def freeze(context, names):
    for name in names:
        context.shared.fleet.freeze(name)


@when("every instance is thawed")
def thaw_all(context):
    for name in context.shared.entry_names:
        context.shared.fleet.thaw(name)


@when("instance {number:d} is killed and started again")
def restart(context, number):
    shared = context.shared
    name = list(shared.entry_names)[number - 1]
    shared.fleet.kill(name)
    shared.entry_names[name] = shared.site.add_entry(name, FAILURE_DOMAIN)


@then("the command ends as {outcome}")
def check_outcome(context, outcome):
    code, report = context.outcome
    assert report["outcome"] == outcome, (code, report)


@then("one command is applied and the other ends as conflict with a remedy")
def check_race(context):
    codes = sorted(code for code, _ in context.outcomes)
    assert codes == [0, 3], context.outcomes
    report = next(report for code, report in context.outcomes if code)
    assert report["outcome"] == "conflict", report
    assert report["remedy"], report


@then("every instance uses the change within {limit_s:d} seconds")
def check_active(context, limit_s):
    wait_active(context, list_entries(context), limit_s)


@then("the other instances use the change within {limit_s:d} seconds")
def check_others(context, limit_s):
    wait_active(context, list_entries(context, context.frozen), limit_s)


@then("no instance went back to an earlier version")
def check_no_regression(context):
    context.monitor.stop()
    assert not context.monitor.regressions, context.monitor.regressions


def is_ready(address):
    return (read_status(address) or {}).get("ready", False)


@then("every instance is ready")
def check_all_ready(context):
    site_fixture.wait_until(
        lambda: all(map(is_ready, context.shared.entry_names.values())),
        READY_LIMIT_S,
    )


@then("instance {number:d} becomes unready")
def check_unready(context, number):
    address = list(context.shared.entry_names.values())[number - 1]
    site_fixture.wait_until(lambda: not is_ready(address), UNREADY_LIMIT_S)


@then("instance {number:d} is ready")
def check_one_ready(context, number):
    address = list(context.shared.entry_names.values())[number - 1]
    site_fixture.wait_until(lambda: is_ready(address), READY_LIMIT_S)
