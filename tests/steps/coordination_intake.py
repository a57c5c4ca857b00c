from behave import given
from behave import then
from behave import when

from mulberryhollow.coordination import intake

KIB = 1024


@given("a budget of {size:d} KiB")
def make_buffers(context, size):
    context.buffers = intake.RequestBuffers(size * KIB)
    context.yielded = []


@given("a budget of {size:d} KiB with requests of at most {largest:d} KiB")
def make_buffers_for(context, size, largest):
    context.buffers = intake.RequestBuffers(size * KIB, largest * KIB)
    context.yielded = []


@when("{sender:w} sends {size:d} KiB at {now_s:d} s")
def resize(context, sender, size, now_s):
    context.yielded += context.buffers.resize(sender, size * KIB, now_s)


@when("the request of {sender:w} is complete with {size:d} KiB at {now_s:d} s")
def complete(context, sender, size, now_s):
    context.yielded += context.buffers.complete(
        sender, f"request of {sender}", size * KIB, now_s
    )


@when("the request of {sender:w} is released twice")
def release(context, sender):
    for _ in range(2):
        context.buffers.release(f"request of {sender}")


@then("only {sender:w} yields")
def check_yielded(context, sender):
    assert context.yielded == [sender], context.yielded
    context.yielded = []


@then("no further one yields")
def check_none_yields(context):
    assert not context.yielded, context.yielded


@then("{size:d} KiB are held")
def check_held(context, size):
    assert context.buffers.held_bytes == size * KIB, context.buffers.held_bytes


@then("there is room for {size:d} KiB")
def check_room(context, size):
    assert context.buffers.has_room(size * KIB)


@then("there is no room for {size:d} KiB")
def check_no_room(context, size):
    assert not context.buffers.has_room(size * KIB)


@given("connections of a server for {limit:d}")
def make_connections(context, limit):
    context.limit = limit
    context.states = [
        intake.ConnectionState(
            row["name"],
            float(row["idle_s"]),
            row["is_partial"] == "yes",
            row["has_sent"] == "yes",
            row["is_refused"] == "yes",
            row["is_answering"] == "yes",
        )
        for row in context.table
    ]


@then("{names} are closed")
def check_closed(context, names):
    chosen = intake.choose_connections(context.states, context.limit)
    assert chosen == names.split(", "), chosen


@then("{memory:d} MiB and room for {most:d} connections give {connections:d}")
def check_connections(context, memory, most, connections):
    found = intake.compute_connections(memory * intake.MIB, most)
    assert found == connections, found


@then(
    "{memory:d} MiB and requests of {request:d} MiB give {callers:d} MiB"
    " for callers"
)
def check_callers(context, memory, request, callers):
    shares = intake.MemoryShares(memory * intake.MIB)
    found = shares.compute_callers(request * intake.MIB)
    assert found == callers * intake.MIB, found / intake.MIB
