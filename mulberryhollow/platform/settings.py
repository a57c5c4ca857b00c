"""The settings file that the platform gives each process."""

import json

import attrs

from mulberryhollow.coordination import limits
from mulberryhollow import errors

__all__ = ["Bounds", "PlatformSettings", "decode_settings"]

_MS_PER_S = 1000.0


@attrs.frozen
class Bounds:
    """Bounds that the system has to keep.

    Parameters
    ----------
    grace_s : float
        Time between SIGTERM and SIGKILL, in seconds.
    retries : RetryRules
        Allowance of repeated attempts over all instances.
    quotas : QuotaRules
        How far quotas may be overrun.
    report_window_s : float
        Length of a window of the usage reports, in seconds.
    report_delay_s : float
        Time after its end by which a window is due, in seconds.
    lease_s : float
        Time in which duties may not go back and forth, in seconds.
    """

    grace_s: float
    retries: limits.RetryRules
    quotas: limits.QuotaRules
    report_window_s: float
    report_delay_s: float
    lease_s: float


@attrs.frozen
class PlatformSettings:
    """What a process learns of its place.

    Parameters
    ----------
    instance : str
        Name of this instance.
    failure_domain, region : str
        Where it is.
    ip : str
        Its address.
    callers_address, ready_address, control_address : str
        ``host:port`` for callers, for the balancer's question whether it
        is ready, and for the operators' pages.
    peer_port, metrics_port : int
        Ports that the system's own protocols use on every instance.
    seeds : tuple of str
        Control addresses of a few instances, which may be out of date.
    max_files : int
        File descriptors that the process may have.
    store_address : str
        ``host:port`` of the object API.
    cloud_address : str
        ``host:port`` of the API for usage and orders; empty for none.
    is_first_start : bool
        Whether the whole system starts for the first time.
    has_usage_duty, has_order_duty : bool
        Whether usage is to be reported, and endpoints are to be ordered.
    bounds : Bounds
        Bounds to keep.
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


def decode_settings(text):
    """Return the PlatformSettings of a settings file.

    Parameters
    ----------
    text : str
        The file's text, JSON.

    Raises
    ------
    SettingsError
        Naming the field that is missing or wrong.
    """
    try:
        return _decode(json.loads(text))
    except KeyError as error:
        raise _fault(f"the field {error} is missing") from error
    except (ValueError, TypeError, AttributeError, IndexError) as error:
        raise _fault(f"a field is wrong: {error!r}") from error


def _decode(fields):
    """Return the settings of a decoded file."""
    listen = fields["listen"]
    first_port, last_port = fields["internalPorts"]
    # The field "cloudApi" names the API for duties, not the store.
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
        peer_port=int(first_port),
        metrics_port=int(last_port),
        seeds=tuple(map(str, fields.get("seeds") or ())),
        max_files=int(fields["limits"]["maxFds"]),
        store_address=str(fields["platform"]["address"]),
        cloud_address=str(cloud.get("address") or ""),
        is_first_start=bool(fields.get("bootstrap")),
        has_usage_duty="metering" in duties,
        has_order_duty="autoscale" in duties,
        bounds=_decode_bounds(fields["bounds"]),
    )


def _decode_bounds(bounds):
    """Return the Bounds; those that are not in force are taken as wide."""
    return Bounds(
        grace_s=float(bounds.get("graceS", 8)),
        retries=limits.RetryRules(
            float(bounds.get("retryRatio", 0.1)),
            float(bounds.get("retrySlack", 20)),
            float(bounds.get("retryWindowS", 10)),
        ),
        quotas=limits.QuotaRules(
            float(bounds.get("quotaOverrun", 0)),
            float(bounds.get("quotaSlack", 0)),
            float(bounds.get("quotaWindowS", 8)),
        ),
        report_window_s=float(bounds.get("reportWindowS", 5)),
        report_delay_s=float(bounds.get("usageDelayS", 10)),
        lease_s=float(bounds.get("leaseMs", 3000)) / _MS_PER_S,
    )


def _fault(message):
    """Return the error of a settings file that cannot be used."""
    return errors.SettingsError(
        f"the platform's settings file cannot be used: {message}",
        "correct the file; the process reads it at its start and on SIGHUP",
    )
