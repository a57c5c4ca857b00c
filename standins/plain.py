"""Stand-in for a plain service: look-ups and bookings."""

import itertools
import threading
import time

import attrs
import xxhash

from standins import control
from standins import endpoint
from standins import http
from standins import priority_semaphore

__all__ = ["Booking", "Plain", "main", "make_result"]

_CROSSED_REQUEST_ID = "crossed-0"


@attrs.frozen(kw_only=True)
class Booking:
    """Body of a booking request.

    Parameters
    ----------
    request_id : str
        Id of the request.
    key : str
        Idempotency key.
    slot : str
        What to book.
    details : object
        Further data of the caller.
    """

    request_id: str
    key: str
    slot: str
    details: object = ""


@attrs.define
class _Counters:
    """Counters since the start of the process."""

    lookups_run: int = 0
    bookings_run: int = 0
    requests_refused: int = 0


def make_result(version, query):
    """Return the result of a look-up."""
    return f"r{xxhash.xxh32_hexdigest((version + query).encode())}"


class Plain(endpoint.Endpoint):
    """Plain service with a ledger of its bookings.

    Parameters
    ----------
    options : argparse.Namespace
        Parsed options.

    Notes
    -----
    The service does not deduplicate: a request that is sent again is booked
    again. A status query (``GET /v1/bookings/ID``) that answers "not run"
    blocks the request id: the service refuses the request if it arrives
    later, so that the answer stays true.
    """

    def __init__(self, options):
        super().__init__(options)
        self._semaphore = priority_semaphore.PrioritySemaphore(options.slots)
        self._bookings = {}
        self._running_ids = set()
        self._blocked_ids = set()
        self._counters = _Counters()
        self._numbers = itertools.count(1)
        self._changed = threading.Condition()

    def make_routes(self):
        """Return the routes of the service."""
        return control.make_routes(
            self.faults.add, self.faults.clear, self._report_counters
        ) + [
            http.Route("POST", "/v1/lookup", self._answer_lookup),
            http.Route("POST", "/v1/book", self._book),
            http.Route("GET", "/v1/bookings/(.+)", self._answer_status),
            http.Route("GET", "/v1/load", self._answer_load),
        ]

    def _report_counters(self):
        return attrs.asdict(self._counters) | {
            "arrived": self.ledger.list_entries("booking", "arrived"),
            "ledger": self.ledger.list_entries("booking"),
        }

    def _add_counts(self, **counts):
        with self._changed:
            for name, count in counts.items():
                total = getattr(self._counters, name) + count
                setattr(self._counters, name, total)

    def _answer_lookup(self, request):
        asked = request.json()
        request_id, query = asked["request_id"], str(asked["query"])
        version = self.options.version
        refusal = self.admit("lookup", version, request_id, query)
        if refusal:
            self._add_counts(requests_refused=1)
            return refusal
        self.ledger.add(step="arrived", kind="lookup", request_id=request_id)
        self._work("lookup")
        self.ledger.add(step="ran", kind="lookup", request_id=request_id)
        self._add_counts(lookups_run=1)
        crossed = self.faults.consume("cross")
        query += " crossed" if crossed else ""
        return self.finish(
            {
                "request_id": _CROSSED_REQUEST_ID if crossed else request_id,
                "result": make_result(version, query),
                "version": version,
            }
        )

    def _work(self, route):
        self._semaphore.acquire(0, lambda: False)
        try:
            time.sleep(
                self.faults.scale_time(
                    self.options.service_time_s, route, self.options.version
                )
            )
            self.faults.wait_while_frozen()
        finally:
            self._semaphore.release()

    def _book(self, request):
        booking = Booking(**request.json())
        text = f"{booking.slot} {booking.details}"
        refusal = self.admit(
            "book", self.options.version, booking.request_id, text
        )
        if refusal:
            self._add_counts(requests_refused=1)
            return refusal
        with self._changed:
            if booking.request_id in self._blocked_ids:
                return self.refuse(booking.request_id, "settled as not run")
            self._running_ids.add(booking.request_id)
        self._record_step("arrived", booking, "")
        self._work("book")
        return self._answer_booking(self._make_booking(booking))

    def _record_step(self, step, booking, booking_id):
        self.ledger.add(
            step=step,
            kind="booking",
            request_id=booking.request_id,
            key=booking.key,
            slot=booking.slot,
            booking_id=booking_id,
        )

    def _make_booking(self, booking):
        """Make the booking and return the fields of the answer."""
        booking_id = f"{self.options.id}-{next(self._numbers)}"
        answer = {
            "request_id": booking.request_id,
            "booking_id": booking_id,
            "slot": booking.slot,
            "version": self.options.version,
        }
        with self._changed:
            self._record_step("ran", booking, booking_id)
            self._add_counts(bookings_run=1)
            self._bookings[booking.request_id] = answer
            self._running_ids.discard(booking.request_id)
            self._changed.notify_all()
        return answer

    def _answer_booking(self, answer):
        if self.faults.consume("cross"):
            answer = answer | {
                "request_id": _CROSSED_REQUEST_ID,
                "booking_id": f"{self.options.id}-0",
            }
        return self.finish(answer, 201)

    def _answer_status(self, _request, request_id):
        """Wait until a booking is no longer running; answer its outcome."""
        self.faults.wait_while_frozen()
        with self._changed:
            self._changed.wait_for(
                lambda: request_id not in self._running_ids,
                self.options.service_time_s * 10 + 5.0,
            )
            answer = self._bookings.get(request_id)
            if answer is None and request_id in self._running_ids:
                return http.reply_json(503, {"reason": "still running"})
            if answer is None:
                self._blocked_ids.add(request_id)
                return self._reply_not_run()
        return http.reply_json(200, answer)

    def _reply_not_run(self):
        """Return the answer for a request not run since the ledger began."""
        since_s = self.ledger.since_s
        return http.reply_json(
            404, {"reason": "not run", "ledger_since_s": since_s}
        )

    def _answer_load(self, _request):
        return self.report_load(
            lambda: endpoint.LoadReport(
                self._semaphore.running,
                self._semaphore.queued,
                self._semaphore.slots,
                [self.options.version],
                0.0,
                time.monotonic(),
            )
        )


def main():
    """Serve a plain service."""
    parser = endpoint.make_parser(__doc__)
    parser.add_argument("--service-time-s", type=float, default=0.002)
    plain = Plain(parser.parse_args())
    plain.serve(plain.make_routes())


if __name__ == "__main__":
    main()
