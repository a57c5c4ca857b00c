"""Codecs of the status and the histograms that an instance serves."""

import json

import attrs
import cattrs
from cattrs.preconf import json as json_preconf

from mulberryhollow.state import decoding
from mulberryhollow.state import histograms

__all__ = [
    "InstanceStatus",
    "MalformedStatusError",
    "decode_histograms",
    "decode_status",
    "encode_histograms",
    "encode_status",
    "list_histograms",
]

_CONVERTER = json_preconf.make_converter()


class MalformedStatusError(ValueError):
    """A body is not a valid status or list of histograms."""


@attrs.frozen
class InstanceStatus:
    """Answer of ``GET /status``.

    Parameters
    ----------
    instance : str
        Id of the instance.
    failure_domain : str
        Failure domain of the instance.
    document_version : int
        Version of the document that is active at the instance; 0 before
        the first one.
    document_digest : str
        Digest of that document; empty before the first one.
    ready : bool
        Whether the instance accepts requests.
    environment : str
        Environment that the instance belongs to; empty when the instance
        does not report one.
    """

    instance: str
    failure_domain: str
    document_version: int
    document_digest: str
    ready: bool
    environment: str = ""


def encode_status(status):
    """Return the body of ``GET /status``."""
    return json.dumps(attrs.asdict(status), sort_keys=True).encode()


def decode_status(body):
    """Return the InstanceStatus in a body; unknown keys are ignored.

    Raises
    ------
    MalformedStatusError
        When the body is not a valid status.
    """
    return _structure(decoding.decode_json, body, InstanceStatus)


def list_histograms(records):
    """Return the JSON-ready value of ``GET /histograms``.

    Parameters
    ----------
    records : iterable of HistogramRecord
        Snapshot of the histograms.
    """
    return {"items": [attrs.asdict(record) for record in records]}


def encode_histograms(records):
    """Return the body of ``GET /histograms``."""
    return json.dumps(list_histograms(records), sort_keys=True).encode()


def decode_histograms(body):
    """Return the tuple of HistogramRecord in a body.

    Raises
    ------
    MalformedStatusError
        When the body is not a valid list of histograms.
    """
    kind = tuple[histograms.HistogramRecord, ...]
    return _structure(
        lambda text: decoding.decode_json(text)["items"], body, kind
    )


def _structure(extract, body, kind):
    """Return the object of type `kind` that `extract` reads from a body."""
    try:
        return _CONVERTER.structure(extract(body), kind)
    except cattrs.BaseValidationError as error:
        reasons = "; ".join(cattrs.transform_error(error))
        raise MalformedStatusError(reasons) from error
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        raise MalformedStatusError(str(error)) from error
