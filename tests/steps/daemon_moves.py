import itertools
import json
import threading
import time

import attrs
from behave import given
from behave import then
from behave import when
import urllib3

from mulberryhollow.coordination import rollout
from mulberryhollow.protocol import moves
from mulberryhollow.transport import store
from tests import site_fixture
from tests.steps import daemon_configuration
from tools import site as sites

MOVE_NAME = "production.call-chat"
CALLERS = 6
WAIT_LIMIT_S = 40


class Callers:
    """Threads that send chats to every instance in turn until stopped."""

    def __init__(self, shared):
        self.answered = 0
        self.failed = []
        self._shared = shared
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number):
        pool = urllib3.PoolManager()
        for count in itertools.count(number):
            if self._stopped.is_set():
                return
            addresses = list(self._shared.entry_names.values())
            self._call(pool, addresses[count % len(addresses)])

    def _call(self, pool, address):
        body = {"prompt": "a drain is blocked", "max_tokens": 1}
        try:
            answer = pool.request(
                "POST",
                f"http://{address}{site_fixture.CHAT}",
                body=json.dumps(body).encode(),
                headers={"Authorization": f"Bearer {site_fixture.KEY}"},
                timeout=20,
                retries=False,
            )
            self._count(answer.status == 200, (answer.status, answer.data))
        except urllib3.exceptions.HTTPError as error:
            self._count(False, error)

    def _count(self, is_answered, what):
        with self._lock:
            self.answered += is_answered
            if not is_answered:
                self.failed.append(what)


def make_client(context):
    return store.StoreClient(context.shared.site.store_address)


def read_stored(context):
    found = make_client(context).get("move", MOVE_NAME)
    return moves.decode(found.value, found.version) if found else None


def list_moves(context):
    """Return the move that each instance follows; None for no move."""
    statuses = [
        sites.call(address, "GET", "/status").json()
        for address in context.shared.entry_names.values()
    ]
    found = [
        [each for each in status["moves"] if each["service"] == "call-chat"]
        for status in statuses
    ]
    return [each[0] if each else None for each in found]


def wait_moves(context, check, limit_s=WAIT_LIMIT_S):
    """Wait until a condition holds for the current move on every instance."""

    def holds():
        found = list_moves(context)
        return all(
            each and each["id"] == context.move_id and check(each)
            for each in found
        )

    site_fixture.wait_until(holds, limit_s)


@given("version v2 is loaded on every engine")
def load_everywhere(context):
    current = read_stored(context)
    fencing_token = current.version if current else 0
    for address in context.shared.engines.values():
        report = sites.call(address, "GET", "/v1/load").json()
        if "v2" not in report["versions"]:
            order = {"order": "load", "service": "call-chat", "version": "v2"}
            order |= {"fence": fencing_token}
            answer = sites.call(address, "POST", "/v1/orders", order)
            assert answer.status == 200, answer.data
    time.sleep(1.5)


@given("callers chat with every instance")
def start_callers(context):
    context.callers = Callers(context.shared)
    context.add_cleanup(context.callers.stop)


@given("version v2 fails on every engine")
def fail_version(context):
    for address in context.shared.engines.values():
        context.shared.fault(address, "fail", share=1.0, version="v2")


@given("version v2 is {factor:d} times slower on every engine")
def slow_version(context, factor):
    for address in context.shared.engines.values():
        context.shared.fault(address, "slow", factor=factor, version="v2")


def run_move(context, action, *words):
    words = ["move", action, "--service", "call-chat", *words]
    code, report = daemon_configuration.run_command(context, words)
    assert code == 0, report


@when("a move to v2 within {within_s:d} seconds is started by command")
def start_move(context, within_s):
    run_move(
        context, "start", "--to-version", "v2", "--within-s", str(within_s)
    )
    context.move_id = read_stored(context).id


@when("the move is aborted by command")
def abort_move(context):
    run_move(context, "abort")


@when(
    "a move to v2 is at share {share:f} with {remaining_s:d} seconds remaining"
)
def write_move(context, share, remaining_s):
    now_s = time.time()
    current = read_stored(context)
    move = rollout.Move(
        store.make_change_id(),
        "production",
        "call-chat",
        "v1",
        "v2",
        now_s,
        now_s + remaining_s,
        rollout.Stage.SHIFTING,
        share,
    )
    if current:
        move = attrs.evolve(
            move,
            driver=current.driver,
            lease_until_s=current.lease_until_s,
            epoch=current.epoch,
        )
    make_client(context).put(
        "move",
        MOVE_NAME,
        moves.encode(move),
        current.version if current else 0,
        store.make_change_id(),
    )
    context.move_id = move.id
    context.deadline_s = move.deadline_s


@when("the instance that drives the move is killed")
def kill_driver(context):
    def has_driver():
        move = read_stored(context)
        return move.driver and move.lease_until_s > time.time() + 10

    site_fixture.wait_until(has_driver)
    name = read_stored(context).driver.rpartition(".")[0]
    context.shared.kill_entry(name)


@when("the deadline of the move has passed")
def wait_deadline(context):
    time.sleep(max(0.0, context.deadline_s - time.time()))


@then("every instance gives v2 some requests")
def check_some_requests(context):
    wait_moves(context, lambda each: 0 < each["share"] < 1)


@then("the move is done on every instance before its deadline")
def check_done(context):
    remaining_s = context.deadline_s - time.time()
    wait_moves(context, lambda each: each["stage"] == "done", remaining_s)
    assert read_stored(context).stage is rollout.Stage.DONE


@then("the move is rolled back on every instance")
def check_rolled_back(context):
    def is_rolled_back_somewhere():
        found = list_moves(context)
        return any(
            each and each["id"] == context.move_id and not each["share"]
            for each in found
        )

    site_fixture.wait_until(is_rolled_back_somewhere, WAIT_LIMIT_S)
    context.verdict_s = time.time()
    for address in context.shared.engines.values():
        context.shared.fault(address, "clear")
    wait_moves(context, lambda each: each["share"] == 0.0)


def check_v2_arrivals(context, after_s):
    time.sleep(max(0.0, after_s + 2.0 - time.time()))
    arrivals = [
        entry["at_s"] - after_s
        for address in context.shared.engines.values()
        for entry in sites.call(address, "GET", "/control").json()["arrived"]
        if entry["version"] == "v2" and entry["at_s"] > after_s
    ]
    assert not arrivals, sorted(arrivals)


@then("no request went to v2 later than {grace_s:d} seconds after the verdict")
def check_after_verdict(context, grace_s):
    check_v2_arrivals(context, context.verdict_s + grace_s)


@then(
    "no request went to v2 later than {grace_s:d} seconds after the deadline"
)
def check_after_deadline(context, grace_s):
    check_v2_arrivals(context, context.deadline_s + grace_s)


@then('the stored move is rolled back for "{reason}"')
def check_stored(context, reason):
    def is_rolled_back():
        move = read_stored(context)
        return move.stage is rollout.Stage.ROLLED_BACK

    site_fixture.wait_until(is_rolled_back, WAIT_LIMIT_S)
    assert reason in read_stored(context).reason, read_stored(context)


@then("no request has failed")
def check_none_failed(context):
    context.callers.stop()
    assert context.callers.answered
    assert not context.callers.failed, context.callers.failed[:5]
