"""Reports local amounts to collectors and receives the aggregates."""

import concurrent.futures
import functools
import logging
import threading

import attrs
import xxhash

from mulberryhollow.coordination import routing
from mulberryhollow.coordination import sharing
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.protocol import aggregates
from mulberryhollow.serving import room_admission

__all__ = ["AggregatePeering"]

TOPIC = "sums.tell"

CALL_TIMEOUT_S = 0.4
"""Timeout of a report, in seconds; shorter than the reporting interval."""

MAX_CONCURRENT_REPORTS = 8
"""Maximum number of concurrent reports."""

LOAD_REPORT_LIFETIME_S = 1.0
"""Time after which an endpoint's own load report expires, in seconds.

The aggregates are exchanged twice in this time, so they are more recent
from then on.
"""

WINDOWS_PER_ANSWER = 5
"""Number of latest windows whose counts are sent to the lease holder.

An instance that has just acquired the lease on the duties may have to report
the usage of windows that ended while no instance held the lease.
"""

COUNT_AGE_S = 0.25
"""Mean age of the counts in a report when it arrives, in seconds.

Half of the interval at which an instance reports to its collector.
"""

WORK_LEVEL = 1
"""Protocol level from which peers know the tables on work."""

REMOTE_NODE = "others"
"""Node name under which the total of the other instances is stored."""

REPORT_MALFORMED = events.declare(
    5201,
    logging.WARNING,
    "the aggregate report of a peer cannot be decoded",
    "check the version of the peer's program",
)
NO_ANSWER = events.declare(
    5202,
    logging.DEBUG,
    "a collector gave no usable answer to an aggregate report",
    "check that instance if this repeats",
)


class AggregatePeering:
    """Exchanges demand, load and usage with all instances.

    Each instance reports to the collector of its failure domain, and the
    collectors exchange the totals of their domains.

    Parameters
    ----------
    peers : Peers
        Calls between instances.
    clock : Clock
        Source of time.
    dispatcher : Dispatcher
        Source of the local amounts; receives the totals.
    usage : SharedUsageLedger
        Usage counts of this instance and its peers.
    get_collectors : callable
        Returns the current `Collectors`.
    relay : StoreRelay or None
        Relays stored objects with the reports.
    room : RoomAdmission or UnlimitedRoom
        Source of the local demand for room; receives the totals.

    Attributes
    ----------
    wants_usage : callable
        Returns whether this instance needs the usage counts of all
        instances; always False unless it is replaced.
    """

    def __init__(
        self,
        peers,
        clock,
        dispatcher,
        usage,
        get_collectors,
        relay=None,
        room=None,
    ):
        self._peers = peers
        self._clock = clock
        self._dispatcher = dispatcher
        self._usage = usage
        self._get_collectors = get_collectors
        self._relay = relay
        self._room = room or room_admission.UnlimitedRoom()
        self._local_member = peers.local_member()
        self._table = sharing.AggregateTable(self._local_member.instance_id)
        self._lock = threading.Lock()
        self._threads = concurrent.futures.ThreadPoolExecutor(
            MAX_CONCURRENT_REPORTS, thread_name_prefix="sums"
        )
        self.wants_usage = lambda: False

    def connect(self):
        """Register the handler of the peers' reports."""
        self._peers.handle(TOPIC, self._answer)

    def tick(self):
        """Report the local amounts and apply the remote total."""
        collectors = self._get_collectors()
        domains = collectors.domains
        read = functools.partial(_read_local, collectors.level)
        # Only acting instances grant the credit of quotas.
        amounts = attrs.evolve(
            self._dispatcher.read(read), room=self._room.list_demand()
        )
        local = sharing.Total(amounts, int(collectors.is_local))
        local_domain = self._local_member.failure_domain
        is_collector = (
            domains[local_domain][0] == self._local_member.instance_id
        )
        now_s = self._clock.now_s()
        with self._lock:
            self._table.merge_member(
                self._local_member.instance_id, local, now_s
            )
        level = collectors.level
        if is_collector:
            self._exchange_totals(domains, now_s, level)
        else:
            self._report_to_collector(domains[local_domain], local, level)
        with self._lock:
            now_s = self._clock.now_s()
            remote = self._table.sum_remote(now_s)
            age_s = self._table.measure_age_s(now_s) + COUNT_AGE_S
        self._dispatcher.change(
            functools.partial(_apply_remote, remote, age_s)
        )
        self._room.apply_remote(remote.amounts.room, remote.count)

    def _exchange_totals(self, domains, now_s, level):
        """Exchange the totals of the domains with the other collectors."""
        with self._lock:
            total = self._limit(self._table.sum_domain(now_s))
        report = self._make_report(total, True, self._usage.encode_all())
        calls = [
            self._threads.submit(self._send_report, names[0], report, level)
            for domain, names in domains.items()
            if domain != self._local_member.failure_domain
        ]
        for call in concurrent.futures.as_completed(calls):
            answer = call.result()
            if answer is not None:
                self._merge(answer)

    def _report_to_collector(self, names, local, level):
        """Report to the collector of this domain.

        The next in rank is used if the first does not answer.
        """
        report = self._make_report(local, False, self._usage.encode_own())
        for name in names:
            if name == self._local_member.instance_id:
                return
            answer = self._send_report(name, report, level)
            if answer is not None:
                self._merge_usage(answer)
                with self._lock:
                    self._table.merge_reply(
                        answer.total, local, self._clock.now_s()
                    )
                return

    def _make_report(self, total, is_collector, usage):
        """Return a report of this instance."""
        return aggregates.AggregateReport(
            self._local_member.instance_id,
            self._local_member.failure_domain,
            total,
            is_collector,
            usage,
            self.wants_usage(),
            self._relay.ask() if self._relay else {},
        )

    def _send_report(self, name, report, level):
        """Send a report to an instance; return its answer, or None."""
        try:
            payload = aggregates.encode_report(report, level)
            answer = self._peers.call(name, TOPIC, payload, CALL_TIMEOUT_S)
            answer = aggregates.decode_report(answer)
        except (errors.PeerError, ValueError) as error:
            events.log(NO_ANSWER, peer=name, reason=str(error))
            return None
        if self._relay:
            self._relay.accept(answer.store)
        return answer

    def _answer(self, payload):
        """Merge the report of another instance and return the answer."""
        try:
            report = aggregates.decode_report(payload)
        except ValueError as error:
            events.log(REPORT_MALFORMED, reason=str(error))
            raise
        self._merge(report)
        now_s = self._clock.now_s()
        if report.is_collector:
            with self._lock:
                total = self._table.sum_domain(now_s)
            usage = self._usage.encode_all()
        else:
            with self._lock:
                total = self._table.sum_all(now_s)
            usage = []
            if report.wants_usage:
                usage = self._usage.encode_all(WINDOWS_PER_ANSWER)
        answer = aggregates.AggregateReport(
            self._local_member.instance_id,
            self._local_member.failure_domain,
            self._limit(total),
            report.is_collector,
            usage,
            store=self._relay.answer(report.store) if self._relay else {},
        )
        return aggregates.encode_report(answer, self._get_collectors().level)

    def _limit(self, total):
        """Return a Total without tables that a receiver may not decode."""
        if self._room.shares_demand or not total.amounts.room:
            return total
        amounts = attrs.evolve(total.amounts, room={})
        return attrs.evolve(total, amounts=amounts)

    def _merge(self, report):
        """Merge the report of another instance."""
        now_s = self._clock.now_s()
        with self._lock:
            if report.is_collector:
                self._table.merge_domain(
                    report.failure_domain, report.total, now_s
                )
            else:
                self._table.merge_member(report.sender, report.total, now_s)
        self._merge_usage(report)

    def _merge_usage(self, report):
        """Merge the usage counts of a report."""
        for counts in report.usage:
            self._usage.merge(counts)


def _shorten(endpoint_id):
    """Return a short hash of an endpoint id, for frequent messages."""
    return xxhash.xxh32_hexdigest(endpoint_id.encode())


def _read_local(level, actor, now_s):
    """Return the Amounts of this instance, for peers of a protocol level.

    Runs in the dispatch actor.
    """
    loads = actor.view.list_local_loads()
    demand = actor.quotas.list_demand(now_s)
    return sharing.Amounts(
        {name: round(rate) for name, rate in demand.items() if rate >= 1.0},
        {_shorten(name): load for name, load in loads.items()},
        {
            name: round(rate, 4)
            for name, rate in actor.work.list_local(now_s).items()
        },
        **(_read_work(actor, now_s) if level >= WORK_LEVEL else {}),
    )


def _read_work(actor, now_s):
    """Return the tables of Amounts that peers know from `WORK_LEVEL` on."""
    sums = {
        _shorten(name): found
        for name, found in actor.router.estimator.speeds.list_sums(
            now_s
        ).items()
    }
    shared = actor.router.estimator.list_shared()
    return {
        "work_times": dict.fromkeys(actor.view.list_work_time_services(), 1),
        "speed_weights": {
            name: round(weight, 2) for name, (weight, _) in sums.items()
        },
        "speed_sums": {
            name: round(total, 2) for name, (_, total) in sums.items()
        },
        "time_weights": {
            name: round(weight, 1) for name, (weight, _) in shared.items()
        },
        "time_sums": {
            name: float(f"{total:.5g}") for name, (_, total) in shared.items()
        },
    }


def _apply_remote(remote, age_s, actor, now_s):
    """Apply the total of the other instances to quotas and routing."""
    actor.quotas.report_demand(
        REMOTE_NODE, remote.amounts.demand, now_s, remote.count
    )
    actor.work.set_report(
        REMOTE_NODE, remote.amounts.work, now_s, remote.count
    )
    actor.work.expire(now_s)
    actor.view.add_peer_work_time(remote.amounts.work_times)
    actor.view.expire_reports(now_s - LOAD_REPORT_LIFETIME_S)
    loads = {
        record.endpoint.id: remote.amounts.loads.get(
            _shorten(record.endpoint.id), 0
        )
        for record in actor.view
    }
    actor.view.set_peer_loads(REMOTE_NODE, loads, now_s - age_s)
    _apply_speeds(remote.amounts, actor, now_s)


def _apply_speeds(amounts, actor, now_s):
    """Apply the other instances' observations of speed."""
    estimator = actor.router.estimator
    sums = {}
    for record in actor.view:
        name = _shorten(record.endpoint.id)
        weight = amounts.speed_weights.get(name, 0.0)
        if weight > 0.0:
            total = amounts.speed_sums.get(name, weight)
            sums[record.endpoint.id] = weight, total
    estimator.speeds.set_remote(sums)
    estimator.set_shared(
        {
            name: (weight, amounts.time_sums.get(name, 0.0))
            for name, weight in amounts.time_weights.items()
        }
    )
    routing.refresh_speeds(actor.view, estimator, now_s)
