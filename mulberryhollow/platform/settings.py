"""Decoder of the settings file that the platform gives each process."""

import attrs

from mulberryhollow.coordination import intake
from mulberryhollow.coordination import limits
from mulberryhollow.coordination import rollout
from mulberryhollow import errors
from mulberryhollow.state import decoding

__all__ = ["Bounds", "PlatformSettings", "decode_settings"]

_MS_PER_S = 1000.0

DEFAULT_EXPOSURE = rollout.ExposureLimit(0.1, 50.0, 5.0)
"""Limit on the requests of a bad version if the file names none."""


@attrs.frozen
class Bounds:
    """Limits that the platform sets for the system's behaviour.

    Parameters
    ----------
    grace_s : float
        Time between SIGTERM and SIGKILL, in seconds.
    retries : RetryRules
        Limit on retries of all instances together.
    quotas : QuotaRules
        Tolerances by which quotas may be exceeded.
    report_window_s : float
        Length of a usage report's window, in seconds.
    report_delay_s : float
        Time after the end of a window until its report is due, in
        seconds.
    lease_s : float
        Period in which the duties may not alternate between instances,
        in seconds.
    evacuation_s : float
        Time within which an evacuation takes effect on all instances, in
        seconds.
    cold_starts : ColdRules
        Tolerances by which the rate of a cold endpoint may be exceeded.
    exposure : ExposureLimit
        Limit on the requests that a bad version may get during a move.
    config_apply_s : float
        Time after its confirmation in which a configuration has to be in
        force on all instances, in seconds.
    drain_s : float
        Time after the store has confirmed an endpoint's end in which the
        endpoint has to be left, in seconds.
    contact_s : float
        Time from the end of a disturbance of an instance until the other
        bounds hold for it again, in seconds.
    """

    grace_s: float
    retries: limits.RetryRules
    quotas: limits.QuotaRules
    report_window_s: float
    report_delay_s: float
    lease_s: float
    evacuation_s: float = 5.0
    cold_starts: limits.ColdRules = limits.ColdRules()
    exposure: rollout.ExposureLimit = DEFAULT_EXPOSURE
    config_apply_s: float = 2.0
    drain_s: float = 2.0
    contact_s: float = 3.0


@attrs.frozen
class PlatformSettings:
    """Settings of one process.

    Parameters
    ----------
    instance : str
        Name of this instance.
    failure_domain, region : str
        Failure domain and region of the instance.
    ip : str
        IP address of the instance.
    callers_address, ready_address, control_address : str
        ``host:port`` to listen on for callers, for the load balancer's
        readiness checks, and for the control pages; the last one is empty
        for none.
    peer_port, metrics_port : int
        Ports of the system's own protocols on every instance: gossip with
        peers, and the metrics page.
    seeds : tuple of str
        Control addresses of some instances; they may be out of date.
    max_files : int
        Maximum number of open file descriptors of the process.
    memory_bytes : int
        Memory of the process, in bytes.
    store_address : str
        ``host:port`` of the object API.
    cloud_address : str
        ``host:port`` of the API for usage and orders; empty for none.
    is_first_start : bool
        Whether the whole system starts for the first time.
    has_usage_duty, has_order_duty : bool
        Whether the system has to report usage, and to order endpoints.
    bounds : Bounds
        Limits that the platform sets.
    has_placement_rules : bool
        Whether cold endpoints, evacuations and allowed regions are in use.
    has_moves : bool
        Whether operators order moves of services to other versions.
    domain_regions : dict
        Region of each failure domain, by the domain's name.
    """

    instance: str
    failure_domain: str
    region: str
    ip: str
    callers_address: str
    ready_address: str
    control_address: str
    peer_port: int
    metrics_port: int
    seeds: tuple
    max_files: int
    store_address: str
    cloud_address: str
    is_first_start: bool
    has_usage_duty: bool
    has_order_duty: bool
    bounds: Bounds
    has_placement_rules: bool = False
    has_moves: bool = False
    domain_regions: dict = attrs.field(factory=dict)
    memory_bytes: int = intake.DEFAULT_MEMORY_BYTES


def decode_settings(text):
    """Return the PlatformSettings decoded from a settings file.

    Parameters
    ----------
    text : str or bytes
        Text of the file, as JSON.

    Raises
    ------
    SettingsError
        If a field is missing or malformed; names the field or the fault.
    """
    try:
        with decoding.convert_errors("field"):
            return _decode(decoding.decode_json(text))
    except ValueError as error:
        raise _make_error(str(error)) from error


def _decode(fields):
    """Return the PlatformSettings for the fields of the file."""
    listen = fields["listen"]
    first_port, last_port = map(_check_port, fields["internalPorts"])
    # "cloudApi" is the API for the duties; the store is under "platform".
    cloud = fields.get("cloudApi") or {}
    duties = cloud.get("duties") or ()
    return PlatformSettings(
        instance=str(fields["nodeName"]),
        failure_domain=str(fields["zone"]),
        region=str(fields["region"]),
        ip=str(fields["ip"]),
        callers_address=str(listen["frontend"]),
        ready_address=str(listen["ready"]),
        control_address=str(listen.get("control") or ""),
        peer_port=first_port,
        metrics_port=last_port,
        seeds=tuple(map(str, fields.get("seeds") or ())),
        max_files=int(
            decoding.get_number(fields["limits"], "maxFds", lowest=1)
        ),
        memory_bytes=_decode_memory(fields["limits"]),
        store_address=str(fields["platform"]["address"]),
        cloud_address=str(cloud.get("address") or ""),
        is_first_start=bool(fields.get("bootstrap")),
        has_usage_duty="metering" in duties,
        has_order_duty="autoscale" in duties,
        bounds=_decode_bounds(fields["bounds"]),
        # The word "places" stands for the rules on where requests may go.
        has_placement_rules="places" in _decode_words(fields, "contracts"),
        has_moves="rollout" in _decode_words(fields, "contracts"),
        domain_regions={
            str(domain): str(region)
            for domain, region in (fields.get("zones") or {}).items()
        },
    )


def _decode_memory(limits):
    """Return the memory of the process, in bytes."""
    default_mib = intake.DEFAULT_MEMORY_BYTES / intake.MIB
    size_mib = decoding.get_number(limits, "memoryMb", default_mib, lowest=1)
    return int(size_mib * intake.MIB)


def _check_port(port):
    """Return a port among the internal ports, or raise ValueError."""
    fields = {"internalPorts": port}
    return decoding.get_integer(
        fields, "internalPorts", lowest=1, highest=decoding.MAX_PORT
    )


def _decode_words(fields, name):
    """Return an optional list of words as a tuple."""
    words = fields.get(name) or ()
    if isinstance(words, str):
        raise TypeError(f"{name} is {words!r}")
    return tuple(map(str, words))


def _decode_bounds(bounds):
    """Return the Bounds.

    The file omits a bound that is not active; such a bound gets a default.
    """
    return Bounds(
        grace_s=float(decoding.get_number(bounds, "graceS", 8)),
        retries=limits.RetryRules(
            float(decoding.get_number(bounds, "retryRatio", 0.1)),
            float(decoding.get_number(bounds, "retrySlack", 20)),
            float(decoding.get_number(bounds, "retryWindowS", 10)),
        ),
        quotas=limits.QuotaRules(
            float(decoding.get_number(bounds, "quotaOverrun", 0)),
            float(decoding.get_number(bounds, "quotaSlack", 0)),
            float(decoding.get_number(bounds, "quotaWindowS", 8)),
        ),
        report_window_s=float(decoding.get_number(bounds, "reportWindowS", 5)),
        report_delay_s=float(decoding.get_number(bounds, "usageDelayS", 10)),
        lease_s=float(decoding.get_number(bounds, "leaseMs", 3000))
        / _MS_PER_S,
        evacuation_s=float(decoding.get_number(bounds, "evacuateMs", 5000))
        / _MS_PER_S,
        cold_starts=limits.ColdRules(
            float(decoding.get_number(bounds, "coldOverrun", 1)),
            float(decoding.get_number(bounds, "coldSlack", 0)),
        ),
        exposure=rollout.ExposureLimit(
            float(bounds.get("exposureShare", DEFAULT_EXPOSURE.share)),
            float(bounds.get("exposureSlack", DEFAULT_EXPOSURE.slack)),
            float(bounds.get("rollbackMs", 5000)) / _MS_PER_S,
        ),
        config_apply_s=float(
            decoding.get_number(bounds, "configApplyMs", 2000)
        )
        / _MS_PER_S,
        drain_s=float(decoding.get_number(bounds, "drainMs", 2000))
        / _MS_PER_S,
        contact_s=float(decoding.get_number(bounds, "contactMs", 3000))
        / _MS_PER_S,
    )


def _make_error(message):
    """Return the error for a settings file that cannot be used."""
    return errors.SettingsError(
        f"the platform's settings file cannot be used: {message}",
        "correct the file; the process reads it at its start and whenever it "
        "changes",
    )
