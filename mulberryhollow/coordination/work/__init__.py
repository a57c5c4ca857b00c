"""Work that requests cause at their endpoints."""

from mulberryhollow.coordination.work.amounts import RequestFeatures
from mulberryhollow.coordination.work.amounts import RequestWork

__all__ = ["RequestFeatures", "RequestWork"]
