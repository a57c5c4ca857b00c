"""Tells collectors what is under way here and takes the sums."""

import concurrent.futures
import functools
import logging
import threading

import xxhash

from mulberryhollow.coordination import sharing
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.protocol import sums

__all__ = ["SumLink"]

TOPIC = "sums.tell"

CALL_TIMEOUT_S = 0.4
"""Longest time of a telling, in seconds; below the time between two."""

WORKERS = 8
"""Tellings under way at once."""

REPORT_LIFETIME_S = 1.0
"""Time after which an endpoint's own report counts no longer, in seconds.

The sums are told twice as often, so they are younger from then on.
"""

WINDOWS_ANSWERED = 5
"""Windows whose counts a holder of the duties is answered.

One that has just taken them may have to report windows that ended while
nobody held them.
"""

OTHERS = "others"
"""Name under which the sum over the others is kept."""

UNREADABLE = events.declare(
    5201,
    logging.WARNING,
    "a telling of a peer cannot be read",
    "look at the version of the peer's program",
)
NOT_TOLD = events.declare(
    5202,
    logging.DEBUG,
    "a collector did not take what was told",
    "look at the instance when it goes on",
)


class SumLink:
    """Shares demand, load and usage with all instances.

    Parameters
    ----------
    peers : Peers
        Calls between instances.
    clock : Clock
        Source of time.
    dispatcher : Dispatcher
        Knows what is under way here and takes the sums.
    usage : UsageBook
        Requests that have begun.
    get_members : callable
        Returns the other live members.
    """

    def __init__(self, peers, clock, dispatcher, usage, get_members):
        self._peers = peers
        self._clock = clock
        self._dispatcher = dispatcher
        self._usage = usage
        self._get_members = get_members
        self._me = peers.me()
        self._table = sharing.SumTable(self._me.instance_id)
        self._lock = threading.Lock()
        self._threads = concurrent.futures.ThreadPoolExecutor(
            WORKERS, thread_name_prefix="sums"
        )
        self.wants_usage = lambda: False

    def connect(self):
        """Answer what others tell."""
        self._peers.handle(TOPIC, self._answer)

    def tick(self):
        """Tell what is under way here and take the sums."""
        own = self._dispatcher.read(_read_own)
        domains = self._list_collectors()
        own_domain = self._me.failure_domain
        is_collector = domains[own_domain][0] == self._me.instance_id
        now_s = self._clock.now_s()
        with self._lock:
            self._table.take_member(self._me.instance_id, own, now_s)
        if is_collector:
            self._tell_domains(domains, now_s)
        else:
            self._tell_collector(domains[own_domain], own)
        with self._lock:
            others = self._table.sum_others(self._clock.now_s())
        self._dispatcher.change(functools.partial(_apply_others, others))

    def _list_collectors(self):
        """Return the ranked collectors of each failure domain."""
        domains = {self._me.failure_domain: [self._me.instance_id]}
        for member in self._get_members():
            names = domains.setdefault(member.failure_domain, [])
            names.append(member.instance_id)
        return {
            domain: sharing.rank_collectors(domain, names)
            for domain, names in domains.items()
        }

    def _tell_domains(self, domains, now_s):
        """Exchange the sums of the domains with the other collectors."""
        with self._lock:
            total = self._table.sum_domain(now_s)
        telling = self._make(total, True, self._usage.encode_all())
        calls = [
            self._threads.submit(self._tell, names[0], telling)
            for domain, names in domains.items()
            if domain != self._me.failure_domain
        ]
        for call in concurrent.futures.as_completed(calls):
            answer = call.result()
            if answer is not None:
                self._take(answer)

    def _tell_collector(self, names, own):
        """Tell the own collector; go on to the next one if it is silent."""
        telling = self._make(
            sharing.Total(own, 1), False, self._usage.encode_own()
        )
        for name in names[:2]:
            if name == self._me.instance_id:
                return
            answer = self._tell(name, telling)
            if answer is not None:
                self._merge_usage(answer)
                with self._lock:
                    self._table.take_answer(
                        answer.total, own, self._clock.now_s()
                    )
                return

    def _make(self, total, is_collector, usage):
        """Return what is told."""
        return sums.Telling(
            self._me.instance_id,
            self._me.failure_domain,
            total,
            is_collector,
            usage,
            self.wants_usage(),
        )

    def _tell(self, name, telling):
        """Return what an instance answers, or None."""
        try:
            answer = self._peers.call(
                name, TOPIC, sums.encode_telling(telling), CALL_TIMEOUT_S
            )
            return sums.decode_telling(answer)
        except (errors.PeerError, ValueError) as error:
            events.log(NOT_TOLD, peer=name, reason=str(error))
            return None

    def _answer(self, payload):
        """Take what another instance tells and answer it."""
        try:
            telling = sums.decode_telling(payload)
        except ValueError as error:
            events.log(UNREADABLE, reason=str(error))
            raise
        self._take(telling)
        now_s = self._clock.now_s()
        if telling.is_collector:
            with self._lock:
                total = self._table.sum_domain(now_s)
            usage = self._usage.encode_all()
        else:
            with self._lock:
                total = self._table.sum_all(now_s)
            usage = []
            if telling.wants_usage:
                usage = self._usage.encode_all(WINDOWS_ANSWERED)
        answer = self._make(total, telling.is_collector, usage)
        return sums.encode_telling(answer)

    def _take(self, telling):
        """Take over what another instance tells."""
        now_s = self._clock.now_s()
        with self._lock:
            if telling.is_collector:
                self._table.take_domain(
                    telling.failure_domain, telling.total, now_s
                )
            else:
                self._table.take_member(
                    telling.sender, telling.total.amounts, now_s
                )
        self._merge_usage(telling)

    def _merge_usage(self, telling):
        """Take over the usage that was told."""
        for counts in telling.usage:
            self._usage.merge(counts)


def _shorten(endpoint_id):
    """Return a short name of an endpoint, for frequent messages."""
    return xxhash.xxh32_hexdigest(endpoint_id.encode())


def _read_own(actor, now_s):
    """Return the Amounts of this instance."""
    loads = actor.view.list_own_loads()
    demand = actor.quotas.list_demand(now_s)
    return sharing.Amounts(
        {name: round(rate) for name, rate in demand.items() if rate >= 1.0},
        {_shorten(name): load for name, load in loads.items()},
        {
            name: round(rate, 4)
            for name, rate in actor.work.list_own(now_s).items()
        },
    )


def _apply_others(others, actor, now_s):
    """Give the sums over the others to quotas and routing."""
    actor.quotas.report_demand(
        OTHERS, others.amounts.demand, now_s, others.count
    )
    actor.work.set_report(OTHERS, others.amounts.work, now_s, others.count)
    actor.work.expire(now_s)
    actor.view.expire_reports(now_s - REPORT_LIFETIME_S)
    for record in list(actor.view):
        endpoint_id = record.endpoint.id
        amount = others.amounts.loads.get(_shorten(endpoint_id), 0)
        actor.view.set_peer_inflight(OTHERS, endpoint_id, amount)
