"""Stand-in for the cloud API: instances, reclaim notices and prices."""

import itertools
import threading
import time

import attrs

from standins import http

__all__ = ["Cloud", "Instance", "Notice"]

_DEFAULT_LIST_LAG_S = 0.1
_DEFAULT_RECLAIM_DELAY_S = 5.0
_DEFAULT_DOMAINS = ("fd-1", "fd-2", "fd-3", "fd-4")
_CLASS_BASE_PRICES = (("small", 1.0), ("large", 2.0))
_MARKET_PRICE_FACTORS = (("reclaimable", 1.0), ("on_demand", 2.5))
# Fraction of the base price by which each further domain costs more.
_DOMAIN_PRICE_STEP = 0.05


@attrs.frozen(kw_only=True)
class Instance:
    """An instance as the instance list returns it."""

    id: str
    role: str
    address: str
    failure_domain: str
    state: str = "live"
    service: str = ""
    version: str = ""
    market: str = "reclaimable"
    machine_class: str = "small"
    price_per_hour: float = 1.0


@attrs.frozen
class Notice:
    """A reclaim notice.

    Parameters
    ----------
    number : int
        Sequence number; each notice has the next one.
    instance : str
        Id of the instance; empty when the whole failure domain is reclaimed.
    failure_domain : str
        Failure domain of the reclaim.
    reclaim_at_s, issued_s : float
        Time of the reclaim and of the notice, in Unix seconds.
    """

    number: int
    instance: str
    failure_domain: str
    reclaim_at_s: float
    issued_s: float


@attrs.define
class _Record:
    """An instance and the times of its state changes.

    Parameters
    ----------
    instance : Instance
        The instance as it was created.
    created_s, leaving_s, removed_s : float
        Times from which the instance is listed, is listed as leaving and is
        no longer listed, in Unix seconds.
    """

    instance: Instance
    created_s: float
    leaving_s: float = float("inf")
    removed_s: float = float("inf")

    def get_instance_at(self, at_s):
        """Return the instance in its state at a time; None if not listed."""
        if not self.created_s <= at_s < self.removed_s:
            return None
        if at_s < self.leaving_s:
            return self.instance
        return attrs.evolve(self.instance, state="leaving")


class Cloud:
    """Instances, reclaim notices, prices and the faults of the cloud API."""

    def __init__(self):
        self._lock = threading.Lock()
        self._records = {}
        self._idle_addresses = []
        self._notices = []
        self._prices = ()
        self._refused_domain = None
        self._list_lag_s = _DEFAULT_LIST_LAG_S
        self._numbers = itertools.count(1)
        self._start_count = 0

    def add_fault(self, fault):
        """Activate a fault; return whether the cloud supports it."""
        with self._lock:
            match fault.fault:
                case "refuse_starts":
                    self._refused_domain = fault.failure_domain or "all"
                case "list_lag":
                    self._list_lag_s = fault.delay_s
                case "reclaim":
                    self._reclaim(fault)
                case "idle_address":
                    self._idle_addresses.append((fault.role, fault.address))
                case "register":
                    self._add_instance(Instance(**fault.instance))
                case "prices":
                    self._prices = tuple(fault.items)
                case _:
                    return False
        return True

    def clear_faults(self):
        """Deactivate the faults; instances, notices and prices stay."""
        with self._lock:
            self._refused_domain = None
            self._list_lag_s = _DEFAULT_LIST_LAG_S

    def report_counters(self):
        """Return the counters and the notices as JSON values."""
        with self._lock:
            return {
                "starts": self._start_count,
                "idle": len(self._idle_addresses),
                "notices": [attrs.asdict(notice) for notice in self._notices],
            }

    def make_routes(self):
        """Return the routes of the cloud API."""
        return [
            http.Route("GET", "/cloud/instances", self._list),
            http.Route("POST", "/cloud/instances", self._start),
            http.Route("DELETE", "/cloud/instances/(.+)", self._stop),
            http.Route("GET", "/cloud/notices", self._list_notices),
            http.Route("GET", "/cloud/prices", self._list_prices),
        ]

    def _add_instance(self, instance):
        self._records[instance.id] = _Record(instance, time.time())

    def _reclaim(self, fault):
        now_s = time.time()
        reclaim_at_s = now_s + (fault.after_s or _DEFAULT_RECLAIM_DELAY_S)
        reclaimed = [
            record
            for record in self._records.values()
            if record.removed_s > now_s
            and _is_reclaimed(record.instance, fault)
        ]
        for record in reclaimed:
            record.leaving_s = min(record.leaving_s, now_s)
            record.removed_s = min(record.removed_s, reclaim_at_s)
        domain = fault.failure_domain
        if reclaimed and not domain:
            domain = reclaimed[0].instance.failure_domain
        self._notices.append(
            Notice(
                len(self._notices) + 1,
                fault.instance,
                domain,
                reclaim_at_s,
                now_s,
            )
        )

    def _list(self, _request):
        with self._lock:
            at_s = time.time() - self._list_lag_s
            listed = [
                record.get_instance_at(at_s)
                for record in self._records.values()
            ]
        items = [attrs.asdict(instance) for instance in listed if instance]
        return http.reply_json(200, {"items": items})

    def _start(self, request):
        wanted = request.json()
        domain, role = wanted["failure_domain"], wanted["role"]
        with self._lock:
            if self._refused_domain in ("all", domain):
                return http.reply_json(409, {"reason": "no capacity"})
            idle = next(
                (pair for pair in self._idle_addresses if pair[0] == role),
                None,
            )
            if idle is None:
                return http.reply_json(409, {"reason": "no idle address"})
            self._idle_addresses.remove(idle)
            instance = self._make_instance(wanted, idle[1])
            self._add_instance(instance)
            self._start_count += 1
        return http.reply_json(201, attrs.asdict(instance))

    def _make_instance(self, wanted, address):
        machine_class = wanted.get("machine_class", "small")
        market = wanted.get("market", "reclaimable")
        return Instance(
            id=f"i-{next(self._numbers):04d}",
            role=wanted["role"],
            address=address,
            failure_domain=wanted["failure_domain"],
            service=wanted.get("service", ""),
            version=wanted.get("version", ""),
            market=market,
            machine_class=machine_class,
            price_per_hour=self._find_price(
                wanted["failure_domain"], machine_class, market
            ),
        )

    def _stop(self, _request, name):
        with self._lock:
            record = self._records.get(name)
            now_s = time.time()
            if record is None or record.removed_s <= now_s:
                return http.reply_json(404, {"reason": "no such instance"})
            record.removed_s = now_s
            instance = record.instance
            self._idle_addresses.append((instance.role, instance.address))
        return http.reply_json(200, {})

    def _list_notices(self, request):
        after = int(request.query.get("after", 0))
        items = [
            {
                "number": notice.number,
                "instance": notice.instance,
                "failure_domain": notice.failure_domain,
                "reclaim_at_s": notice.reclaim_at_s,
            }
            for notice in self._notices[after:]
        ]
        return http.reply_json(200, {"items": items})

    def _list_prices(self, _request):
        with self._lock:
            return http.reply_json(200, {"items": self._make_prices()})

    def _make_prices(self):
        if self._prices:
            return list(self._prices)
        known = {
            record.instance.failure_domain for record in self._records.values()
        }
        domains = sorted(known | set(_DEFAULT_DOMAINS))
        return [
            {
                "failure_domain": domain,
                "machine_class": machine_class,
                "market": market,
                "per_hour": round(
                    base * factor * (1 + _DOMAIN_PRICE_STEP * i), 4
                ),
            }
            for (i, domain), (machine_class, base), (market, factor) in (
                itertools.product(
                    enumerate(domains),
                    _CLASS_BASE_PRICES,
                    _MARKET_PRICE_FACTORS,
                )
            )
        ]

    def _find_price(self, domain, machine_class, market):
        wanted = domain, machine_class, market
        prices = (
            item["per_hour"]
            for item in self._make_prices()
            if wanted
            == (item["failure_domain"], item["machine_class"], item["market"])
        )
        return next(prices, 1.0)


def _is_reclaimed(instance, fault):
    """Return whether a reclaim includes an instance."""
    if fault.instance:
        return instance.id == fault.instance
    return instance.failure_domain == fault.failure_domain
