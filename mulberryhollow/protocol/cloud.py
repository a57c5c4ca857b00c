"""Messages of the cloud API and of the list of instances."""

import json

import attrs

from mulberryhollow.state import endpoints

__all__ = ["Notice", "decode_endpoints", "decode_notices"]

_ENDPOINT_ROLES = ("model", "plain")


@attrs.frozen
class Notice:
    """A reclaim notice.

    Parameters
    ----------
    number : int
        Grows by one with each notice.
    instance : str
        The instance that goes; empty for a whole failure domain.
    failure_domain : str
        Its failure domain.
    reclaim_at_s : float
        When it goes, in Unix seconds.
    """

    number: int
    instance: str
    failure_domain: str
    reclaim_at_s: float


def decode_endpoints(data):
    """Return every endpoint in a list of instances.

    Raises
    ------
    ValueError
        When the list is malformed.
    """
    return [
        _decode_endpoint(item)
        for item in _decode_items(data)
        if item.get("role") in _ENDPOINT_ROLES
    ]


def decode_entries(data):
    """Return the HTTP address of every entry instance in a list."""
    return [
        item["address"]
        for item in _decode_items(data)
        if item.get("role") == "entry" and "address" in item
    ]


def decode_notices(data):
    """Return the Notice objects in data; ValueError if malformed."""
    try:
        return [
            Notice(
                int(item["number"]),
                item.get("instance") or "",
                item.get("failure_domain") or "",
                float(item["reclaim_at_s"]),
            )
            for item in _decode_items(data)
        ]
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed notices: {error}") from error


def _decode_endpoint(item):
    """Return one endpoint."""
    try:
        return endpoints.Endpoint(
            id=item["id"],
            role=item["role"],
            address=item["address"],
            failure_domain=item["failure_domain"],
            service=item["service"],
            version=item["version"],
            market=item.get("market", "on_demand"),
            price_per_hour=float(item.get("price_per_hour", 0.0)),
            state=item.get("state", "live"),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed instance: {error}") from error


def _decode_items(data):
    """Return the items of a list."""
    try:
        return json.loads(data)["items"]
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed list: {error}") from error
