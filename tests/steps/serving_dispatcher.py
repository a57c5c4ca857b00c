import json
import pathlib
import types

from behave import given
from behave import then
from behave import when

from mulberryhollow import clock
from mulberryhollow.protocol import document
from mulberryhollow.serving import dispatcher
from mulberryhollow.serving import shares
from mulberryhollow.state import environment


@given("a dispatcher on a manual clock")
def make_dispatcher(context):
    context.clock = clock.ManualClock()
    actor = dispatcher.DispatchActor.start(context.clock, 1)
    context.add_cleanup(actor.stop)
    context.dispatcher = dispatcher.Dispatcher(actor, context.clock)


@when("the example document becomes active")
def apply_example(context):
    data = pathlib.Path("examples/production.ini").read_bytes()
    parsed = document.parse(data)
    context.dispatcher.read(
        lambda actor, now_s: dispatcher.apply_environment(parsed, actor, now_s)
    )


@then("client account {account} is admitted for {cost:d} tokens at once")
def check_admitted(context, account, cost):
    request = types.SimpleNamespace(
        account=account,
        request_class=environment.RequestClass.CHAT,
    )
    assert context.dispatcher.admit(request, cost, "f")


@given("version shares of a service at {version}")
def make_shares(context, version):
    context.shares = shares.VersionShares()
    context.shares.set_versions({"s": version})


@when("a move from {old} to {new} has share {share:g}")
def set_move(context, old, new, share):
    context.shares.set_move("s", old, new, share)


@then("the shares of the service are {text}")
def check_shares(context, text):
    assert context.shares.get("s") == json.loads(text)
