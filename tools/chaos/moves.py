"""Gradual version changes (moves) that a run starts."""

import json
import time

import urllib3

from tools.chaos import configuration

__all__ = ["DURATION_S", "start_move"]

DURATION_S = 180.0
"""Time during which a run with a move injects faults, in seconds."""

_DEADLINE_S = 165.0
_FAILING_SHARE = 0.5
_SERVICE = configuration.SERVICES["model"]


def start_move(cluster, is_bad):
    """Start a move of the model service to its new version.

    Parameters
    ----------
    cluster : Cluster
        Store and model engines of the run.
    is_bad : bool
        Whether the new version fails half of its requests.
    """
    if is_bad:
        for member in cluster.list_members("model"):
            cluster.set_fault(
                member.address,
                "fail",
                share=_FAILING_SHARE,
                version=configuration.NEW_VERSION,
            )
    now_s = time.time()
    move = {
        "id": "chaos-move",
        "environment": configuration.ENVIRONMENT,
        "service": _SERVICE,
        "from_version": configuration.VERSION,
        "to_version": configuration.NEW_VERSION,
        "created_s": now_s,
        "deadline_s": now_s + _DEADLINE_S,
        "stage": "planned",
    }
    name = f"{configuration.ENVIRONMENT}.{_SERVICE}"
    urllib3.request(
        "PUT",
        f"http://{cluster.store}/v1/objects/move/{name}",
        body=json.dumps(move).encode(),
        headers={"If-None-Match": "*", "X-Change-Id": "chaos-move"},
        retries=False,
    )
