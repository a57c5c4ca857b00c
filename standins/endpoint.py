"""Base class and options shared by the engine and the plain service."""

import argparse
import threading
import time

import attrs

from standins import faults
from standins import http
from standins import ledger

__all__ = ["Endpoint", "LoadReport", "make_parser"]

# Age above which the stored load report is replaced for the next call.
_LOAD_REPORT_REFRESH_S = 0.25


@attrs.frozen
class LoadReport:
    """Load of an endpoint at one time.

    Parameters
    ----------
    running, queued, slots : int
        Requests that run, requests that wait and the number of slots.
    versions : list of str
        Versions that can serve requests.
    kv_used : float
        Share of the prefix cache in use, 0 to 1.
    read_s : float
        Monotonic time of the reading, in seconds.
    """

    running: int
    queued: int
    slots: int
    versions: list
    kv_used: float
    read_s: float


def make_parser(description):
    """Return a parser of the options common to all endpoints."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--id", required=True)
    parser.add_argument("--failure-domain", default="fd-1")
    parser.add_argument("--service", default="")
    parser.add_argument("--version", default="1")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--ledger", default="")
    return parser


class Endpoint:
    """Faults, ledger and delayed load report of an endpoint.

    Parameters
    ----------
    options : argparse.Namespace
        Parsed options.
    """

    def __init__(self, options):
        self.options = options
        self.faults = faults.EndpointFaults()
        self.ledger = ledger.Ledger(options.ledger)
        self._report = None
        self._report_lock = threading.Lock()

    def admit(self, route, version, request_id, text):
        """Apply the faults that affect a request on its arrival.

        Returns
        -------
        Reply or None
            The refusal or failure; None when the request is accepted.
        """
        self.faults.wait_while_frozen()
        if self.faults.consume("refuse"):
            return self.refuse(request_id, "refused")
        self.faults.crash_if_poisoned(text)
        if self.faults.should_fail(route, version):
            return http.reply_json(500, {"reason": "failed"})
        return None

    def refuse(self, request_id, reason):
        """Return the answer to a request that is not executed."""
        return http.reply_json(
            409, {"request_id": request_id, "reason": reason}
        )

    def finish(self, value, status=200):
        """Return the complete answer, or its first half under ``truncate``.

        A ``crash`` fault ends the process here, and ``drop_answer`` closes
        the connection without an answer.
        """
        self.faults.crash_after_effect()
        self.faults.raise_if_answer_dropped()
        reply = http.reply_json(status, value)
        if self.faults.consume("truncate"):
            half = reply.body[: len(reply.body) // 2]
            return attrs.evolve(reply, body=half)
        return reply

    def report_load(self, read):
        """Return the previous load report with its age, to simulate lag.

        Parameters
        ----------
        read : callable
            Returns the current LoadReport.
        """
        self.faults.wait_while_frozen()
        with self._report_lock:
            now_s = time.monotonic()
            report = self._report or read()
            age_s = now_s - report.read_s
            if self._report is None or age_s > _LOAD_REPORT_REFRESH_S:
                self._report = read()
        fields = attrs.asdict(report) | {"age_s": max(age_s, 0.0)}
        del fields["read_s"]
        return http.reply_json(200, fields)

    def serve(self, routes):
        """Serve the routes until the process ends."""
        server = http.Server(self.options.port, routes)
        self.faults.server = server
        http.serve(server)
