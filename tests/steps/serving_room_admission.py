import json
import logging
import types
import zlib

from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow.coordination import room
from mulberryhollow.coordination import sharing
from mulberryhollow import errors
from mulberryhollow import metrics
from mulberryhollow.protocol import aggregates
from mulberryhollow.protocol import draws
from mulberryhollow.protocol import forwarding
from mulberryhollow.serving import ingress
from mulberryhollow.serving import metrics_page
from mulberryhollow.serving import observer
from mulberryhollow.serving import quota_peering
from mulberryhollow.serving import room_admission
from mulberryhollow.state import catalogue
from mulberryhollow.state.endpoints.room import ServiceRoom
from tests import requests

ACCOUNT = "b"
INTERVAL_S = 0.01


def set_room(context, is_work_based):
    full = ServiceRoom(
        endpoints=1,
        slots=6.0,
        used_slots=6.0,
        is_work_based=is_work_based,
    )
    for name, instance in context.instances.items():
        instance.dispatcher.change(
            lambda actor, now_s: setattr(
                actor.view,
                "measure_room",
                lambda service, now_s, unused=(): full,
            )
        )
        watch_decisions(context, name, instance.admission)


def watch_decisions(context, name, admission):
    """Count the decisions of an instance."""
    decide = admission.decide

    def count(subject, query):
        context.deciders[name] = context.deciders.get(name, 0) + 1
        return decide(subject, query)

    admission.decide = count


@given("every instance sees a full room without reports of work time")
def set_old_room(context):
    context.deciders = {}
    set_room(context, False)


@given("every instance sees a full room")
def set_full_room(context):
    context.deciders = {}
    set_room(context, True)


@given("the second and third instance decide at protocol level {level:d}")
def set_level(context, level):
    names = ("second", "third")
    for name, instance in context.instances.items():
        others = tuple(each for each in names if each != name)
        instance.peering.apply_collectors(
            sharing.Collectors(
                names,
                others,
                is_local=name in names,
                live=3,
                level=level,
            )
        )


@when("the first instance admits {count:d} requests of {cost:d} token")
@when("the first instance admits {count:d} requests of {cost:d} tokens")
def admit(context, count, cost):
    context.refusals = []
    for number in range(count):
        context.clock.advance(INTERVAL_S)
        now_s = context.clock.now_s()
        request = requests.make_request(
            account=ACCOUNT,
            cost=float(cost),
            arrived_s=now_s,
            deadline_s=now_s + 2.0,
            fingerprint=f"f{number}",
            rank=2,
        )
        try:
            context.instances["first"].peering.charge(request)
        except errors.RefusedError as error:
            context.refusals.append(error.refusal)
    context.admitted = count - len(context.refusals)


def list_no_room(context):
    kind = errors.RefusalKind.NO_CAPACITY
    return [each for each in context.refusals if each.kind is kind]


@then("no request was refused for lack of room")
def check_none(context):
    assert not context.refusals, context.refusals[0]
    assert not context.deciders, context.deciders


@then("requests were refused for lack of room, marked as not run")
def check_no_room(context):
    refused = list_no_room(context)
    assert len(refused) > 50, len(refused)
    for each in refused:
        assert each.ran is errors.ExecutionStatus.NOT_RUN, each
        assert 0 < each.retry_after_s <= 2.0 / 3 + 1e-6, each


@then(
    "the first instance has {credit:d} tokens left without the admitted ones"
)
def check_credit(context, credit):
    left = context.instances["first"].dispatcher.read(
        lambda actor, now_s: actor.quotas.lend(ACCOUNT, 1e9, now_s)
    )
    assert round(left + context.admitted) == credit, (left, context.admitted)


@then("the decisions were made by the {name} instance")
def check_deciders(context, name):
    assert set(context.deciders) == {name}, context.deciders


@then("{count:d} or more of them were refused as over the quota")
def check_over_quota(context, count):
    over = [
        each
        for each in context.refusals
        if each.kind is errors.RefusalKind.OVER_SHARE
    ]
    assert len(over) >= count, context.refusals


@given("the first instance decides for {count:d} accounts")
def decide_for_accounts(context, count):
    instance = context.instances["first"]
    now_s = context.clock.now_s()
    query = draws.RoomQuery("route", 1, 0.5, 2.0, "")
    for number in range(count):
        subject = requests.make_request(account=f"a{number}")
        instance.admission.decide(subject.to_route_request(), query)
    context.demand = instance.admission.list_demand()
    assert now_s == context.clock.now_s()


def encode(demand):
    """Return the bytes of an aggregate report, and its tables."""
    total = sharing.Total(sharing.Amounts(room=demand), 1)
    data = aggregates.encode_report(
        aggregates.AggregateReport("i", "d", total)
    )
    assert aggregates.decode_report(data).total == total
    return len(data), json.loads(zlib.decompress(data))["total"]["amounts"]


@then(
    "its report of the demand for room has at most {count:d} entries in "
    "{size:d} bytes"
)
def check_bounded(context, count, size):
    assert 0 < len(context.demand) <= count, len(context.demand)
    assert encode(context.demand)[0] <= size, encode(context.demand)[0]


@then("its report of the demand for room is empty and has no such table")
def check_no_table(context):
    assert not context.demand, context.demand
    assert "room" not in encode(context.demand)[1]


def make_query(**fields):
    values = {
        "route": "route",
        "rank": 2,
        "goal_left_s": 0.5,
        "deadline_left_s": 2.0,
        "fingerprint": "f",
        "max_output_tokens": 9,
    }
    return draws.RoomQuery(**values | fields)


@given("a draw with a question for room")
def make_draw(context):
    request = requests.make_request(chain=None)
    context.query = make_query()
    context.payload = draws.encode_draw(request, 0.0, context.query)
    context.plain_payload = draws.encode_draw(request, 0.0)


@then("the question is read back, and left out for older builds")
def check_draw(context):
    assert draws.decode_draw(context.payload, 0.0).room_query == context.query
    assert draws.decode_draw(context.plain_payload, 0.0).room_query is None
    assert "room" not in json.loads(context.plain_payload)


@then('a malformed question "{text}" is refused as malformed')
def check_malformed(context, text):
    fields = json.loads(context.payload) | {"room": json.loads(text)}
    try:
        draws.decode_draw(json.dumps(fields).encode(), 0.0)
    except ValueError:
        return
    raise AssertionError("it was decoded")


@then("a refusal for lack of room is read back, and absent otherwise")
def check_drawn(context):
    refused = draws.DrawnCredit(
        None, no_room=draws.RoomRefusal(room.Rule.SHARE.value, 0.25)
    )
    data = draws.encode_drawn(refused)
    assert draws.decode_drawn("a", data) == refused
    assert "no_room" not in json.loads(
        draws.encode_drawn(draws.DrawnCredit(None, "e1"))
    )


def make_ingress(context, is_on):
    """Return an Ingress whose forwarder keeps the requests."""
    context.forwarded = []
    route = catalogue.Route(
        name="route",
        host="h",
        path_prefix="/p/",
        kind=catalogue.RequestKind.STREAM,
        shares=(catalogue.ServiceShare("s", 1.0),),
        timeout_s=10.0,
        goal_s=0.5,
        priority=context.route_priority,
    )
    account = catalogue.ClientAccount(
        "a",
        frozenset(("key",)),
        catalogue.Quota(0.0, 0.0),
        context.account_priority,
    )
    found = ingress.Ingress(
        ingress.IngressDependencies(
            types.SimpleNamespace(
                forward=lambda request, is_gone: context.forwarded.append(
                    request
                )
            ),
            clocks.ManualClock(),
            types.SimpleNamespace(charge=lambda request: None),
            types.SimpleNamespace(is_on=lambda service: is_on),
        )
    )
    found.apply(catalogue.Catalogue(1, (route,), {}, (account,)))
    return found


@given("a route of priority {route:d} and an account of priority {account}")
def set_priorities(context, route, account):
    context.route_priority = route
    context.account_priority = None if account == "none" else int(account)


@when("a request is accepted where admission by room is {state}")
def accept(context, state):
    payload = forwarding.Payload("POST", "/p/x", (), b"")
    make_ingress(context, state == "on").accept(
        ingress.IngressRequest("r", "h", "/p/x", "key", None, payload),
        lambda: False,
    )


@then("it is forwarded with priority {priority:d} and rank {rank:d}")
def check_priority(context, priority, rank):
    (request,) = context.forwarded
    assert (request.priority, request.rank) == (priority, rank), request


class Lines(logging.Handler):
    """Keeps the fields of the log lines of one event."""

    def __init__(self, number):
        super().__init__()
        self.number = number
        self.fields = []

    def emit(self, record):
        if getattr(record, "event", 0) == self.number:
            self.fields.append(record.fields)


@given("the log and the metrics of the first instance are kept")
def keep_log(context):
    context.lines = Lines(room_admission.NO_ROOM.number)
    logger = logging.getLogger("mulberryhollow")
    logger.addHandler(context.lines)
    context.add_cleanup(logger.removeHandler, context.lines)
    context.add_cleanup(logger.setLevel, logger.level)
    logger.setLevel(logging.INFO)
    context.observer = observer.Observer(metrics.Metrics())
    instance = context.instances["first"]
    admission = room_admission.RoomAdmission(
        instance.dispatcher, context.clock, "first", context.observer
    )
    peering = quota_peering.QuotaPeering(
        context.quota_peers.at("first"),
        context.clock,
        instance.dispatcher,
        admission,
    )
    context.instances["first"] = types.SimpleNamespace(peering=peering)


@then(
    "each refusal for lack of room has one log line with its rule and inputs"
)
def check_log(context):
    assert len(context.lines.fields) == len(list_no_room(context)) > 0
    names = {"request", "route", "account", "rank", "rule", "retry_ms", "use"}
    names |= {"share", "demand", "capacity", "wait_ms", "age_ms", "work_ms"}
    for each in context.lines.fields:
        assert names <= each.keys(), each


@then("the metrics count the refusals by route, rank and rule")
def check_metrics(context):
    counts = context.observer.list_counts()
    refused = sum(
        count
        for name, count in counts.items()
        if name.startswith("room.refused.route.2.")
    )
    assert refused == len(list_no_room(context)), counts
    page = metrics_page.render_metrics(
        counts, (), context.observer.list_gauges()
    )
    assert "\nmulberryhollow_room_use_s 1\n" in page, page
