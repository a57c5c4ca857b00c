"""Decoders of the operator's and the endpoints' objects in the store."""

import math
import sys

import attrs
import xxhash

from mulberryhollow import errors
from mulberryhollow.protocol import configurations
from mulberryhollow.state import catalogue as catalogues
from mulberryhollow.state import decoding
from mulberryhollow.state import evacuations
from mulberryhollow.state import fleet

__all__ = [
    "CONFIGURATION_KIND",
    "CONFIGURATION_NAME",
    "ENDPOINT_KIND",
    "EVACUATION_KIND",
    "decode_catalogue",
    "decode_evacuation",
    "decode_fields",
    "decode_listing",
]

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"

ENDPOINT_KIND = "servers"
"""Kind of the endpoints' entries; the platform calls endpoints servers."""

EVACUATION_KIND = "evacuations"
"""Kind of the objects by which the operator evacuates failure domains."""

_MS_PER_S = 1000.0

MAX_COLD_S = 60.0
"""Longest time for which an entry can declare its endpoint cold, in seconds.

The entry is written again every second or so; a wrong value must not limit
an endpoint for much longer than a real start takes.
"""

MAX_START_MS = 253_402_300_799_999
"""Latest start of an endpoint, in Unix milliseconds: the end of year 9999."""

MAX_SLOTS = 1_000_000
"""Largest number of slots of an endpoint."""

_REQUEST_KINDS = {
    ("idempotent", False): catalogues.RequestKind.IDEMPOTENT,
    ("idempotent", True): catalogues.RequestKind.IDEMPOTENT,
    ("non_idempotent", False): catalogues.RequestKind.NON_IDEMPOTENT,
    ("non_idempotent", True): catalogues.RequestKind.NON_IDEMPOTENT,
    ("streaming", False): catalogues.RequestKind.STREAM,
    ("streaming", True): catalogues.RequestKind.RESUMABLE_STREAM,
}
_QUOTA_UNITS = {
    "token_count": catalogues.QuotaUnit.TOKENS,
    None: catalogues.QuotaUnit.REQUESTS,
}


def decode_listing(item):
    """Return the EndpointListing decoded from an endpoint's entry.

    Parameters
    ----------
    item : StoredObject
        The entry; another writer may have left it malformed.

    Raises
    ------
    ValueError
        If the entry does not describe a usable endpoint.
    """
    with decoding.convert_errors("entry"):
        fields = decode_fields(item)
        state = fields["state"]
        if state not in ("ready", "draining"):
            raise ValueError(f"unknown state {state!r}")
        return fleet.EndpointListing(
            identity=_check_identity(item.name),
            # "born" is the start time, in Unix milliseconds.
            started_ms=decoding.get_integer(
                fields, "born", lowest=1, highest=MAX_START_MS
            ),
            service=decoding.check_name(fields["service"], "service"),
            address=decoding.check_address(fields["address"], "address"),
            failure_domain=decoding.check_name(fields["zone"], "zone"),
            version=decoding.check_name(fields["version"], "version"),
            slots=decoding.get_integer(
                fields, "slots", lowest=1, highest=MAX_SLOTS
            ),
            is_leaving=state == "draining",
            is_reclaimable=bool(fields.get("spot")),
            leaves_in_s=_decode_leaves_in(fields.get("leaves_ms")),
            cold_left_s=_decode_cold_left(fields.get("coldLeftMs")),
        )


def decode_fields(item):
    """Return the fields of an object that another program wrote.

    Raises
    ------
    ValueError
        If its value is no JSON object.
    """
    fields = decoding.decode_json(item.value)
    if not isinstance(fields, dict):
        raise ValueError(f"the value is a {type(fields).__name__}")
    return fields


def _check_identity(name):
    """Return an endpoint's id, which is sent to it in a header."""
    if not (name.isascii() and name.isprintable() and " " not in name):
        raise ValueError(f"the name is no id: {name!r}")
    return name


def _decode_leaves_in(leaves_ms):
    """Return the time until an endpoint is reclaimed, in s; None if unknown.

    A time that has passed counts as now.
    """
    if leaves_ms is None:
        return None
    fields = {"leaves_ms": leaves_ms}
    lowest = -decoding.MAX_NUMBER
    value = decoding.get_number(fields, "leaves_ms", lowest=lowest)
    return max(0.0, value / _MS_PER_S)


def decode_evacuation(item):
    """Return the Evacuation decoded from an operator's object.

    Parameters
    ----------
    item : StoredObject
        The object, whose name is that of the failure domain. Its value is a
        JSON object, whose fields are reserved for later versions.

    Raises
    ------
    ValueError
        If the value is malformed.
    """
    decode_fields(item)
    return evacuations.Evacuation(item.name, item.version, True)


def _decode_cold_left(cold_left_ms):
    """Return the time for which an endpoint remains cold, in seconds.

    Raises TypeError for a value that is no number, ValueError for NaN.
    """
    if cold_left_ms is None:
        return 0.0
    is_number = isinstance(cold_left_ms, int | float)
    if not is_number or isinstance(cold_left_ms, bool):
        raise TypeError(f"coldLeftMs is {cold_left_ms!r}")
    if cold_left_ms != cold_left_ms:
        raise ValueError("coldLeftMs is NaN")
    # Compared before the division, which fails for a huge integer.
    return min(max(0, cold_left_ms), MAX_COLD_S * _MS_PER_S) / _MS_PER_S


def decode_catalogue(data, version):
    """Return the Catalogue decoded from the operator's configuration.

    Parameters
    ----------
    data : bytes
        Content of the configuration object, as JSON.
    version : int
        Version of the configuration object.

    Raises
    ------
    ConfigurationError
        If the content is malformed; names the version and the fault.
    """
    try:
        with decoding.convert_errors("configuration"):
            return _decode_catalogue(data)
    except ValueError as error:
        raise errors.ConfigurationError(
            [f"object version {version}: {error}"]
        ) from error


def _decode_catalogue(data):
    """Return the Catalogue decoded from the operator's configuration."""
    fields = decoding.decode_json(data)
    services = _decode_entries("services", fields, _decode_service)
    accounts = fields.get("tenants")
    return catalogues.Catalogue(
        number=int(fields["version"]),
        routes=_decode_entries("routes", fields, _decode_route),
        services={each.name: each for each in services},
        accounts=accounts
        and _decode_entries("tenants", fields, _decode_account),
        limits=_decode_limits(fields.get("limits") or {}),
        digest=xxhash.xxh3_64_hexdigest(data),
    )


def _decode_entries(name, fields, decode):
    """Return the decoded entries of a list; an error names the entry."""
    decoded = []
    for index, entry in enumerate(fields[name]):
        with decoding.convert_errors(f"{name}[{index}]"):
            decoded.append(decode(entry))
    return tuple(decoded)


def _get_finite(fields, name, default=None):
    """Return a number of the configuration, also a negative one.

    The rules on configurations name each value without a sense.
    """
    limit = sys.float_info.max
    return decoding.get_number(fields, name, default, -limit, limit)


def _decode_route(fields):
    """Return the Route for the fields of a route."""
    # A route has either "service" (one service) or "split" (weighted).
    split = fields.get("split") or [
        {"service": fields["service"], "weight": 1}
    ]
    shares = tuple(
        catalogues.ServiceShare(
            each["service"], float(_get_finite(each, "weight"))
        )
        for each in split
    )
    is_resumable = bool(fields.get("resumable"))
    return catalogues.Route(
        name=fields["name"],
        host=fields["host"].lower(),
        path_prefix=fields["pathPrefix"],
        kind=_REQUEST_KINDS[fields["routeKind"], is_resumable],
        shares=shares,
        timeout_s=_get_finite(fields, "timeoutMs") / _MS_PER_S,
        goal_s=_get_finite(fields, "goalMs", 0) / _MS_PER_S,
        priority=int(fields.get("priority") or 0),
        max_endpoints=max(1, int(fields.get("maxAttempts") or 1)),
        is_public=bool(fields.get("public")),
        gap_goal_s=_get_finite(fields, "gapGoalMs", 0) / _MS_PER_S,
        allowed_regions=_decode_regions(fields),
    )


def _decode_service(fields):
    """Return the ServiceSpec for the fields of a service."""
    engine = fields.get("engine")
    scaling = fields.get("scaling")
    return catalogues.ServiceSpec(
        name=fields["name"],
        max_connections=int(_get_finite(fields, "maxConns", 0)),
        model=engine
        and catalogues.ModelSpec(
            slots=int(_get_finite(engine, "slots")),
            # "kv" is the key-value cache of prompts and answers; its
            # capacity is in tokens.
            cache_tokens=int(_get_finite(engine, "kvCapacity")),
            can_move=bool(engine.get("moves")),
        ),
        scaling=scaling
        and catalogues.Scaling(
            min_per_domain=int(_get_finite(scaling, "min")),
            max_per_domain=int(_get_finite(scaling, "max")),
            boot_s=float(_get_finite(scaling, "bootS", 0)),
            reclaimable_price=scaling.get("spotPrice"),
            domain_prices=dict(scaling.get("zonePrices") or {}),
        ),
        cold_start=_decode_cold_start(fields),
    )


def _decode_cold_start(fields):
    """Return the ColdStart of a service; None without a limit."""
    cold_start = catalogues.ColdStart(
        duration_s=float(fields.get("coldS") or 0),
        rate_per_s=float(fields.get("coldPerS") or 0),
    )
    for name, value in attrs.asdict(cold_start).items():
        if not math.isfinite(value):
            raise ValueError(f"{name} of a cold start is {value}")
    return cold_start if cold_start.rate_per_s > 0.0 else None


def _decode_account(fields):
    """Return the ClientAccount for the fields of a tenant."""
    priority = fields.get("priority")
    return catalogues.ClientAccount(
        name=fields["name"],
        keys=frozenset(fields["apiKeys"]),
        quota=catalogues.Quota(
            rate_per_s=float(_get_finite(fields, "ratePerS", 0)),
            burst=float(_get_finite(fields, "burst", 0)),
            unit=_QUOTA_UNITS[fields.get("unit")],
            # Charged for requests that do not state their size.
            default_tokens=float(_get_finite(fields, "uncachedTokens", 0)),
        ),
        priority=None if priority is None else int(priority),
        allowed_regions=_decode_regions(fields),
    )


def _decode_regions(fields):
    """Return the allowed regions of a route or tenant; None for any."""
    names = fields.get("allowedRegions") or []
    if not isinstance(names, list):
        raise TypeError(f"allowedRegions is {names!r}")
    return frozenset(map(str, names)) or None


def _decode_limits(fields):
    """Return the IngressLimits for the fields of the limits."""
    default = catalogues.IngressLimits()
    return catalogues.IngressLimits(
        header_bytes=int(
            _get_finite(fields, "maxHeaderBytes", default.header_bytes)
        ),
        body_bytes=int(
            _get_finite(fields, "maxBodyBytes", default.body_bytes)
        ),
        idle_timeout_s=_get_finite(
            fields, "idleTimeoutMs", default.idle_timeout_s * _MS_PER_S
        )
        / _MS_PER_S,
        header_timeout_s=_get_finite(
            fields, "headerTimeoutMs", default.header_timeout_s * _MS_PER_S
        )
        / _MS_PER_S,
    )


configurations.declare_decoder("json", decode_catalogue)
