"""Actor that runs gossip: disseminates facts and tracks members."""

import concurrent.futures
import functools
import logging
import threading

import attrs
import pykka

from mulberryhollow.coordination import intake
from mulberryhollow.coordination import membership
from mulberryhollow.coordination.membership import messages
from mulberryhollow.errors import ExecutionStatus
from mulberryhollow.events import declare as declare_event
from mulberryhollow.events import log as log_event
from mulberryhollow.protocol.peers import EnvelopeError
from mulberryhollow.state import facts
from mulberryhollow.transport import actors
from mulberryhollow.transport import peers
from mulberryhollow.transport import traffic

__all__ = ["Gossip", "GossipSettings", "PROBE_TOPIC", "Peers"]

PROBE_TOPIC = "membership.probe"
"""Topic of the call that asks another member for an indirect probe."""

EXCHANGE_TIMEOUT_S = 1.0
"""Timeout of an exchange, in seconds."""

PROBE_TIMEOUT_S = 1.0
"""Timeout of the exchange with which a helper probes a member, in seconds.

The call that asks the helper to probe has twice this timeout.
"""

TICK_INTERVAL_S = 0.2
"""Interval at which the actor checks whether a round is due, in seconds."""

WORKERS = 8
"""Number of threads that send messages to peers."""

MEMBER_CHANGED = declare_event(
    5000,
    logging.INFO,
    "the status of a member changed",
    "examine the instance when it is dead without a reclaim notice",
)
CALLBACK_FAILED = declare_event(
    5001,
    logging.ERROR,
    "a callback subscribed to a topic raised an exception",
    "report the exception; the fact is kept and disseminated",
)
PEER_FAILED = declare_event(
    5002,
    logging.DEBUG,
    "an exchange with a peer failed",
    "check clocks and peer keys if it persists between two instances",
)
STARTED = declare_event(5003, logging.INFO, "gossip with peers started")
STOPPED = declare_event(5004, logging.INFO, "gossip with peers stopped")

_LOGGER = logging.getLogger("mulberryhollow")


@attrs.frozen
class GossipSettings:
    """Intervals, timeouts and bounds of the gossip actor.

    Parameters
    ----------
    round_s : float
        Interval between gossip rounds, in seconds.
    exchange_timeout_s : float
        Timeout of an exchange, and of the actor's reply to one, in
        seconds.
    tick_s : float
        Interval at which the actor checks whether a round is due, in
        seconds.
    workers : int
        Number of threads that send messages to peers.
    memory_bytes : int
        Memory for the messages that peers are sending, in bytes.
    """

    round_s: float = membership.ROUND_S
    exchange_timeout_s: float = EXCHANGE_TIMEOUT_S
    tick_s: float = TICK_INTERVAL_S
    workers: int = WORKERS
    memory_bytes: int = intake.MemoryShares().compute_peers()


@attrs.frozen
class _Tick:
    """Message to check whether a round is due."""


@attrs.frozen
class _ExchangeReceived:
    """An exchange from a peer that waits for a reply."""

    sender: str
    exchange: membership.Exchange


@attrs.frozen
class _ReplyReceived:
    """The reply of a peer to an exchange of this node."""

    peer: str
    exchange: membership.Exchange


@attrs.frozen
class _ExchangeFailed:
    """A peer did not reply to an exchange."""

    peer: str


@attrs.frozen
class _ProbeFinished:
    """Result of an indirect probe.

    `is_reached` is None when the helper did not reply.
    """

    action: membership.AskProbe
    is_reached: bool | None


class Gossip(actors.ResilientActor):
    """Actor that owns the facts and the member list of one node.

    Parameters
    ----------
    local_member : Member
        The local member. When its peer address has port 0, the bound
        address replaces it, see the proxy's ``local_member()``.
    key : bytes
        The key that all daemons of the environment share, see
        `mulberryhollow.transport.peers.read_key`.
    clock : Clock
        Source of time: monotonic time for the rounds, wall-clock time for
        the dates of envelopes and the expiry of facts.
    seeds : iterable of Member
        Members read from the registration objects of kind ``member``; the
        local member may be among them.
    listen_address : str
        ``HOST:PORT`` that the peer server listens on.
    handlers : dict or None
        Topic to callable that takes and returns bytes. A handler runs in
        the thread of the connection; when it raises an exception, the
        outcome is unknown to the caller.
    settings : GossipSettings or None
        Intervals, timeouts and bounds.

    Notes
    -----
    ``Gossip.start(...)`` starts the actor and listens before it returns;
    use the actor through ``Peers(ref)`` or ``ref.proxy()``. For a planned
    stop call ``Peers.leave()``, which first informs the peers; ``ref.stop()``
    stops the actor without this.

    A callback given to `subscribe` runs in the actor's thread and must not
    block; it should send a message to another actor. It is called once with
    each `Fact`, in the order of merging, also with locally published facts.

    Examples
    --------
    >>> ref = Gossip.start(local_member, key, clock, seeds, "10.0.0.7:7400")
    >>> peers = Peers(ref)
    >>> peers.subscribe(Topic.DOCUMENT, lambda fact: rollout.tell(fact))
    >>> peers.publish(Fact(Topic.DOCUMENT, "production", 7, document))
    >>> peers.call("i-0042", "booking.forward", request, 2.0)
    """

    use_daemon_thread = True

    def __init__(
        self,
        local_member,
        key,
        clock,
        seeds,
        listen_address,
        handlers=None,
        settings=None,
    ):
        super().__init__()
        self._clock = clock
        self._settings = settings or GossipSettings()
        self.traffic = traffic.Traffic()
        self._handlers = dict(handlers or {})
        self._handlers[PROBE_TOPIC] = self._run_probe
        self._server = peers.PeerServer(
            listen_address,
            self._handlers,
            self._answer_exchange,
            self.traffic,
            memory_bytes=self._settings.memory_bytes,
        )
        if local_member.peer_address.endswith(":0"):
            local_member = attrs.evolve(
                local_member, peer_address=self._server.address
            )
        self._signer = peers.Signer(local_member, key, clock)
        self.client = peers.PeerClient(self._signer, self.traffic)
        now_s = clock.now_s()
        self._node = membership.PeerNode(
            local_member, seeds, now_s, clock.wall_s()
        )
        self._round_due_s = now_s
        self._charged_bytes = 0
        self._statuses = {}
        self._stopped = threading.Event()
        self._pool = concurrent.futures.ThreadPoolExecutor(
            self._settings.workers, thread_name_prefix="peer-exchange"
        )

    def on_start(self):
        """Start the peer server and the thread that sends the ticks."""
        self._node.table.subscribe(facts.Topic.MEMBER, self._log_status_change)
        self._server.start(self._signer)
        threading.Thread(
            target=self._run_ticks, name="peer-ticks", daemon=True
        ).start()
        log_event(STARTED, address=self._server.address)

    def on_stop(self):
        """Close every socket and stop the threads."""
        self._stopped.set()
        self._server.stop()
        self._pool.shutdown(wait=False, cancel_futures=True)
        self.client.close()
        log_event(STOPPED)

    def on_receive(self, message):
        """Handle a message from one of the actor's threads."""
        now_s = self._clock.now_s()
        wall_s = self._clock.wall_s()
        reply = None
        match message:
            case _Tick():
                self._run_round(now_s, wall_s)
            case _ExchangeReceived(sender, exchange):
                reply = self._node.answer(sender, exchange, now_s, wall_s)
            case _ReplyReceived(peer, exchange):
                self._submit_all(
                    self._node.handle_reply(peer, exchange, now_s, wall_s)
                )
            case _ExchangeFailed(peer):
                self._submit_all(self._node.handle_failure(peer))
            case _ProbeFinished(action, is_reached):
                self._node.handle_probe_result(
                    action, is_reached, now_s, wall_s
                )
        self._submit_all(self._node.flush(now_s))
        return reply

    def local_member(self):
        """Return the local `Member`, with the bound address."""
        return self._node.membership.local_member

    def publish(self, fact):
        """Merge a fact and disseminate it; return whether it was new."""
        is_new = self._node.publish(fact, self._clock.wall_s())
        self._submit_all(self._node.flush(self._clock.now_s()))
        return is_new

    def subscribe(self, topic, callback):
        """Call a function with each present and future fact of a topic.

        Parameters
        ----------
        topic : str or Topic
            The topic.
        callback : callable
            Called with the `Fact` in the actor's thread.
        """
        guarded = functools.partial(_call_guarded, callback)
        for fact in self._node.table.list_facts(topic):
            guarded(fact)
        self._node.table.subscribe(topic, guarded)

    def get_fact(self, topic, key):
        """Return the fact stored for a topic and key, or None."""
        return self._node.table.get(topic, key)

    def list_facts(self, topic):
        """Return the stored facts of a topic."""
        return self._node.table.list_facts(topic)

    def members(self):
        """Return a `MemberView` of every known member."""
        return self._node.membership.list_members()

    def add_members(self, listed):
        """Add members read from the registration objects."""
        now_s = self._clock.now_s()
        self._node.add_members(listed, now_s, self._clock.wall_s())

    def handle(self, topic, handler):
        """Set the handler for calls of a topic: takes and returns bytes."""
        self._handlers[topic] = handler

    def leave(self):
        """Send peers the fact that this node leaves, ahead of the next round.

        Returns
        -------
        tuple of concurrent.futures.Future
            One future for each message being sent.
        """
        self._node.leave(self._clock.wall_s())
        return self._submit_all(self._node.send_urgent(self._clock.now_s()))

    def find_address(self, instance_id):
        """Return the peer address of a member; empty when unknown."""
        view = self._node.membership.find_member(instance_id)
        return view.member.peer_address if view else ""

    def _run_ticks(self):
        """Send the actor a tick at each interval until it stops."""
        while not self._clock.wait(self._stopped, self._settings.tick_s):
            if not self.actor_ref.is_alive():
                return
            is_due = self._clock.now_s() >= self._round_due_s
            if is_due or self._node.has_urgent:
                self._notify_actor(_Tick())

    def _run_round(self, now_s, wall_s):
        """Charge the control traffic to the budget; begin a round if due."""
        used_bytes = self.traffic.control_bytes
        self._node.budget.charge(used_bytes - self._charged_bytes, now_s)
        self._charged_bytes = used_bytes
        if now_s < self._round_due_s:
            return
        self._round_due_s = now_s + self._settings.round_s
        self._submit_all(self._node.begin_round(now_s, wall_s))

    def _submit_all(self, actions):
        """Submit actions to the thread pool; return their futures."""
        if self._stopped.is_set():
            return ()
        return tuple(self._submit(action) for action in actions)

    def _submit(self, action):
        """Submit one action to the thread pool; return its future."""
        match action:
            case messages.SendExchange(target, exchange):
                address = self.find_address(target)
                return self._pool.submit(
                    self._exchange, target, address, exchange
                )
            case messages.AskProbe(helper, target):
                addresses = map(self.find_address, (helper, target))
                return self._pool.submit(self._ask_probe, action, *addresses)

    def _exchange(self, target, address, exchange):
        """Exchange with a peer; send the actor the reply or the failure."""
        timeout_s = self._settings.exchange_timeout_s
        try:
            reply = self.client.exchange(address, exchange, timeout_s)
        except peers.PeerCallError as error:
            log_event(PEER_FAILED, peer=target, error=str(error))
            self._notify_actor(_ExchangeFailed(target))
        else:
            self._notify_actor(_ReplyReceived(target, reply))

    def _ask_probe(self, action, helper_address, target_address):
        """Ask a helper to probe a member; send the actor the result."""
        try:
            result = self.client.call(
                helper_address,
                PROBE_TOPIC,
                target_address.encode(),
                2 * PROBE_TIMEOUT_S,
            )
        except peers.PeerCallError:
            self._notify_actor(_ProbeFinished(action, None))
        else:
            self._notify_actor(_ProbeFinished(action, result == b"1"))

    def _run_probe(self, payload):
        """Probe a member for a peer: try an empty exchange with the member."""
        empty = membership.Exchange(0)
        try:
            self.client.exchange(payload.decode(), empty, PROBE_TIMEOUT_S)
        except peers.PeerCallError:
            return b"0"
        return b"1"

    def _answer_exchange(self, sender, exchange):
        """Ask the actor for the reply to a peer's exchange."""
        request = _ExchangeReceived(sender, exchange)
        timeout_s = self._settings.exchange_timeout_s
        try:
            return self.actor_ref.ask(request, timeout=timeout_s)
        except (pykka.ActorDeadError, pykka.Timeout) as error:
            raise EnvelopeError("busy", "stopping or overloaded") from error

    def _notify_actor(self, message):
        """Send the actor a message; stop the ticks when the actor is dead."""
        try:
            self.actor_ref.tell(message)
        except pykka.ActorDeadError:
            self._stopped.set()

    def _log_status_change(self, fact):
        """Log a member fact that changes the status of a member."""
        try:
            state = membership.decode_fact(fact)
        except ValueError:
            return
        if self._statuses.get(fact.key) is state.status:
            return
        self._statuses[fact.key] = state.status
        log_event(
            MEMBER_CHANGED,
            member=fact.key,
            standing=state.status.name.lower(),
        )


class Peers:
    """Thread-safe interface to a `Gossip` actor.

    Parameters
    ----------
    ref : pykka.ActorRef
        Reference returned by ``Gossip.start``.

    Notes
    -----
    Every method waits for the actor. `call` does so only to find the
    address of the member: the call itself runs in the calling thread and
    doesn't block the actor.
    """

    def __init__(self, ref):
        self._ref = ref
        self._proxy = ref.proxy()
        self._client = self._proxy.client.get()
        self.traffic = self._proxy.traffic.get()

    def local_member(self):
        """Return the local `Member`, with the bound address."""
        return self._proxy.local_member().get()

    def publish(self, fact):
        """Merge a fact and disseminate it; return whether it was new."""
        return self._proxy.publish(fact).get()

    def subscribe(self, topic, callback):
        """Call a function with each present and future fact of a topic."""
        self._proxy.subscribe(topic, callback).get()

    def get_fact(self, topic, key):
        """Return the fact stored for a topic and key, or None."""
        return self._proxy.get_fact(topic, key).get()

    def list_facts(self, topic):
        """Return the stored facts of a topic."""
        return self._proxy.list_facts(topic).get()

    def members(self):
        """Return a `MemberView` of every known member."""
        return self._proxy.members().get()

    def add_members(self, listed):
        """Add members read from the registration objects."""
        self._proxy.add_members(listed).get()

    def handle(self, topic, handler):
        """Set the handler for calls of a topic: takes and returns bytes."""
        self._proxy.handle(topic, handler).get()

    def call(self, instance_id, topic, payload, timeout_s):
        """Run a handler at a member and return its result.

        Parameters
        ----------
        instance_id : str
            Id of the member.
        topic : str
            Topic that the handler is registered for.
        payload : bytes
            Argument of the handler.
        timeout_s : float
            Timeout for connecting, and again for request and reply, in
            seconds.

        Returns
        -------
        bytes
            Result of the handler.

        Raises
        ------
        PeerCallError
            The attribute ``ran`` says whether the handler may have run.
        """
        address = self._proxy.find_address(instance_id).get()
        if not address:
            raise peers.PeerCallError(
                f"{instance_id} is not a known member",
                "choose a member from the member list",
                ExecutionStatus.NOT_RUN,
            )
        return self._client.call(address, topic, payload, timeout_s)

    def leave(self):
        """Inform the peers that this node leaves, then stop the actor."""
        pending = self._proxy.leave().get()
        concurrent.futures.wait(pending, timeout=EXCHANGE_TIMEOUT_S)
        self._ref.stop()


def _call_guarded(callback, fact):
    """Run a subscribed callback; log any exception it raises."""
    try:
        callback(fact)
    except Exception:
        _LOGGER.exception(
            CALLBACK_FAILED.text,
            extra={
                "event": CALLBACK_FAILED.number,
                "fields": {"topic": fact.topic},
            },
        )
