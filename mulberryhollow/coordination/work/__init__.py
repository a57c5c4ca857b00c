"""Work that requests cause at their endpoints."""

from mulberryhollow.coordination.work.amounts import RequestFeatures
from mulberryhollow.coordination.work.amounts import RequestWork
from mulberryhollow.coordination.work.estimator import Served
from mulberryhollow.coordination.work.estimator import WorkEstimator
from mulberryhollow.coordination.work.levels import Level
from mulberryhollow.coordination.work.prompts import compute_weighted_tokens
from mulberryhollow.coordination.work.speeds import SpeedTable

__all__ = [
    "Level",
    "RequestFeatures",
    "RequestWork",
    "Served",
    "SpeedTable",
    "WorkEstimator",
    "compute_weighted_tokens",
]
