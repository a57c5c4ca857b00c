import concurrent.futures
import threading
import urllib.request

from behave import given
from behave import then
from behave import when

from mulberryhollow.transport import front


@given(
    "a front whose answers wait for each other, with {most:d} threads at most"
)
def start_front(context, most):
    context.barrier = threading.Barrier(24, timeout=5.0)

    def answer(environ, start_response):
        context.barrier.wait()
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    context.front = front.make_server(answer, "127.0.0.1:0", most, 4100)
    threading.Thread(target=context.front.run, daemon=True).start()


@when("{count:d} requests are sent at once")
def send_at_once(context, count):
    url = f"http://127.0.0.1:{context.front.effective_port}/"

    def fetch(_):
        with urllib.request.urlopen(url, timeout=9.0) as found:
            return found.read()

    with concurrent.futures.ThreadPoolExecutor(count) as threads:
        context.answers = list(threads.map(fetch, range(count)))


@then("all of them are answered together")
def check_together(context):
    assert context.answers == [b"ok"] * 24, context.answers


@then("the front has at least {least:d} threads and at most {most:d}")
def check_threads(context, least, most):
    count = len(context.front.task_dispatcher.threads)
    assert least <= count <= most, count
