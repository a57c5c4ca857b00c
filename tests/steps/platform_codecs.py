import io
import json
import pathlib
import re
import tempfile
from unittest import mock

from behave import given
from behave import then
from behave import when

from mulberryhollow.coordination import limits
from mulberryhollow.coordination import routing
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.platform import __main__ as program
from mulberryhollow.platform import callers
from mulberryhollow.platform import endpoints
from mulberryhollow.platform import headers
from mulberryhollow.platform import records
from mulberryhollow.platform import settings
from mulberryhollow.serving import documents
from mulberryhollow.state import catalogue
from mulberryhollow.state import objects
from tests import requests

SETTINGS = {
    "nodeName": "edge-1",
    "zone": "z1",
    "region": "r1",
    "ip": "10.0.0.1",
    "listen": {
        "frontend": "10.0.0.1:1",
        "ready": "10.0.0.1:2",
        "control": "10.0.0.1:3",
    },
    "internalPorts": [7600, 7615],
    "seeds": ["10.0.0.1:3", "10.0.0.2:3"],
    "limits": {"maxFds": 4100},
    "bounds": {"graceS": 8, "quotaSlack": 140000, "leaseMs": 3000},
    "platform": {"address": "10.0.0.9:5"},
    "cloudApi": {"address": "10.0.0.8:5", "duties": ["metering"]},
}


@given("the platform's settings of one instance")
def make_settings(context):
    context.fields = json.loads(json.dumps(SETTINGS))


@then("the settings name the instance, its addresses and its bounds")
def check_settings(context):
    found = settings.decode_settings(json.dumps(context.fields))
    assert found.instance == "edge-1"
    assert found.callers_address == "10.0.0.1:1"
    assert (found.peer_port, found.metrics_port) == (7600, 7615)
    assert found.has_usage_duty and not found.has_order_duty
    assert found.bounds.lease_s == 3.0
    assert found.bounds.quotas.slack == 140000


@then(
    "the settings have placement rules: {is_used}, two regions and "
    "{limit_s:g} s"
)
def check_placement_rules(context, is_used, limit_s):
    found = settings.decode_settings(json.dumps(context.fields))
    assert found.has_placement_rules is (is_used == "yes")
    assert found.domain_regions == {"z1": "r1", "z2": "r2"}
    assert found.bounds.evacuation_s == limit_s


@then("configurations have to be in force within {limit_s:g} seconds")
def check_apply_limit(context, limit_s):
    found = settings.decode_settings(json.dumps(context.fields))
    assert found.bounds.config_apply_s == limit_s


@then(
    "endpoints have to be left within {drain_s:g} seconds, or {contact_s:g} "
    "after a disturbance"
)
def check_drain_limits(context, drain_s, contact_s):
    found = settings.decode_settings(json.dumps(context.fields))
    limits = found.bounds.drain_s, found.bounds.contact_s
    assert limits == (drain_s, contact_s), limits


@when("the fields {names} are removed and an unknown one is added")
def remove_fields(context, names):
    for name in names.split(", "):
        del context.fields[name]
    context.fields["news"] = {"x": 1}


@then("the settings have no duties")
def check_no_duties(context):
    found = settings.decode_settings(json.dumps(context.fields))
    assert not (found.has_usage_duty or found.has_order_duty)
    assert (found.cloud_address, found.seeds) == ("", ())


@when("the field {name} becomes {value}")
def change_field(context, name, value):
    if value == "absent":
        context.fields.pop(name, None)
    else:
        context.fields[name] = json.loads(value)


@then("the settings are refused, naming {named}")
def check_settings_refused(context, named):
    try:
        settings.decode_settings(json.dumps(context.fields))
    except errors.SettingsError as error:
        assert named in str(error), error
        return
    raise AssertionError("the settings were accepted")


@given("a process that polls its settings file")
def poll_settings(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = pathlib.Path(folder.name) / "settings"
    context.path.write_text(json.dumps(SETTINGS))
    context.daemon = mock.Mock()
    context.known = context.path.read_text()


def poll_twice(context):
    with mock.patch.object(events, "log") as log:
        for _ in range(2):
            context.known = program._reload(
                context.daemon, context.path, context.known
            )
    context.logged = [each.args[0] for each in log.mock_calls]


@when("the settings file becomes {content}")
def spoil_settings(context, content):
    if content == "a folder":
        context.path.unlink()
        context.path.mkdir()
        return
    text = json.dumps(SETTINGS).encode()
    spoilt = {
        "bytes that are not UTF-8": b'{"a": "\xff"}',
        "200000 brackets": b"[" * 200_000,
        "half of itself": text[: len(text) // 2],
        "a number of 5000 digits": b"9" * 5000,
    }
    context.path.write_bytes(spoilt[content])


@then("the process goes on with its settings and logs once that it does")
def check_not_reloaded(context):
    poll_twice(context)
    assert not context.daemon.apply_settings.called
    assert context.logged == [program.NOT_RELOADED], context.logged


@when("the settings file is sound again")
def mend_settings(context):
    if context.path.is_dir():
        context.path.rmdir()
    context.path.write_text(json.dumps(SETTINGS | {"news": 1}))


@then("the process applies it")
def check_reloaded(context):
    poll_twice(context)
    assert context.daemon.apply_settings.call_count == 1
    assert context.logged == [program.RELOADED], context.logged


ENTRY = {
    "service": "s",
    "address": "10.1.0.1:80",
    "zone": "z1",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "born": 1700000000000,
}


def make_item(name, fields, version=1):
    return objects.StoredObject(
        "servers", name, version, json.dumps(fields).encode()
    )


@then("the entry of a ready endpoint is decoded")
def check_entry(context):
    found = records.decode_listing(make_item("i-1", ENTRY))
    assert (found.identity, found.slots) == ("i-1", 6)
    assert not (found.is_leaving or found.is_reclaimable)
    leaving = ENTRY | {"state": "draining", "spot": True, "leaves_ms": 2500}
    found = records.decode_listing(make_item("i-1", leaving))
    assert found.is_leaving and found.is_reclaimable
    assert found.leaves_in_s == 2.5


@then(
    "an entry with coldLeftMs {value} says that it is cold for {cold_s:g} "
    "seconds"
)
def check_cold_entry(context, value, cold_s):
    fields = dict(ENTRY)
    if value == "a number of 400 digits":
        fields["coldLeftMs"] = 10**399
    elif value != "absent":
        fields["coldLeftMs"] = json.loads(value)
    found = records.decode_listing(make_item("i-1", fields))
    assert found.cold_left_s == cold_s, found


@then(
    "a service with coldS {duration} and coldPerS {rate} has the cold rate "
    "{found}"
)
def check_cold_rate(context, duration, rate, found):
    service = {"name": "s3", "coldS": float(duration)}
    if rate != "absent":
        service["coldPerS"] = float(rate)
    fields = CONFIGURATION | {
        "services": [*CONFIGURATION["services"], service]
    }
    decoded = records.decode_catalogue(json.dumps(fields).encode(), 3)
    expected = {} if found == "none" else {"s3": float(found)}
    assert decoded.get_cold_rates() == expected


@then(
    "a cold endpoint with {rate:g} requests a second may get {most:g} in any "
    "second"
)
def check_cold_bounds(context, rate, most):
    found = settings.decode_settings(json.dumps(context.fields))
    table = limits.EndpointRateTable()
    table.cold_rules = found.bounds.cold_starts
    assert table.make_cold_limit(rate).most_per_s == most


@then("an entry whose {field} is {value} is refused")
def check_malformed_entry(context, field, value):
    fields = dict(ENTRY)
    if value == "absent":
        del fields[field]
    else:
        fields[field] = json.loads(value)
    try:
        records.decode_listing(make_item("i-1", fields))
    except ValueError:
        return
    raise AssertionError("the entry was accepted")


CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "H.example",
            "pathPrefix": "/a/",
            "routeKind": "streaming",
            "timeoutMs": 10000,
            "goalMs": 800,
            "priority": 1,
            "split": [
                {"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10},
            ],
            "maxAttempts": 2,
            "resumable": True,
            "gapGoalMs": 400,
        },
        {
            "name": "r2",
            "host": "h.example",
            "pathPrefix": "/b/",
            "routeKind": "non_idempotent",
            "timeoutMs": 1000,
            "service": "s2",
            "public": True,
        },
    ],
    "services": [
        {
            "name": "s1",
            "maxConns": 300,
            "engine": {"slots": 48, "kvCapacity": 444000, "moves": True},
            "scaling": {
                "min": 1,
                "max": 5,
                "bootS": 4.0,
                "spotPrice": 0.22,
                "zonePrices": {"z1": 1.0},
            },
        },
        {"name": "s2", "maxConns": 110},
    ],
    "limits": {"maxHeaderBytes": 100, "idleTimeoutMs": 15000},
    "tenants": [
        {
            "name": "acme",
            "apiKeys": ["k1", "k2"],
            "priority": 1,
            "unit": "token_count",
            "uncachedTokens": 200,
            "ratePerS": 10,
            "burst": 20,
        }
    ],
}


@then("the decoded configuration has routes, accounts, services and limits")
def check_configuration(context):
    data = json.dumps(CONFIGURATION).encode()
    found = records.decode_catalogue(data, 3)
    stream = found.find_route("h.example", "/a/x")
    assert stream.kind is catalogue.RequestKind.RESUMABLE_STREAM
    assert [share.weight for share in stream.shares] == [90.0, 10.0]
    assert (stream.timeout_s, stream.gap_goal_s) == (10.0, 0.4)
    public = found.find_route("h.example", "/b/x")
    assert public.is_public and public.shares[0].service == "s2"
    assert found.find_account("k2").quota.default_tokens == 200
    assert found.find_account("k3") is None
    assert found.services["s1"].scaling.reclaimable_price == 0.22
    assert found.services["s2"].scaling is None
    assert found.limits.header_bytes == 100
    assert found.limits.idle_timeout_s == 15.0


@given("a document actor that decodes configurations")
def make_document_actor(context):
    context.applied = []
    context.actor = documents.DocumentActor.start(
        context.applied.append, records.decode_catalogue
    )
    context.add_cleanup(context.actor.stop)


@when("the actor receives a configuration, a malformed one and an older one")
def send_configurations(context):
    good = json.dumps(CONFIGURATION).encode()
    older_data = json.dumps(CONFIGURATION | {"version": 6}).encode()
    for version, data in ((5, good), (6, b'{"routes": 1}'), (4, older_data)):
        context.actor.ask(documents.DocumentUpdate(version, data))


@then("only the first configuration is active")
def check_active(context):
    assert [each.environment.number for each in context.applied] == [7]


def make_environ(**extra):
    return {
        "REQUEST_METHOD": "POST",
        "REQUEST_URI": "/a/x?q=1",
        "PATH_INFO": "/a/x",
        "HTTP_HOST": "h.example",
        "HTTP_ATTEMPT_ID": "r1",
        "wsgi.input": io.BytesIO(b"body"),
        "CONTENT_LENGTH": "4",
    } | extra


@given("a caller's request with every header of the platform forged")
def send_forged_headers(context):
    forged = {
        "HTTP_" + name.upper().replace("-", "_"): "forged"
        for name in headers.SYSTEM_HEADERS
    }
    forged |= {"HTTP_DEADLINE_MS": "2000", "HTTP_KEY": "k1"}
    context.ingress_request = callers.CallerCodec().decode(
        make_environ(HTTP_X_OWN="kept", HTTP_LENGTH_HINT="9", **forged)
    )
    request = requests.make_request(payload=context.ingress_request.payload)
    context.call = endpoints.EndpointCodec().encode_call(
        request, routing.Chosen("i-1.5", "h:1", "v1", identity="i-1"), 1.25, ""
    )
    context.sent = dict(context.call.headers)


@then("the endpoint receives only system headers and allowed caller headers")
def check_forwarded_headers(context):
    assert "forged" not in context.sent.values(), context.sent
    assert context.sent["X-Own"] == "kept"
    assert context.sent["Length-Hint"] == "9"
    assert context.sent["Expect-Instance"] == "i-1"
    assert context.call.target == "/a/x?q=1"
    assert context.call.body == b"body"
    names = [name.lower() for name, _ in context.call.headers]
    assert len(names) == len(set(names)), names


@then("the endpoint receives the account and not the key")
def check_account(context):
    assert context.sent["Tenant"] == "a"
    assert "Key" not in context.sent
    assert context.ingress_request.key == "k1"


@then("an attempt with 1.25 s remaining sends a Deadline-Ms of 1250 ms")
def check_deadline_header(context):
    assert context.sent["Deadline-Ms"] == "1250"


@given("a caller's request that names its own connection headers")
def send_connection_headers(context):
    context.ingress_request = callers.CallerCodec().decode(
        make_environ(
            HTTP_CONNECTION="close, X-Hop",
            HTTP_X_HOP="1",
            HTTP_TE="trailers",
            HTTP_EXPECT="100-continue",
            HTTP_TRANSFER_ENCODING="chunked",
        )
    )


@then("none of these headers is forwarded")
def check_no_connection_headers(context):
    names = [name for name, _ in context.ingress_request.payload.headers]
    assert names == ["Attempt-Id"], names


def decode_chain(parts, model="m"):
    environ = make_environ(HTTP_PROMPT_PREFIX=parts, HTTP_MODEL=model)
    return callers.CallerCodec().decode(environ).chain


@given("a request whose prompt has the parts a:800, b:400 and c:250")
def make_chain(context):
    context.chain = decode_chain("a:800,b:400,c:250")


@then("its prompt chain has the ends 800, 1200 and 1450")
def check_chain_ends(context):
    assert context.chain.ends == (800, 1200, 1450), context.chain


@then("it shares two parts with a request of a:800, b:400 and d:10")
def check_shared_parts(context):
    other = decode_chain("a:800,b:400,d:10")
    assert context.chain.hashes[:2] == other.hashes[:2]
    assert context.chain.hashes[2] != other.hashes[2]


@then("it shares none with the same parts of another model")
def check_other_model(context):
    other = decode_chain("a:800,b:400,c:250", "n")
    assert not set(context.chain.hashes) & set(other.hashes)


def expand_digits(text):
    """Return a text with its "N digits" written out."""
    return re.sub(
        r"(\d+) digits", lambda found: "9" * int(found.group(1)), text
    )


@given("a request whose {name} is {value}")
def make_malformed_header(context, name, value):
    value = expand_digits(value)
    key = "HTTP_" + name.upper().replace("-", "_")
    context.environ = make_environ(**{key: value})


@then("the header is refused, naming {name}")
def check_malformed_header(context, name):
    try:
        callers.CallerCodec().decode(context.environ)
    except errors.RefusedError as error:
        assert error.refusal.kind is errors.RefusalKind.MALFORMED
        assert name in error.refusal.message
        return
    raise AssertionError("the request was accepted")


@then(
    "a refusal of kind {kind} with execution status {ran} has HTTP status "
    "{status:d}"
)
def check_refusal_status(context, kind, ran, status):
    refusal = errors.Refusal(
        errors.RefusalKind[kind], "m", "r", errors.ExecutionStatus[ran], 0.25
    )
    reply = callers.CallerCodec().encode_refusal(refusal)
    assert reply.status == status, reply
    assert dict(reply.headers)["Retry-After"] == "0.250"


@then('an answer\'s load, idle timeout and "not run" are decoded')
def check_decoded_head(context):
    decode = endpoints.EndpointCodec().decode_head
    head = decode(
        503,
        (
            ("Attempt-Id", "r1"),
            ("Not-Executed", "1"),
            ("Instance-Load", "3,1,8"),
            ("Keep-Alive", "timeout=5"),
            ("Content-Length", "0"),
            ("X-Other", "y"),
        ),
    )
    assert head.has_not_run and head.request_id == "r1"
    assert (head.load.running, head.load.queued, head.load.slots) == (3, 1, 8)
    assert head.idle_limit_s == 5.0
    names = [name for name, _ in head.headers]
    assert "X-Other" in names and "Content-Length" not in names
    bad = decode(200, (("Instance-Load", "a,b"), ("Keep-Alive", "max=3")))
    assert bad.load is None and bad.idle_limit_s is None
    assert decode(421, ()).is_other_endpoint


@then('a load report "{text}" reads as "{expected}"')
def check_load(context, text, expected):
    head = endpoints.EndpointCodec().decode_head(
        200, (("Instance-Load", expand_digits(text)),)
    )
    found = "nothing"
    if head.load is not None:
        load = head.load
        found = f"{load.running} {load.queued} {load.slots} {load.work_time}"
    assert found == expected, found


@then("of {count:d} malformed load reports one is logged")
def check_load_logged(context, count):
    codec = endpoints.EndpointCodec()
    with mock.patch.object(events, "log") as log:
        for _ in range(count):
            codec.decode_head(200, (("Instance-Load", "3,1"),))
        codec.decode_head(200, ())
    assert [each.args[0] for each in log.mock_calls] == [
        endpoints.LOAD_MALFORMED
    ]


@then(
    'an answer {status:d} with the retry time "{text}" asks for {pause_s:g} '
    "seconds"
)
def check_pause(context, status, text, pause_s):
    head = endpoints.EndpointCodec().decode_head(
        status, (("Retry-After", text),)
    )
    assert head.pause_s == pause_s, head.pause_s


@then(
    'an answer {status:d} with the limit "{text}" names {rate} '
    "requests a second"
)
def check_rate_limit(context, status, text, rate):
    head = endpoints.EndpointCodec().decode_head(
        status, (("Server-Limit", text),)
    )
    if rate == "no":
        assert head.rate_limit is None
    elif rate == "unreadable":
        assert head.rate_limit.per_s is None
    else:
        assert head.rate_limit.per_s == float(rate), head.rate_limit


@then('an answer with the brittleness "{text}" bears {rejections} rejections')
def check_brittle(context, text, rejections):
    head = endpoints.EndpointCodec().decode_head(
        200, (("Server-Brittle", expand_digits(text)),)
    )
    expected = None if rejections == "unknown" else int(rejections)
    assert head.brittle_rejections == expected, head


@then('an answer with the Keep-Alive "{text}" names {seconds} seconds')
def check_idle_limit(context, text, seconds):
    head = endpoints.EndpointCodec().decode_head(
        200, (("Keep-Alive", expand_digits(text)),)
    )
    expected = None if seconds == "no" else float(seconds)
    assert head.idle_limit_s == expected, head.idle_limit_s


@given("a configuration whose route and tenant have the regions {value}")
def make_restricted_configuration(context, value):
    fields = json.loads(json.dumps(CONFIGURATION))
    if value != "absent":
        for each in (fields["routes"][0], fields["tenants"][0]):
            each["allowedRegions"] = json.loads(value)
    context.data = json.dumps(fields).encode()


@then("both are restricted to {names}")
def check_restriction(context, names):
    expected = None if names == "any" else frozenset(names.split(","))
    found = records.decode_catalogue(context.data, 3)
    assert found.routes[0].allowed_regions == expected
    assert found.find_account("k1").allowed_regions == expected


@then("it cannot be read, naming {field}")
def check_malformed_configuration(context, field):
    try:
        records.decode_catalogue(context.data, 3)
    except errors.ConfigurationError as error:
        assert field in str(error), error
        context.reason = str(error)
        return
    raise AssertionError("the configuration was read")


@given("a configuration with the bytes {data}")
def make_malformed_configuration(context, data):
    context.data = data.replace("\\xff", "\xff").encode("latin-1")
    if data.startswith("[ repeated"):
        context.data = b"[" * int(data.split()[2])


@then('the reason does not contain "{text}"')
def check_reason(context, text):
    assert text not in context.reason, context.reason


@given("an evacuation whose value is {value}")
def make_evacuation(context, value):
    context.item = objects.StoredObject("evacuations", "z1", 7, value.encode())


@then("it is read as {result}")
def check_evacuation(context, result):
    try:
        found = records.decode_evacuation(context.item)
    except ValueError:
        assert result == "malformed"
        return
    assert result == "active"
    assert (found.failure_domain, found.revision) == ("z1", 7), found
    assert found.is_active
