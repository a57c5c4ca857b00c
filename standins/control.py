"""The ``/control`` route that every stand-in has."""

from standins import faults
from standins import http

__all__ = ["make_routes"]


def make_routes(add, clear, count):
    """Return the routes of ``/control``.

    Parameters
    ----------
    add : callable
        Takes a Fault; raises ValueError for one it cannot show.
    clear : callable
        Ends all faults.
    count : callable
        Returns counters and ledger as JSON values.
    """

    def set_fault(request):
        fault = faults.Fault(**request.json())
        if fault.fault == "clear":
            clear()
        else:
            add(fault)
        return http.reply_json(200, {})

    def show(_request):
        return http.reply_json(200, count())

    return [
        http.Route("POST", "/control", set_fault),
        http.Route("GET", "/control", show),
    ]
