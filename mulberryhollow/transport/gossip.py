"""Actor that spreads facts and keeps the list of members."""

import concurrent.futures
import functools
import logging
import threading

import attrs
import pykka

from mulberryhollow.coordination import membership
from mulberryhollow.coordination.membership import messages
from mulberryhollow.errors import Ran
from mulberryhollow.events import declare as declare_event
from mulberryhollow.events import log as log_event
from mulberryhollow.protocol.peers import EnvelopeError
from mulberryhollow.state import facts
from mulberryhollow.transport import peers
from mulberryhollow.transport import traffic

__all__ = ["Gossip", "GossipSettings", "PROBE_TOPIC", "Peers"]

PROBE_TOPIC = "membership.probe"
"""Topic of the call that asks a helper to probe a member."""

EXCHANGE_TIMEOUT_S = 1.0
"""Longest time for an exchange, in seconds."""

PROBE_TIMEOUT_S = 1.0
"""Longest time for a helper's probe, in seconds."""

TICK_S = 0.2
"""Time between two looks at the clock, in seconds."""

WORKERS = 8
"""Threads that wait for peers."""

MEMBER_CHANGED = declare_event(
    5000,
    logging.INFO,
    "a member's standing changed",
    "look at the instance when it is dead without a reclaim notice",
)
CALLBACK_FAILED = declare_event(
    5001,
    logging.ERROR,
    "a subscriber of a topic failed",
    "report the exception; the fact is kept and spread",
)
PEER_FAILED = declare_event(
    5002,
    logging.DEBUG,
    "an exchange with a peer failed",
    "check the clocks and peer keys when it goes on for one pair",
)
STARTED = declare_event(5003, logging.INFO, "peer messages started")
STOPPED = declare_event(5004, logging.INFO, "peer messages stopped")

_LOGGER = logging.getLogger("mulberryhollow")


@attrs.frozen
class GossipSettings:
    """Times and bounds of the actor.

    Parameters
    ----------
    round_s : float
        Time between two rounds, in seconds.
    exchange_timeout_s : float
        Longest time for an exchange, and for the actor to answer one, in
        seconds.
    tick_s : float
        Time between two looks at the clock, in seconds.
    workers : int
        Threads that wait for peers.
    """

    round_s: float = membership.ROUND_S
    exchange_timeout_s: float = EXCHANGE_TIMEOUT_S
    tick_s: float = TICK_S
    workers: int = WORKERS


@attrs.frozen
class _Tick:
    """Look at the clock."""


@attrs.frozen
class _Incoming:
    """A peer's exchange, to be answered."""

    sender: str
    exchange: membership.Exchange


@attrs.frozen
class _Reply:
    """A peer's answer."""

    peer: str
    exchange: membership.Exchange


@attrs.frozen
class _Failure:
    """A peer did not answer."""

    peer: str


@attrs.frozen
class _Probed:
    """What a helper said; None when it did not answer."""

    action: membership.AskProbe
    is_reached: bool | None


class Gossip(pykka.ThreadingActor):
    """Owner of the facts and the members of one node.

    Parameters
    ----------
    local_member : Member
        The node. When the listen address has port 0, the peer address is
        replaced by the one that was bound, see the proxy's ``local_member()``.
    key : bytes
        The key that all daemons of the environment share, see
        `mulberryhollow.transport.peers.read_key`.
    clock : Clock
        Its monotonic time drives the rounds, its wall-clock time dates
        envelopes and expiry.
    seeds : iterable of Member
        Read from the registration objects of kind ``member``; this node
        itself may be among them.
    listen_address : str
        ``HOST:PORT`` that the peer server listens at.
    handlers : dict or None
        Topic to callable that takes and returns bytes. A handler runs in
        the thread of the connection; its exception reaches the caller as an
        unknown outcome.
    settings : GossipSettings or None
        Times and bounds.

    Notes
    -----
    Start it with ``Gossip.start(...)``, which listens before it returns, and
    use it through ``Peers(ref)`` or ``ref.proxy()``. Stop it with
    ``Peers.leave()`` for a planned stop, which tells the peers first, or with
    ``ref.stop()``.

    A callback given to `subscribe` runs in the actor's thread and must not
    wait: let it tell another actor. It gets each `Fact` once, in the order
    of merging, own ones included.

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
            listen_address, self._handlers, self._ask_self, self.traffic
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
        self._standings = {}
        self._stopped = threading.Event()
        self._pool = concurrent.futures.ThreadPoolExecutor(
            self._settings.workers, thread_name_prefix="peer-exchange"
        )

    def on_start(self):
        """Begin to answer peers and to look at the clock."""
        self._node.table.subscribe(facts.Topic.MEMBER, self._log_standing)
        self._server.start(self._signer)
        threading.Thread(
            target=self._run_ticks, name="peer-ticks", daemon=True
        ).start()
        log_event(STARTED, address=self._server.address)

    def on_stop(self):
        """Close every socket and end every thread."""
        self._stopped.set()
        self._server.stop()
        self._pool.shutdown(wait=False, cancel_futures=True)
        self.client.close()
        log_event(STOPPED)

    def on_receive(self, message):
        """Handle the messages of the own threads."""
        now_s = self._clock.now_s()
        wall_s = self._clock.wall_s()
        answer = None
        match message:
            case _Tick():
                self._run_round(now_s, wall_s)
            case _Incoming(sender, exchange):
                answer = self._node.answer(sender, exchange, now_s, wall_s)
            case _Reply(peer, exchange):
                self._carry_out(
                    self._node.handle_reply(peer, exchange, now_s, wall_s)
                )
            case _Failure(peer):
                self._carry_out(self._node.handle_failure(peer))
            case _Probed(action, is_reached):
                self._node.handle_probe_result(
                    action, is_reached, now_s, wall_s
                )
        self._carry_out(self._node.flush(now_s))
        return answer

    def local_member(self):
        """Return the node's own `Member`, with the bound address."""
        return self._node.membership.local_member

    def publish(self, fact):
        """Take in a fact and spread it; return whether it was new."""
        is_new = self._node.publish(fact, self._clock.wall_s())
        self._carry_out(self._node.flush(self._clock.now_s()))
        return is_new

    def subscribe(self, topic, callback):
        """Call a function with the facts held and each new one of a topic.

        Parameters
        ----------
        topic : str or Topic
            The topic.
        callback : callable
            Takes the `Fact`; runs in the actor's thread.
        """
        guarded = functools.partial(_call_guarded, callback)
        for fact in self._node.table.list_facts(topic):
            guarded(fact)
        self._node.table.subscribe(topic, guarded)

    def get_fact(self, topic, key):
        """Return the fact held for a topic and key, or None."""
        return self._node.table.get(topic, key)

    def list_facts(self, topic):
        """Return the facts held of a topic."""
        return self._node.table.list_facts(topic)

    def members(self):
        """Return a `MemberView` of every known member."""
        return self._node.membership.list_members()

    def add_members(self, listed):
        """Take in members read from the registration objects."""
        now_s = self._clock.now_s()
        self._node.add_members(listed, now_s, self._clock.wall_s())

    def handle(self, topic, handler):
        """Answer calls of a topic with a function of bytes to bytes."""
        self._handlers[topic] = handler

    def leave(self):
        """Tell the peers at once that this node stops.

        Returns
        -------
        tuple of concurrent.futures.Future
            The messages on their way.
        """
        self._node.leave(self._clock.wall_s())
        return self._carry_out(self._node.send_urgent(self._clock.now_s()))

    def find_address(self, instance_id):
        """Return the peer address of a member; empty when not known."""
        view = self._node.membership.find_member(instance_id)
        return view.member.peer_address if view else ""

    def _run_ticks(self):
        """Tell the actor to look at the clock until it stops."""
        while not self._clock.wait(self._stopped, self._settings.tick_s):
            if not self.actor_ref.is_alive():
                return
            self._tell_self(_Tick())

    def _run_round(self, now_s, wall_s):
        """Charge what was sent and begin a round when one is due."""
        used_bytes = self.traffic.control_bytes
        self._node.budget.charge(used_bytes - self._charged_bytes, now_s)
        self._charged_bytes = used_bytes
        if now_s < self._round_due_s:
            return
        self._round_due_s = now_s + self._settings.round_s
        self._carry_out(self._node.begin_round(now_s, wall_s))

    def _carry_out(self, actions):
        """Hand actions to the threads that wait for peers."""
        if self._stopped.is_set():
            return ()
        return tuple(self._submit(action) for action in actions)

    def _submit(self, action):
        """Let a waiting thread carry out an action."""
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
        """Exchange with a peer and tell the actor how it ended."""
        timeout_s = self._settings.exchange_timeout_s
        try:
            reply = self.client.exchange(address, exchange, timeout_s)
        except peers.PeerCallError as error:
            log_event(PEER_FAILED, peer=target, error=str(error))
            self._tell_self(_Failure(target))
        else:
            self._tell_self(_Reply(target, reply))

    def _ask_probe(self, action, helper_address, target_address):
        """Ask a helper to probe a member and tell the actor the answer."""
        try:
            answer = self.client.call(
                helper_address,
                PROBE_TOPIC,
                target_address.encode(),
                2 * PROBE_TIMEOUT_S,
            )
        except peers.PeerCallError:
            self._tell_self(_Probed(action, None))
        else:
            self._tell_self(_Probed(action, answer == b"1"))

    def _run_probe(self, payload):
        """Answer whether a member answers an empty exchange."""
        empty = membership.Exchange(0)
        try:
            self.client.exchange(payload.decode(), empty, PROBE_TIMEOUT_S)
        except peers.PeerCallError:
            return b"0"
        return b"1"

    def _ask_self(self, sender, exchange):
        """Let the actor answer a peer's exchange."""
        question = _Incoming(sender, exchange)
        timeout_s = self._settings.exchange_timeout_s
        try:
            return self.actor_ref.ask(question, timeout=timeout_s)
        except (pykka.ActorDeadError, pykka.Timeout) as error:
            raise EnvelopeError("busy", "stopping or overloaded") from error

    def _tell_self(self, message):
        """Tell the actor something unless it has stopped."""
        try:
            self.actor_ref.tell(message)
        except pykka.ActorDeadError:
            self._stopped.set()

    def _log_standing(self, fact):
        """Log a member fact that changes the status of a member."""
        try:
            state = membership.decode_fact(fact)
        except ValueError:
            return
        if self._standings.get(fact.key) is state.status:
            return
        self._standings[fact.key] = state.status
        log_event(
            MEMBER_CHANGED,
            member=fact.key,
            standing=state.status.name.lower(),
        )


class Peers:
    """Thread-safe face of a `Gossip` actor.

    Parameters
    ----------
    ref : pykka.ActorRef
        What ``Gossip.start`` returned.

    Notes
    -----
    Every method waits for the actor but `call`, which runs in the caller's
    thread and leaves the actor free.
    """

    def __init__(self, ref):
        self._ref = ref
        self._proxy = ref.proxy()
        self._client = self._proxy.client.get()
        self.traffic = self._proxy.traffic.get()

    def local_member(self):
        """Return the node's own `Member`, with the bound address."""
        return self._proxy.local_member().get()

    def publish(self, fact):
        """Take in a fact and spread it; return whether it was new."""
        return self._proxy.publish(fact).get()

    def subscribe(self, topic, callback):
        """Call a function with the facts held and each new one of a topic."""
        self._proxy.subscribe(topic, callback).get()

    def get_fact(self, topic, key):
        """Return the fact held for a topic and key, or None."""
        return self._proxy.get_fact(topic, key).get()

    def list_facts(self, topic):
        """Return the facts held of a topic."""
        return self._proxy.list_facts(topic).get()

    def members(self):
        """Return a `MemberView` of every known member."""
        return self._proxy.members().get()

    def add_members(self, listed):
        """Take in members read from the registration objects."""
        self._proxy.add_members(listed).get()

    def handle(self, topic, handler):
        """Answer calls of a topic with a function of bytes to bytes."""
        self._proxy.handle(topic, handler).get()

    def call(self, instance_id, topic, payload, timeout_s):
        """Run a handler at a member and return what it returned.

        Parameters
        ----------
        instance_id : str
            The member.
        topic : str
            Names the handler.
        payload : bytes
            What the handler is given.
        timeout_s : float
            Longest time, in seconds.

        Returns
        -------
        bytes
            What the handler returned.

        Raises
        ------
        PeerCallError
            Its ``ran`` says whether the handler may have run.
        """
        address = self._proxy.find_address(instance_id).get()
        if not address:
            raise peers.PeerCallError(
                f"{instance_id} is not a known member",
                "choose one of the members listed",
                Ran.NOT_RUN,
            )
        return self._client.call(address, topic, payload, timeout_s)

    def leave(self):
        """Tell the peers that this node stops, then stop the actor."""
        on_their_way = self._proxy.leave().get()
        concurrent.futures.wait(on_their_way, timeout=EXCHANGE_TIMEOUT_S)
        self._ref.stop()


def _call_guarded(callback, fact):
    """Run a subscriber, logging its exception."""
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
