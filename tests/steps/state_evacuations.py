from behave import given
from behave import then
from behave import when

from mulberryhollow.state import evacuations


def receive(table, report):
    *words, revision = report.split()
    revision = int(revision)
    match words[:2]:
        case ["a", "request"]:
            table.merge(evacuations.Evacuation("d", revision, True), 0.0)
        case ["an", "end"]:
            table.merge(evacuations.Evacuation("d", revision, False), 0.0)
        case ["an", "empty"]:
            table.apply_list([], revision, 0.0)
        case ["a", "list"]:
            listed = evacuations.Evacuation("d", int(words[3]), True)
            table.apply_list([listed], revision, 0.0)


@given("a table of evacuations that has received {report}")
def make_table(context, report):
    context.evacuation_table = evacuations.EvacuationTable(["d"])
    receive(context.evacuation_table, report)


@when("the table of evacuations receives {report}")
def receive_another(context, report):
    receive(context.evacuation_table, report)


@then("the domain d is {state}")
def check_state(context, state):
    domains = context.evacuation_table.get_current().failure_domains
    assert domains == ({"d"} if state == "evacuated" else set()), domains
