"""Stand-in for a plain service: look-ups and bookings."""

import itertools
import threading
import time

import attrs
import xxhash

from standins import batch
from standins import control
from standins import endpoint
from standins import http

__all__ = ["Booking", "Plain", "main", "make_result"]

_CROSSED_ID = "crossed-0"


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
    seals the request id, so that the service refuses the request if it
    arrives later.
    """

    def __init__(self, options):
        super().__init__(options)
        self._batch = batch.Batch(options.slots)
        self._booked = {}
        self._under_way = set()
        self._sealed = set()
        self._counters = _Counters()
        self._numbers = itertools.count(1)
        self._changed = threading.Condition()

    def make_routes(self):
        """Return the routes of the service."""
        return control.make_routes(
            self.faults.add, self.faults.clear, self._count
        ) + [
            http.Route("POST", "/v1/lookup", self._look_up),
            http.Route("POST", "/v1/book", self._book),
            http.Route("GET", "/v1/bookings/(.+)", self._settle),
            http.Route("GET", "/v1/load", self._show_load),
        ]

    def _count(self):
        return attrs.asdict(self._counters) | {
            "arrived": self.ledger.list_entries("booking", "arrived"),
            "ledger": self.ledger.list_entries("booking"),
        }

    def _add(self, **counts):
        with self._changed:
            for name, count in counts.items():
                total = getattr(self._counters, name) + count
                setattr(self._counters, name, total)

    def _look_up(self, request):
        asked = request.json()
        request_id, query = asked["request_id"], str(asked["query"])
        version = self.options.version
        refused = self.admit("lookup", version, request_id, query)
        if refused:
            self._add(requests_refused=1)
            return refused
        self.ledger.add(step="arrived", kind="lookup", request_id=request_id)
        self._work("lookup")
        self.ledger.add(step="ran", kind="lookup", request_id=request_id)
        self._add(lookups_run=1)
        crossed = self.faults.take("cross")
        query += " crossed" if crossed else ""
        return self.finish(
            {
                "request_id": _CROSSED_ID if crossed else request_id,
                "result": make_result(version, query),
                "version": version,
            }
        )

    def _work(self, route):
        self._batch.enter(0, lambda: False)
        try:
            time.sleep(
                self.faults.scale_time(
                    self.options.service_time_s, route, self.options.version
                )
            )
            self.faults.hold_if_frozen()
        finally:
            self._batch.leave()

    def _book(self, request):
        booking = Booking(**request.json())
        text = f"{booking.slot} {booking.details}"
        refused = self.admit(
            "book", self.options.version, booking.request_id, text
        )
        if refused:
            self._add(requests_refused=1)
            return refused
        with self._changed:
            if booking.request_id in self._sealed:
                return self.refuse(booking.request_id, "settled as not run")
            self._under_way.add(booking.request_id)
        self._note("arrived", booking, "")
        self._work("book")
        return self._answer_booking(self._carry_out(booking))

    def _note(self, step, booking, booking_id):
        self.ledger.add(
            step=step,
            kind="booking",
            request_id=booking.request_id,
            key=booking.key,
            slot=booking.slot,
            booking_id=booking_id,
        )

    def _carry_out(self, booking):
        """Make the booking and return the fields of the answer."""
        booking_id = f"{self.options.id}-{next(self._numbers)}"
        made = {
            "request_id": booking.request_id,
            "booking_id": booking_id,
            "slot": booking.slot,
            "version": self.options.version,
        }
        with self._changed:
            self._note("ran", booking, booking_id)
            self._add(bookings_run=1)
            self._booked[booking.request_id] = made
            self._under_way.discard(booking.request_id)
            self._changed.notify_all()
        return made

    def _answer_booking(self, made):
        if self.faults.take("cross"):
            made = made | {
                "request_id": _CROSSED_ID,
                "booking_id": f"{self.options.id}-0",
            }
        return self.finish(made, 201)

    def _settle(self, _request, request_id):
        """Wait until a booking is no longer running; answer its outcome."""
        self.faults.hold_if_frozen()
        with self._changed:
            self._changed.wait_for(
                lambda: request_id not in self._under_way,
                self.options.service_time_s * 10 + 5.0,
            )
            made = self._booked.get(request_id)
            if made is None and request_id in self._under_way:
                return http.reply_json(503, {"reason": "still running"})
            if made is None:
                self._sealed.add(request_id)
                return self._reply_not_run()
        return http.reply_json(200, made)

    def _reply_not_run(self):
        """Return the answer for a request that is not in the ledger."""
        since_s = self.ledger.since_s
        return http.reply_json(
            404, {"reason": "not run", "ledger_since_s": since_s}
        )

    def _show_load(self, _request):
        return self.report_load(
            lambda: endpoint.LoadReport(
                self._batch.running,
                self._batch.queued,
                self._batch.slots,
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
