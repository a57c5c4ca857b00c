"""Metrics of the costs of requests and of the endpoints' speed and backlog."""

__all__ = ["render_work"]

_PREFIX = "mulberryhollow_work"


def render_work(actor, now_s):
    """Return the lines on services that are placed by work.

    Runs in the dispatch actor.

    Parameters
    ----------
    actor : DispatchActor
        Holds the endpoints and the estimates.
    now_s : float
        Monotonic time, in seconds.

    Returns
    -------
    str
        Samples in the Prometheus text format; empty without such a service.
    """
    lines = [
        f'{_PREFIX}_{what}_seconds{{service="{service}",route="{route}"}} '
        f"{level.mean:.4f}"
        for (service, route, what), level in actor.router.estimator.costs
    ]
    for record in actor.view:
        if actor.view.is_work_based(record.endpoint.service):
            lines += _list_endpoint_lines(record, now_s)
    return "".join(f"{line}\n" for line in lines)


def _list_endpoint_lines(record, now_s):
    """Return the lines on one endpoint."""
    backlog = record.backlog
    local_s, _ = record.measure_local_work(now_s)
    values = {
        "slowness": record.slowness,
        "requests": record.local_load + backlog.placed + backlog.others,
        "prompt_backlog_seconds": max(0.0, record.busy_until_s - now_s),
        "known_backlog_seconds": local_s + backlog.measure_placed_s(now_s),
    }
    return [
        f'{_PREFIX}_{name}{{endpoint="{record.endpoint.id}"}} {value:.4f}'
        for name, value in values.items()
    ]
