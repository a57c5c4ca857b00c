"""Messages of the cloud API and of the instance list."""

import json

import attrs

from mulberryhollow.coordination import capacity
from mulberryhollow.state import decoding
from mulberryhollow.state import endpoints

__all__ = [
    "Notice",
    "decode_endpoints",
    "decode_entry_addresses",
    "decode_instances",
    "decode_notices",
    "decode_offers",
    "encode_start",
]

_ENDPOINT_ROLES = ("model", "plain")


@attrs.frozen
class Notice:
    """A reclaim notice.

    Parameters
    ----------
    number : int
        Sequence number, incremented by one with each notice.
    instance : str
        Id of the instance to be reclaimed; empty for a whole failure
        domain.
    failure_domain : str
        Failure domain of the instance, or the one to be reclaimed.
    reclaim_at_s : float
        Time of the reclaim, in Unix seconds.
    """

    number: int
    instance: str
    failure_domain: str
    reclaim_at_s: float


def decode_endpoints(data):
    """Return every Endpoint in an instance list.

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


def decode_entry_addresses(data):
    """Return the HTTP addresses of the entry instances in a list."""
    return [
        item["address"]
        for item in _decode_items(data)
        if item.get("role") == "entry" and "address" in item
    ]


def decode_notices(data):
    """Return the Notice objects in data; ValueError if malformed."""
    with decoding.convert_errors("notices"):
        return [
            Notice(
                int(item["number"]),
                item.get("instance") or "",
                item.get("failure_domain") or "",
                float(item["reclaim_at_s"]),
            )
            for item in _decode_items(data)
        ]


def decode_instances(data):
    """Return each endpoint as capacity.Instance; ValueError if malformed."""
    with decoding.convert_errors("instance"):
        return [
            capacity.Instance(
                item["id"],
                item["service"],
                item["version"],
                item["failure_domain"],
                item.get("machine_class", ""),
                item.get("market", ""),
                float(item.get("price_per_hour", 0.0)),
                item.get("state") == "leaving",
            )
            for item in _decode_items(data)
            if item.get("role") in _ENDPOINT_ROLES
        ]


def decode_offers(data):
    """Return prices as capacity.InstanceOffer; ValueError if malformed."""
    with decoding.convert_errors("prices"):
        return [
            capacity.InstanceOffer(
                item["failure_domain"],
                item["machine_class"],
                item["market"],
                float(item["per_hour"]),
            )
            for item in _decode_items(data)
        ]


def encode_start(start):
    """Return the body that requests one instance of a capacity.Start."""
    return json.dumps(
        {
            "machine_class": start.offer.machine_class,
            "failure_domain": start.offer.failure_domain,
            "market": start.offer.market,
            "role": start.role,
            "service": start.service,
            "version": start.version,
        }
    ).encode()


def _decode_endpoint(item):
    """Return the Endpoint that one item of an instance list holds."""
    with decoding.convert_errors("instance"):
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


def _decode_items(data):
    """Return the ``items`` of a JSON list; ValueError if malformed."""
    with decoding.convert_errors("list"):
        return decoding.decode_json(data)["items"]
