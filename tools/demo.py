"""Demo on the stand-ins and on a model of the users' platform.

First a chat, a slot look-up and a booking over the product's own interface.
Then, over the interface of the users' platform, a request of each kind, a
forged header, a lost answer, a drain and a configuration change.
"""

import sys
import time

from tools import platform_site
from tools import processes
from tools import site as sites

__all__ = ["main"]

DESK_API_KEY = "example-key-brunner-desk"


def main():
    """Run the demo; return the exit code."""
    with processes.Fleet() as fleet:
        site = sites.Site(fleet)
        _start(site)
        print(f"store {site.store_address}, entries {site.entries}")
        failures = [
            not step(address)
            for step, address in zip(
                (_send_chat, _send_lookup, _send_booking),
                site.entries,
                strict=True,
            )
        ]
        failures += [
            not _stop_instance(fleet, f"entry-{n}") for n in (1, 2, 3)
        ]
    failures += _run_platform_demo()
    print("demo failed" if any(failures) else "demo passed")
    return 1 if any(failures) else 0


def _start(site):
    """Start two engines, four plain services and three entry daemons."""
    site.start_platform()
    for number in (1, 2):
        site.add_engine(f"engine-{number}", "call-chat")
        site.add_plain(f"plain-{number}", "slots")
        site.add_plain(f"fitters-{number}", "fitter-bookings")
    for number in (1, 2, 3):
        site.add_entry(f"entry-{number}")
    site.wait_ready(_probe)


def _probe(address):
    """Return whether a short chat and a look-up succeed."""
    chat = {"prompt": "hello", "max_tokens": 1}
    path = "/v1/services/call-chat/chat"
    return (
        _post(address, path, chat).status == 200
        and _look_up(address).status == 200
    )


def _post(address, path, body, headers=None):
    """Send a request with the API key of the demo's client account."""
    return sites.call(address, "POST", path, body, DESK_API_KEY, headers)


def _look_up(address):
    """Send a look-up of the free slots of a day."""
    path = "/v1/services/slots/lookup"
    return _post(address, path, {"query": "slots on Friday"})


def _print_answer(title, answer):
    """Print an answer with its request id, instance and endpoint."""
    print(f"\n{title}: {answer.status}")
    for name in ("X-Request-Id", "X-Instance", "X-Served-By"):
        print(f"  {name}: {answer.headers.get(name, '-')}")
    print(f"  {answer.data.decode()[-300:].strip()}")


def _send_chat(address):
    """Send a streamed chat; return whether it ends completely."""
    prompt = "A pipe has burst in the cellar. What should I do first?"
    body = {"prompt": prompt, "max_tokens": 24, "stream": True}
    answer = _post(address, "/v1/services/call-chat/chat", body)
    _print_answer("chat (streamed)", answer)
    return answer.status == 200 and b"event: end" in answer.data


def _send_lookup(address):
    """Send a look-up; return whether it succeeds."""
    answer = _look_up(address)
    _print_answer("slot check", answer)
    return answer.status == 200


def _send_booking(address):
    """Send a booking twice; return whether both answers name one booking."""
    path = "/v1/services/fitter-bookings/booking"
    body = {"slot": "friday-0900", "details": "burst pipe, Seestrasse 4"}
    headers = {"Idempotency-Key": sites.make_key()}
    first = _post(address, path, body, headers)
    _print_answer("fitter booking", first)
    repeated = _post(address, path, body, headers)
    _print_answer("the same booking sent again", repeated)
    booking_id = first.json().get("booking_id")
    return (
        first.status == 201 and repeated.json().get("booking_id") == booking_id
    )


def _run_platform_demo():
    """Run the steps on the users' platform; return whether each failed."""
    site = platform_site.PlatformSite()
    try:
        site.wait_ready()
        print("\nOn the users' platform:")
        failures = [
            not step(site)
            for step in (
                _send_each_kind,
                _send_forged_header,
                _lose_answer,
                _change_route,
                _drain_endpoint,
            )
        ]
        return [*failures, site.stop() != 0]
    finally:
        site.close()


def _print_result(title, is_ok):
    """Print whether a step succeeded; return the same."""
    print(f"  {title}: {'yes' if is_ok else 'NO'}")
    return is_ok


def _send_each_kind(site):
    """Send a look-up, a booking and a stream."""
    plain = [site.call("GET", "/safe/x"), site.call("POST", "/once/x")]
    stream = site.call("GET", "/stream/x")
    is_whole = stream.data.startswith(b"id: 1") and b"id: 3" in stream.data
    return _print_result(
        "a look-up, a booking and a stream get complete answers",
        is_whole
        and all("Response-Seal" in answer.headers for answer in plain),
    )


def _send_forged_header(site):
    """Send a request with a header that only the instance may set."""
    site.call("GET", "/safe/x", Tenant="somebody else")
    return _print_result(
        "a forged account does not reach an endpoint",
        site.list_executed_requests()[-1]["Tenant"] == "acme",
    )


def _lose_answer(site):
    """Send a booking that an endpoint runs without answering."""
    before = len(site.list_executed_requests())
    for endpoint in site.endpoints.values():
        endpoint.loses_answers = True
    answer = site.call("POST", "/once/x")
    for endpoint in site.endpoints.values():
        endpoint.loses_answers = False
    return _print_result(
        "a booking whose answer is lost has run once and is answered 502",
        answer.status == 502
        and len(site.list_executed_requests()) == before + 1,
    )


def _change_route(site):
    """Write a configuration with a new route; check that it is served."""
    before = site.call("GET", "/new/x").status
    site.configure(2, platform_site.make_route("new", "idempotent"))
    platform_site.wait_until(
        lambda: site.call("GET", "/new/x").status == 200, 2.0
    )
    return _print_result("a new route is served soon after", before == 404)


def _drain_endpoint(site):
    """Drain an endpoint; check that the other one gets all requests."""
    site.write_endpoint_record("e1", "draining")
    time.sleep(0.5)
    answers = {site.call("GET", "/safe/x").data for _ in range(4)}
    return _print_result(
        "an endpoint that drains gets no new work",
        answers == {b"answer of e2"},
    )


def _stop_instance(fleet, name):
    """Stop an instance gracefully; return whether its exit code is 0."""
    fleet.terminate(name)
    return fleet.wait(name) == 0


if __name__ == "__main__":
    sys.exit(main())
