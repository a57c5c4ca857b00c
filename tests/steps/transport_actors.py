from unittest import mock

from behave import given
from behave import then
from behave import when
import pykka

from mulberryhollow import events
from mulberryhollow.serving import claims
from mulberryhollow.serving import dispatcher
from mulberryhollow.serving import documents
from mulberryhollow.serving import moves
from mulberryhollow.transport import actors
from mulberryhollow.transport import gossip

ACTORS = (
    claims.ClaimActor,
    dispatcher.DispatchActor,
    documents.DocumentActor,
    gossip.Gossip,
    moves.MoveActor,
)


class Divider(actors.ResilientActor):
    """Divides 1 by each message."""

    def on_receive(self, message):
        return 1 / message


@given("an actor whose next message raises an exception")
def start_actor(context):
    context.actor = Divider.start()
    context.add_cleanup(context.actor.stop)


@when("it is told that message and asked another one")
def tell(context):
    with mock.patch.object(events, "log") as log:
        context.actor.tell(0)
        context.answer = context.actor.ask(2, timeout=5.0)
    context.logged = log.mock_calls


@then("it answers and the exception has been logged")
def check_answer(context):
    assert context.answer == 0.5
    (logged,) = context.logged
    assert logged.args == (actors.MESSAGE_FAILED,), logged
    assert "ZeroDivisionError" in logged.kwargs["error"], logged


@when("it is asked that message")
def ask(context):
    try:
        context.actor.ask(0, timeout=5.0)
    except ZeroDivisionError as error:
        context.error = error


@then("the exception reaches the sender")
def check_error(context):
    assert isinstance(context.error, ZeroDivisionError)


@then("all actors of the package are of that kind")
def check_actors(context):
    package = {
        each
        for each in pykka.ThreadingActor.__subclasses__()
        if each.__module__.startswith("mulberryhollow")
    }
    assert package == {actors.ResilientActor}, package
    assert all(issubclass(each, actors.ResilientActor) for each in ACTORS)
