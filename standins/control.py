"""Routes of ``/control``, which sets faults and reports counters."""

from standins import faults
from standins import http

__all__ = ["make_routes"]


def make_routes(add_fault, clear_faults, report_counters):
    """Return the routes of ``/control``.

    Parameters
    ----------
    add_fault : callable
        Activates a Fault; raises ValueError for a fault that the stand-in
        does not support.
    clear_faults : callable
        Deactivates all faults.
    report_counters : callable
        Returns the counters and the ledger as JSON values.
    """

    def set_fault(request):
        fault = faults.Fault(**request.json())
        if fault.fault == "clear":
            clear_faults()
        else:
            add_fault(fault)
        return http.reply_json(200, {})

    def report(_request):
        return http.reply_json(200, report_counters())

    return [
        http.Route("POST", "/control", set_fault),
        http.Route("GET", "/control", report),
    ]
