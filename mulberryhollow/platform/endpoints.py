"""Codec of calls to endpoints and of the heads of their answers."""

import logging
import math
import re

from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.platform import headers as header_names
from mulberryhollow.protocol import forwarding as messages
from mulberryhollow.state import decoding

__all__ = ["EndpointCodec"]

_MS_PER_S = 1000.0
MAX_LOGGED_REPORT = 80
"""Length up to which a malformed load report is logged, in characters."""

_STATUS_MISDIRECTED = 421
_STATUS_UNAVAILABLE = 503
_REFUSAL_STATUSES = {408, 429, _STATUS_UNAVAILABLE}

MAX_PAUSE_S = 30.0
"""Longest pause that an endpoint is granted, in seconds.

A wrong value must not exclude an endpoint for much longer than an outage.
"""

MAX_RATE_PER_S = 1e6
"""Highest rate that an endpoint can name, in requests per second."""

USUAL_WORK_TIME = 100.0
"""Fourth figure of a load report where work takes as long as usual."""

MAX_WORK_TIME = 100.0
"""Longest reported work time that is believed, relative to the usual one."""

LOAD_MALFORMED = events.declare(
    4060,
    logging.WARNING,
    "an endpoint's load report cannot be read; logged for the first one only",
    "check the version of that service's endpoints",
)

_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*([0-9]+)")


class EndpointCodec:
    """Encodes calls to endpoints and decodes the heads of answers."""

    def __init__(self):
        self._has_logged_load = False

    def encode_call(self, request, chosen, remaining_s, last_event_id):
        """Return the EndpointCall for one attempt of a request.

        Parameters
        ----------
        request : ForwardRequest
            The request to forward.
        chosen : Chosen
            The endpoint to call.
        remaining_s : float
            Remaining time for the endpoint, in seconds.
        last_event_id : str
            Id of the event after which the stream resumes; empty to get
            the whole stream.
        """
        payload = request.payload
        headers = [
            *payload.headers,
            (
                header_names.REMAINING_TIME,
                str(max(1, int(remaining_s * _MS_PER_S))),
            ),
            (header_names.EXPECTED_ENDPOINT, chosen.identity),
            (header_names.PRIORITY, str(request.priority)),
        ]
        if request.account:
            headers.append((header_names.ACCOUNT, request.account))
        if last_event_id:
            headers.append((header_names.LAST_EVENT_ID, last_event_id))
        if payload.body or payload.method not in ("GET", "HEAD", "DELETE"):
            headers.append(("Content-Length", str(len(payload.body))))
        return messages.EndpointCall(
            request.request_id,
            payload.method,
            payload.target,
            (("Host", request.host), *headers),
            payload.body,
        )

    def decode_head(self, status, headers):
        """Return the AnswerHead for the status and headers of an answer.

        Raises
        ------
        EndpointError
            Crossed when the answer names more than one request.
        """
        fields = {name.lower(): value for name, value in headers}
        get = fields.get
        is_misdirected = status == _STATUS_MISDIRECTED
        has_not_run = is_misdirected or header_names.NOT_RUN.lower() in fields
        return messages.AnswerHead(
            status=status,
            headers=tuple(
                (name, value)
                for name, value in headers
                if name.lower() not in header_names.CONNECTION_HEADERS
            ),
            request_id=_find_request_id(headers),
            has_not_run=has_not_run,
            is_other_endpoint=is_misdirected,
            load=self._read_load(get(header_names.LOAD.lower())),
            idle_limit_s=_decode_idle_limit(get("keep-alive", "")),
            is_leaving=get(header_names.LEAVING.lower(), "").strip() == "1"
            and not is_misdirected,
            pause_s=_decode_pause(status, get("retry-after", "")),
            rate_limit=None
            if is_misdirected
            else _decode_rate_limit(get(header_names.RATE_LIMIT.lower())),
            brittle_rejections=None
            if is_misdirected
            else decoding.parse_count(get(header_names.BRITTLE.lower(), "")),
            flaw="" if has_not_run else _find_flaw(status, fields),
        )

    def _read_load(self, text):
        """Return the Load in a header; None without a valid one."""
        if text is None:
            return None
        load = _decode_load(text)
        if load is None and not self._has_logged_load:
            self._has_logged_load = True
            events.log(LOAD_MALFORMED, report=text[:MAX_LOGGED_REPORT])
        return load


def _find_request_id(headers):
    """Return the id of the request that an answer names; empty for none."""
    name = header_names.ANSWER_REQUEST_ID.lower()
    found = {value for key, value in headers if key.lower() == name}
    if len(found) > 1:
        fault = streams.Crossed(f"answer to requests {sorted(found)}")
        raise errors.EndpointError(fault)
    return next(iter(found), "")


def _find_flaw(status, fields):
    """Return why an answer must not be passed on; empty if it may be.

    Callers take a refusal status for the promise that the request has not
    run and never will, which only the endpoint can give.
    """
    if status in _REFUSAL_STATUSES:
        return f"status {status} for a request that may have run"
    if not 200 <= status < 300:
        return ""
    if not fields.get(header_names.SEAL.lower()):
        return "a success without a seal"
    if fields.get("content-encoding", "identity").lower() != "identity":
        return "a success with an encoded body"
    return ""


def _decode_load(text):
    """Return the Load that an endpoint reports; None for a malformed report.

    Figures after the fourth are ignored. A fourth one that cannot be read
    makes the whole report malformed.
    """
    counts = [decoding.parse_count(each) for each in text.split(",")[:3]]
    if len(counts) < 3 or None in counts:
        return None
    figures = text.split(",")[3:4]
    if not figures:
        return messages.Load(*counts)
    work_time = _decode_work_time(figures[0])
    if work_time is None:
        return None
    return messages.Load(*counts, work_time)


def _decode_work_time(text):
    """Return a work time relative to the usual one; None if unreadable."""
    try:
        work_time = float(text) / USUAL_WORK_TIME
    except ValueError:
        return None
    return min(work_time, MAX_WORK_TIME) if work_time > 0.0 else None


def _decode_pause(status, text):
    """Return the pause that an endpoint asks for, in seconds; 0 for none.

    In a 503 of an endpoint the retry time is meant for this instance. It may
    have fractions; a value that is no number, such as a date, asks for none.
    """
    if status != _STATUS_UNAVAILABLE or not text:
        return 0.0
    try:
        pause_s = float(text)
    except ValueError:
        return 0.0
    return min(pause_s, MAX_PAUSE_S) if pause_s > 0.0 else 0.0


def _decode_rate_limit(text):
    """Return the RateLimit that an endpoint names; None for none."""
    if text is None:
        return None
    try:
        rate_per_s = float(text)
    except ValueError:
        rate_per_s = math.nan
    if not rate_per_s >= 0.0:
        return messages.RateLimit(None)
    return messages.RateLimit(min(rate_per_s, MAX_RATE_PER_S))


def _decode_idle_limit(text):
    """Return the idle timeout of a connection, in seconds, or None."""
    found = _KEEP_ALIVE_TIMEOUT.search(text.lower())
    return float(found.group(1)) if found else None
