"""Threads that poll the platform and the endpoints periodically."""

import concurrent.futures
import functools
import logging
import random
import threading

import attrs

from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.state import endpoints

__all__ = [
    "EndpointPoller",
    "LoadPoller",
    "Loop",
    "NoticePoller",
    "SharedLoop",
]

LOAD_READS_PER_EVENTS_READ = 3
"""Number of reads of the load reports for one read of cache events."""

_MAX_PARALLEL_READS = 8

NOTICE_RECEIVED = events.declare(
    4001,
    logging.WARNING,
    "a reclaim notice was received: its endpoints get no new requests",
)
READ_RECOVERED = events.declare(
    4006, logging.INFO, "reads of the platform succeed again"
)
READ_FAILED = events.declare(
    4002,
    logging.WARNING,
    "a read of the platform failed; the last result stays in use",
    "check the platform if this repeats",
)


LOOP_FAILED = events.declare(
    4004,
    logging.ERROR,
    "a background thread caught an unexpected exception and continues",
    "report this defect with the log lines around it",
)


class _Worker:
    """Daemon thread that runs `_run` until it is stopped.

    Parameters
    ----------
    name : str
        Name of the thread.
    """

    def __init__(self, name):
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )

    def start(self):
        """Start the thread."""
        self._thread.start()

    def stop(self):
        """Let the thread end after the current call."""
        self._stopped.set()

    def _run(self):
        """Run in the thread until `_stopped` is set."""
        raise NotImplementedError


class Loop(_Worker):
    """Thread that calls a function periodically until it is stopped.

    Parameters
    ----------
    name : str
        Name of the thread.
    clock : Clock
        Source of time, which also waits between the calls.
    interval_s : float
        Time from the end of a call to the next one, in seconds.
    call : callable
        The function, which is called without arguments. It may return
        another time until the next call, in seconds.
    max_interval_s : float or None
        Largest time from the start of a call that fails to the next one, in
        seconds. The time is doubled at each consecutive failure, with a random
        part; None for always the same time, from the end of the call.
    """

    def __init__(self, name, clock, interval_s, call, max_interval_s=None):
        super().__init__(name)
        self._name = name
        self._clock = clock
        self._interval_s = interval_s
        self._call = call
        self._max_interval_s = max_interval_s or interval_s
        self._random = random.Random()
        self._failures = 0
        self._failing_since_s = 0.0

    def _run(self):
        """Call until stopped; a call that raises is retried later."""
        while not self._stopped.is_set():
            self._clock.wait(self._stopped, self.call_once())

    def call_once(self):
        """Call the function; return the time until the next call, in s."""
        begin_s = self._clock.now_s()
        try:
            wait_s = self._call()
            self._record_success()
        except errors.MulberryError as error:
            self._record_failure(error)
            elapsed_s = self._clock.now_s() - begin_s
            return max(self._interval_s, self._find_backoff_s() - elapsed_s)
        except Exception as error:  # noqa: BLE001
            events.log(LOOP_FAILED, loop=self._name, error=repr(error))
            return self._interval_s
        return self._interval_s if wait_s is None else wait_s

    def _find_backoff_s(self):
        """Return the time from a failed call to the next one, in seconds."""
        doubled_s = self._interval_s * 2 ** min(self._failures - 1, 10)
        if doubled_s <= self._interval_s:
            return self._interval_s
        jitter = self._random.uniform(0.75, 1.0)
        return min(doubled_s, self._max_interval_s) * jitter

    def _record_failure(self, error):
        """Log the first of consecutive failures and count all of them."""
        if not self._failures:
            self._failing_since_s = self._clock.now_s()
            events.log(READ_FAILED, loop=self._name, reason=error.message)
        self._failures += 1

    def _record_success(self):
        """Log the recovery after one or more consecutive failures."""
        if self._failures:
            lost_s = self._clock.now_s() - self._failing_since_s
            events.log(
                READ_RECOVERED,
                loop=self._name,
                failures=self._failures,
                lost_s=round(lost_s, 3),
            )
            self._failures = 0


class SharedLoop(_Worker):
    """Thread that runs several loops whose functions never block for long.

    Parameters
    ----------
    name : str
        Name of the thread.
    clock : Clock
        Source of time, which also waits between the calls.
    loops : iterable of Loop
        The loops, which are not started themselves.
    """

    def __init__(self, name, clock, loops):
        super().__init__(name)
        self._clock = clock
        self._due_s = dict.fromkeys(loops, clock.now_s())

    def _run(self):
        """Run the loop that is due next until stopped."""
        while not self._stopped.is_set():
            loop = min(self._due_s, key=self._due_s.get)
            wait_s = self._due_s[loop] - self._clock.now_s()
            if wait_s > 0 and self._clock.wait(self._stopped, wait_s):
                return
            wait_s = loop.call_once()
            self._due_s[loop] = self._clock.now_s() + wait_s


class EndpointPoller:
    """Polls the list of endpoints.

    Parameters
    ----------
    cloud : CloudClient
        Adapter to the cloud API.
    dispatcher : Dispatcher
        Receives the list.
    notices : Notices
        Receives the failure domain of each endpoint.

    Attributes
    ----------
    endpoints : tuple of Endpoint
        The list as last read.
    """

    def __init__(self, cloud, dispatcher, notices):
        self._cloud = cloud
        self._dispatcher = dispatcher
        self._notices = notices
        self.endpoints = ()

    def read(self):
        """Read the list once."""
        listed = tuple(self._cloud.list_endpoints())
        for endpoint in listed:
            self._notices.set_domain(endpoint.id, endpoint.failure_domain)
        self.endpoints = listed
        self._dispatcher.change(functools.partial(_apply_list, listed))


def _apply_list(listed, actor, now_s):
    """Apply the list to the view of the endpoints."""
    actor.view.apply_list(listed, now_s)


@attrs.define
class _ListPosition:
    """Position in a numbered list that its server may begin anew.

    The last known item is requested again. An answer without any item comes
    from a server that has restarted or has dropped what it had, and whose new
    items may never reach the known number.

    Parameters
    ----------
    number : int
        Number of the last known item; 0 before the first.
    """

    number: int = 0

    @property
    def after(self):
        """Number above which items are requested."""
        return max(0, self.number - 1)

    def is_lost(self, found):
        """Return whether the list that held the last item is gone."""
        return self.number > 0 and not found

    def take_new(self, found):
        """Advance to the last item found; return the items that are new."""
        new = [each for each in found if each.number > self.number]
        self.number = max((each.number for each in new), default=self.number)
        return new


class NoticePoller:
    """Polls reclaim notices and marks the endpoints that they concern.

    Parameters
    ----------
    cloud : CloudClient
        Adapter to the cloud API.
    dispatcher : Dispatcher
        Marks endpoints as leaving.
    notices : Notices
        Stores the reclaim times.
    on_notice : callable
        Called with each new Notice of the platform or a peer; must not
        block.
    publish_notice : callable
        Called with each new Notice that the platform reported.
    """

    def __init__(self, cloud, dispatcher, notices, on_notice, publish_notice):
        self._cloud = cloud
        self._dispatcher = dispatcher
        self._notices = notices
        self._on_notice = on_notice
        self._publish_notice = publish_notice
        self._position = _ListPosition()

    def read(self):
        """Read the notices once; read all again if their list is a new one."""
        found = self._cloud.list_notices(self._position.after)
        if self._position.is_lost(found):
            self._position = _ListPosition()
            found = self._cloud.list_notices(self._position.after)
        for notice in self._position.take_new(found):
            if self.apply_notice(notice):
                self._publish_notice(notice)

    def apply_notice(self, notice):
        """Apply one notice; return whether it is new or names an earlier time.

        Notes
        -----
        A peer's notice arrives in the thread that exchanges facts, so
        this method never waits for a peer.
        """
        is_new = self._notices.add(
            notice.instance, notice.failure_domain, notice.reclaim_at_s
        )
        if not is_new:
            return False
        events.log(
            NOTICE_RECEIVED,
            endpoint=notice.instance,
            failure_domain=notice.failure_domain,
            reclaim_at_s=notice.reclaim_at_s,
        )
        self._dispatcher.change(functools.partial(_mark_leaving, notice))
        self._on_notice(notice)
        return True


def _mark_leaving(notice, actor, now_s):
    """Mark the endpoint or failure domain of a notice as leaving."""
    if notice.instance:
        actor.view.mark_leaving(notice.instance)
    else:
        actor.view.mark_domain_leaving(notice.failure_domain)


class LoadPoller:
    """Polls the load reports and cache events of the endpoints.

    Parameters
    ----------
    client : EndpointClient
        Adapter to the endpoints.
    dispatcher : Dispatcher
        Receives the reports and events.
    endpoint_poller : EndpointPoller
        Source of the list of endpoints.
    """

    def __init__(self, client, dispatcher, endpoint_poller):
        self._client = client
        self._dispatcher = dispatcher
        self._endpoint_poller = endpoint_poller
        self._positions = {}
        self._reads = 0
        self._threads = concurrent.futures.ThreadPoolExecutor(
            _MAX_PARALLEL_READS, thread_name_prefix="load"
        )

    def read(self):
        """Read every endpoint once."""
        self._reads += 1
        listed = self._endpoint_poller.endpoints
        for gone in self._positions.keys() - {each.id for each in listed}:
            del self._positions[gone]
        list(self._threads.map(self._read_one, listed))

    def _read_one(self, endpoint):
        """Read one endpoint; its last report stays in use on failure."""
        is_due = self._reads % LOAD_READS_PER_EVENTS_READ == 0
        try:
            self._read_load(endpoint)
            if is_due and endpoint.role == "model":
                self._read_cache_events(endpoint)
        except errors.EndpointError as error:
            if isinstance(error.fault, streams.NotSent):
                apply = functools.partial(_apply_unreachable, endpoint.id)
                self._dispatcher.change(apply)

    def _read_load(self, endpoint):
        """Read one load report."""
        report = self._client.get_load(endpoint.address)
        apply = functools.partial(_apply_load, endpoint.id, report)
        self._dispatcher.change(apply)

    def _read_cache_events(self, endpoint):
        """Read the cache events since the last read.

        An engine that has restarted has an empty cache and a new list.
        """
        position = self._positions.setdefault(endpoint.id, _ListPosition())
        found = self._client.get_cache_events(endpoint.address, position.after)
        if position.is_lost(found):
            self._positions[endpoint.id] = position = _ListPosition()
            apply = functools.partial(_drop_cache, endpoint.id)
            self._dispatcher.change(apply)
            found = self._client.get_cache_events(endpoint.address, 0)
        new = position.take_new(found)
        if new:
            apply = functools.partial(_apply_cache_events, endpoint.id, new)
            self._dispatcher.change(apply)


def _apply_load(endpoint_id, report, actor, now_s):
    """Apply a load report to the view of the endpoints."""
    actor.view.record_success(endpoint_id)
    actor.view.set_versions(endpoint_id, report.versions)
    actor.view.report_load(
        endpoint_id,
        report.running,
        report.queued,
        report.slots,
        report.age_s,
        now_s,
    )


def _apply_unreachable(endpoint_id, actor, now_s):
    """Record a failure to connect to an endpoint."""
    kind = endpoints.FailureKind.CONNECT_FAILED
    actor.view.record_failure(endpoint_id, kind, now_s)


def _drop_cache(endpoint_id, actor, now_s):
    """Forget what an engine has cached."""
    actor.prefixes.drop(endpoint_id)


def _apply_cache_events(endpoint_id, found, actor, now_s):
    """Apply cache events to the prefix index."""
    for event in found:
        actor.prefixes.apply_event(endpoint_id, event)
