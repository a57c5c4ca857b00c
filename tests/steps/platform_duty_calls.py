import contextlib
import socket
import threading
import time

from behave import given
from behave import then
from behave import when

from mulberryhollow.platform import cloud
from mulberryhollow.serving import orders
from mulberryhollow.state import objects
from tools import platform_site

FENCE = 7
ORDER = orders.Order("s", "d1", 2, False)
SCHEDULING_S = 0.7
WAIT_S = 10.0


class DutySite(platform_site.PlatformSite):
    """Small platform whose instance has the duty of usage reports."""

    def _build_settings(self, *ports):
        self.server.store.era = 1
        self.saved = self.server.store.copy()
        settings = super()._build_settings(*ports)
        settings["cloudApi"]["duties"] = ["metering"]
        settings["bounds"] |= {"reportWindowS": 1, "usageDelayS": 2}
        return settings


class Platform:
    """API that reads all bytes and answers each request, or none."""

    def __init__(self, is_silent):
        self.is_silent = is_silent
        self.received = []
        self.was_reset = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.settimeout(WAIT_S)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self):
        self._listener.close()

    def _serve(self):
        with contextlib.suppress(OSError):
            while True:
                channel, _ = self._listener.accept()
                with channel:
                    channel.settimeout(WAIT_S)
                    self._read(channel)

    def _read(self, channel):
        try:
            while data := channel.recv(65536):
                self.received.append(data)
                if not self.is_silent and data.endswith(b"}"):
                    channel.sendall(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
                    )
        except ConnectionResetError:
            self.was_reset.set()


@given("a duty client whose platform {answers}")
def make_client(context, answers):
    context.cloud_platform = Platform(answers == "does not answer")
    context.add_cleanup(context.cloud_platform.close)
    context.duty_client = cloud.DutyClient(context.cloud_platform.address, "a")
    context.is_duty_held = True
    context.duty_client.is_held = lambda: context.is_duty_held


def connect_after(context, action):
    """Run an action each time the client has connected."""
    make_connection = context.duty_client._pool.ConnectionCls

    class Connection(make_connection):
        def connect(self):
            super().connect()
            action()

    context.duty_client._pool.ConnectionCls = Connection


@given("connecting takes {seconds:g} seconds")
def delay_connecting(context, seconds):
    connect_after(context, lambda: time.sleep(seconds))


def lose_lease(context):
    context.is_duty_held = False


@given("the lease is lost while the duty client connects")
def lose_while_connecting(context):
    connect_after(context, lambda: lose_lease(context))


@given("the lease is lost while the duty client waits between two calls")
def lose_between_calls(context):
    outcome = context.duty_client.order(FENCE, ORDER)
    assert outcome == objects.WriteApplied(FENCE), outcome
    context.cloud_platform.received.clear()
    lose_lease(context)


@when("a duty call is made")
def make_call(context):
    begin_s = time.monotonic()
    context.call_outcome = context.duty_client.order(FENCE, ORDER)
    context.call_s = time.monotonic() - begin_s


@then("its outcome is unknown and its connection was reset")
def check_reset(context):
    outcome = context.call_outcome
    assert isinstance(outcome, objects.WriteOutcomeUnknown), outcome
    assert context.cloud_platform.was_reset.wait(1.0)


@then("the duty call has ended within its timeout")
def check_duration(context):
    limit_s = cloud.CALL_TIMEOUT_S + SCHEDULING_S
    assert context.call_s < limit_s, context.call_s


@then("the duty call was withheld and the platform received nothing of it")
def check_withheld(context):
    outcome = context.call_outcome
    assert isinstance(outcome, objects.WriteRejected), outcome
    assert not context.cloud_platform.received


@given(
    "an instance with the duty of usage reports and a copy of its new store"
)
def start_instance_with_duty(context):
    context.duty_site = DutySite()
    context.add_cleanup(context.duty_site.close)
    context.duty_site.wait_ready()


@when("it has reported the usage and the store is restored from that copy")
def report_and_restore(context):
    server = context.duty_site.server
    platform_site.wait_until(lambda: len(server.duty_calls) > 1, 15.0)
    server.store.restore(context.duty_site.saved)
    context.duty_restored_s = time.monotonic()
    context.token_before = server.duty_calls[-1][1]


@then("it reports again with a higher token within {limit_s:g} seconds")
def check_reports_again(context, limit_s):
    calls = context.duty_site.server.duty_calls
    platform_site.wait_until(
        lambda: calls[-1][1] > context.token_before, limit_s
    )
    tokens = [token for _, token in calls]
    assert tokens == sorted(tokens), tokens


@then(
    "it made no call from {begin_s:g} to {end_s:g} seconds after the restore"
)
def check_pause(context, begin_s, end_s):
    calls = [
        at_s - context.duty_restored_s
        for at_s, _ in context.duty_site.server.duty_calls
    ]
    assert not [each for each in calls if begin_s < each < end_s], calls
