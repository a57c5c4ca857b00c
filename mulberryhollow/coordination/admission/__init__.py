"""Admission control by weighted fair shares of a shared rate, no queue."""

from mulberryhollow.coordination.admission.controller import Admission
from mulberryhollow.coordination.admission.controller import Admitted
from mulberryhollow.coordination.admission.controller import BURST_S
from mulberryhollow.coordination.admission.demand import DemandTable
from mulberryhollow.coordination.admission.inflight import InflightLimit
from mulberryhollow.coordination.admission.inflight import InflightRules
from mulberryhollow.coordination.admission.shares import ShareBuckets

__all__ = [
    "BURST_S",
    "Admission",
    "Admitted",
    "DemandTable",
    "InflightLimit",
    "InflightRules",
    "ShareBuckets",
]
