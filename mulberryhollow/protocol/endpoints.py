"""Messages of model engines and plain services."""

import json

import attrs

from mulberryhollow.coordination import streams
from mulberryhollow.state import prefixes

__all__ = [
    "BookingAnswer",
    "GenerateCall",
    "LoadOrder",
    "LoadReport",
    "LookupAnswer",
    "decode_booking",
    "decode_cache_events",
    "decode_ledger_start",
    "decode_line",
    "decode_load",
    "decode_lookup",
    "encode_generate",
    "encode_order",
]


@attrs.frozen
class GenerateCall:
    """One attempt at a model engine.

    Parameters
    ----------
    attempt_id : str
        Id of the attempt, returned in each line.
    version : str
        Version to run; empty for the engine's own.
    prompt : str
        The prompt.
    max_tokens : int
        Largest number of tokens of the whole answer.
    priority : int
        0 is the most urgent.
    tokens : tuple of str
        Tokens known already; the engine goes on after them.
    """

    attempt_id: str
    version: str
    prompt: str
    max_tokens: int
    priority: int = 0
    tokens: tuple = ()


@attrs.frozen
class LoadReport:
    """Load of an endpoint.

    Parameters
    ----------
    running, queued, slots : int
        Requests at work, requests waiting, requests that fit at once.
    age_s : float
        Age of the report, in seconds.
    versions : tuple of str
        Versions that are loaded.
    """

    running: int
    queued: int
    slots: int
    age_s: float
    versions: tuple = ()


@attrs.frozen
class LookupAnswer:
    """Answer of a plain service to a look-up."""

    request_id: str
    result: str
    version: str


@attrs.frozen
class BookingAnswer:
    """A booking that an endpoint has made."""

    request_id: str
    booking_id: str
    slot: str
    version: str


@attrs.frozen
class LoadOrder:
    """An order to a model engine.

    Parameters
    ----------
    order : str
        ``load`` or ``unload``.
    service, version : str
        What to load or unload.
    fence : int
        Fencing number; an engine that checks it refuses an older one.
    """

    order: str
    service: str
    version: str
    fence: int


def encode_order(order):
    """Return the body of an order."""
    return json.dumps(attrs.asdict(order)).encode()


def encode_generate(call):
    """Return the body of a generate request."""
    return json.dumps(
        {
            "request_id": call.attempt_id,
            "version": call.version,
            "prompt": call.prompt,
            "max_tokens": call.max_tokens,
            "priority": call.priority,
            "resume_tokens": list(call.tokens),
        }
    ).encode()


def decode_line(data):
    """Return the TokenLine or End of one line of an answer.

    Raises
    ------
    ValueError
        When the line is malformed.
    """
    fields = _decode(data)
    try:
        if fields.get("end"):
            return streams.End(
                str(fields["request_id"]),
                int(fields["seq"]),
                int(fields.get("computed_prompt_tokens", 0)),
                int(fields.get("cached_prompt_tokens", 0)),
            )
        return streams.TokenLine(
            str(fields["request_id"]), int(fields["seq"]), fields["token"]
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed line: {error}") from error


def decode_load(data):
    """Return the LoadReport of an endpoint; ValueError if malformed."""
    fields = _decode(data)
    try:
        return LoadReport(
            int(fields["running"]),
            int(fields["queued"]),
            int(fields["slots"]),
            float(fields.get("age_s", 0.0)),
            tuple(fields.get("versions", ())),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed load: {error}") from error


def decode_cache_events(data):
    """Return the list of CacheEvent in data; ValueError if malformed."""
    fields = _decode(data)
    try:
        return [
            prefixes.CacheEvent(
                int(item["number"]),
                item["event"] == "added",
                int(item["prefix"], 16),
            )
            for item in fields["items"]
        ]
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed cache events: {error}") from error


def decode_lookup(data):
    """Return the LookupAnswer of an endpoint; ValueError if malformed."""
    fields = _decode(data)
    try:
        return LookupAnswer(
            fields["request_id"], fields["result"], fields.get("version", "")
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed look-up: {error}") from error


def decode_booking(data):
    """Return the BookingAnswer of an endpoint; ValueError if malformed."""
    fields = _decode(data)
    try:
        return BookingAnswer(
            fields["request_id"],
            fields["booking_id"],
            fields["slot"],
            fields.get("version", ""),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed booking: {error}") from error


def decode_ledger_start(data):
    """Return since when a ledger is complete, in Unix seconds."""
    try:
        return float(_decode(data)["ledger_since_s"])
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed look-up: {error}") from error


def _decode(data):
    """Return the JSON object in data; ValueError if there is none."""
    fields = json.loads(data)
    if not isinstance(fields, dict):
        raise ValueError("not a JSON object")
    return fields
