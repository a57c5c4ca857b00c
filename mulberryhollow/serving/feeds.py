"""Threads that keep an instance's view of the endpoints up to date."""

import concurrent.futures
import functools
import logging
import threading

from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.state import endpoints

__all__ = ["EndpointFeed", "LoadFeed", "Loop", "NoticeFeed"]

CACHE_EVENTS_EVERY = 3
"""Load reports that are read between two reads of cache events."""

_PARALLEL_READS = 8

NOTICE_TAKEN = events.declare(
    4001,
    logging.WARNING,
    "a reclaim notice was taken: its endpoints get no new work",
)
FEED_REGAINED = events.declare(
    4006, logging.INFO, "a read of the platform succeeds again"
)
FEED_FAILED = events.declare(
    4002,
    logging.WARNING,
    "a read of the platform failed; the last view stays in use",
    "look at the platform when it repeats",
)


LOOP_FAILED = events.declare(
    4004,
    logging.ERROR,
    "a background thread met an error in this program and goes on",
    "report it with the log lines around it",
)


class Loop:
    """Calls a function again and again until it is stopped.

    Parameters
    ----------
    name : str
        Name of the thread.
    clock : Clock
        Source of waiting.
    interval_s : float
        Time between two calls, in seconds.
    call : callable
        What to call.
    """

    def __init__(self, name, clock, interval_s, call):
        self._name = name
        self._clock = clock
        self._interval_s = interval_s
        self._call = call
        self._failures = 0
        self._failed_s = 0.0
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )

    def start(self):
        """Start the thread."""
        self._thread.start()

    def stop(self):
        """Let the thread end after the call under way."""
        self._stopped.set()

    def _run(self):
        """Call until stopped; a platform that fails is tried again."""
        while not self._stopped.is_set():
            try:
                self._call()
                self._note_success()
            except errors.MulberryError as error:
                self._note_failure(error)
            except Exception as error:  # noqa: BLE001
                events.log(LOOP_FAILED, loop=self._name, error=repr(error))
            self._clock.wait(self._stopped, self._interval_s)

    def _note_failure(self, error):
        """Say that a dependency is lost, once for each loss."""
        if not self._failures:
            self._failed_s = self._clock.now_s()
            events.log(FEED_FAILED, loop=self._name, reason=error.message)
        self._failures += 1

    def _note_success(self):
        """Say that a lost dependency is back."""
        if self._failures:
            lost_s = self._clock.now_s() - self._failed_s
            events.log(
                FEED_REGAINED,
                loop=self._name,
                failures=self._failures,
                lost_s=round(lost_s, 3),
            )
            self._failures = 0


class EndpointFeed:
    """Reads the list of instances.

    Parameters
    ----------
    cloud : CloudClient
        Adapter to the cloud API.
    dispatcher : Dispatcher
        Takes the list.
    notices : Notices
        Remembers failure domains.
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
    """Give the list to the view."""
    actor.view.apply_list(listed, now_s)


class NoticeFeed:
    """Reads reclaim notices and marks what they concern.

    Parameters
    ----------
    cloud : CloudClient
        Adapter to the cloud API.
    dispatcher : Dispatcher
        Marks endpoints as leaving.
    notices : Notices
        Keeps the times.
    on_notice : callable
        Called with each new Notice, from whomever; it must not wait.
    tell_peers : callable
        Called with each new Notice that the platform gave.
    """

    def __init__(self, cloud, dispatcher, notices, on_notice, tell_peers):
        self._cloud = cloud
        self._dispatcher = dispatcher
        self._notices = notices
        self._on_notice = on_notice
        self._tell_peers = tell_peers
        self._last = 0

    def read(self):
        """Read the notices once."""
        for notice in self._cloud.list_notices(self._last):
            self._last = max(self._last, notice.number)
            if self.take(notice):
                self._tell_peers(notice)

    def take(self, notice):
        """Take one notice; return whether it says something new.

        Notes
        -----
        A notice of a peer comes in the thread that exchanges facts, so
        nothing here waits for a peer.
        """
        is_new = self._notices.add(
            notice.instance, notice.failure_domain, notice.reclaim_at_s
        )
        if not is_new:
            return False
        events.log(
            NOTICE_TAKEN,
            endpoint=notice.instance,
            failure_domain=notice.failure_domain,
            reclaim_at_s=notice.reclaim_at_s,
        )
        self._dispatcher.change(functools.partial(_mark_leaving, notice))
        self._on_notice(notice)
        return True


def _mark_leaving(notice, actor, now_s):
    """Mark what a notice concerns as leaving."""
    if notice.instance:
        actor.view.mark_leaving(notice.instance)
    else:
        actor.view.mark_domain_leaving(notice.failure_domain)


class LoadFeed:
    """Reads load reports and cache events from the endpoints.

    Parameters
    ----------
    client : EndpointClient
        Adapter to the endpoints.
    dispatcher : Dispatcher
        Takes what is read.
    feed : EndpointFeed
        Knows the endpoints.
    """

    def __init__(self, client, dispatcher, feed):
        self._client = client
        self._dispatcher = dispatcher
        self._feed = feed
        self._last_events = {}
        self._reads = 0
        self._threads = concurrent.futures.ThreadPoolExecutor(
            _PARALLEL_READS, thread_name_prefix="load"
        )

    def read(self):
        """Read every endpoint once."""
        self._reads += 1
        list(self._threads.map(self._read_one, self._feed.endpoints))

    def _read_one(self, endpoint):
        """Read one endpoint; one that fails keeps its last report."""
        is_due = self._reads % CACHE_EVENTS_EVERY == 0
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
        """Read the cache events since the last read."""
        after = self._last_events.get(endpoint.id, 0)
        found = self._client.get_cache_events(endpoint.address, after)
        if not found:
            return
        self._last_events[endpoint.id] = found[-1].number
        apply = functools.partial(_apply_cache_events, endpoint.id, found)
        self._dispatcher.change(apply)


def _apply_load(endpoint_id, report, actor, now_s):
    """Give a load report to the view."""
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
    """Count a connection that an endpoint did not accept."""
    kind = endpoints.FailureKind.CONNECT_FAILED
    actor.view.record_failure(endpoint_id, kind, now_s)


def _apply_cache_events(endpoint_id, found, actor, now_s):
    """Give cache events to the prefix index."""
    for event in found:
        actor.prefixes.apply_event(endpoint_id, event)
