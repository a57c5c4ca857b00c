"""Counters and latency histograms in the Prometheus text format."""

import json

__all__ = ["render_evacuations", "render_metrics", "render_moves"]

_PREFIX = "mulberryhollow"
_S_PER_US = 1e-6


def render_metrics(counts, records, gauges=None):
    """Return counters, gauges and histograms, one sample per line.

    Parameters
    ----------
    counts : dict
        Value of each counter, by name.
    records : iterable of HistogramRecord
        Latency histograms.
    gauges : dict or None
        Value of each gauge, by name.

    Returns
    -------
    str
        Samples in the Prometheus text format; times in seconds.
    """
    lines = [
        f"{_PREFIX}_{_clean(name)}_total {value}"
        for name, value in sorted(counts.items())
    ]
    lines += [
        f"{_PREFIX}_{_clean(name)} {value:.6g}"
        for name, value in sorted((gauges or {}).items())
    ]
    for record in records:
        labels = (
            f'account="{record.account}",class="{record.request_class}",'
            f'measure="{record.measure}"'
        )
        quantiles = {
            "0.5": record.p50_us,
            "0.95": record.p95_us,
            "0.99": record.p99_us,
            "1": record.max_us,
        }
        lines += [
            f'{_PREFIX}_latency_seconds{{{labels},quantile="{quantile}"}} '
            f"{value_us * _S_PER_US:.6f}"
            for quantile, value_us in quantiles.items()
        ]
        lines.append(
            f"{_PREFIX}_latency_seconds_count{{{labels}}} {record.count}"
        )
    return "\n".join(lines) + "\n"


def render_evacuations(active, contact_age_s):
    """Return the evacuated failure domains, one sample per line.

    Parameters
    ----------
    active : list of Evacuation
        The active evacuations.
    contact_age_s : float or None
        Time since the store last confirmed them, in seconds; None before it
        has done so.

    Returns
    -------
    str
        Samples in the Prometheus text format. The value of a domain's sample
        is the store's revision of the request.
    """
    lines = [f"{_PREFIX}_evacuated_domains {len(active)}"]
    lines += [
        f"{_PREFIX}_evacuated{{failure_domain="
        f"{json.dumps(each.failure_domain)}}} {each.revision}"
        for each in active
    ]
    if contact_age_s is not None:
        lines.append(
            f"{_PREFIX}_evacuations_confirmed_age_seconds {contact_age_s:.1f}"
        )
    return "\n".join(lines) + "\n"


def render_moves(moves):
    """Return the share and the stage of each service's move.

    Parameters
    ----------
    moves : list of FollowedMove
        The latest move of each service.

    Returns
    -------
    str
        Samples in the Prometheus text format; empty without a move.
    """
    lines = []
    for each in moves:
        labels = f"service={json.dumps(each.service)},"
        labels += f"version={json.dumps(each.to_version)}"
        lines += [
            f"{_PREFIX}_move_share{{{labels}}} {each.share:g}",
            f"{_PREFIX}_move_stage{{{labels},"
            f"stage={json.dumps(each.stage)}}} 1",
        ]
    return "".join(f"{line}\n" for line in lines)


def _clean(name):
    """Replace the characters that metric names do not allow by ``_``."""
    return "".join(each if each.isalnum() else "_" for each in name)
