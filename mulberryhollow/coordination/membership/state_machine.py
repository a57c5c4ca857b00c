"""Membership state machine: heartbeats, suspicions and refutations."""

import itertools

import attrs

from mulberryhollow.coordination.membership import member as members
from mulberryhollow.coordination.membership import messages
from mulberryhollow.coordination.membership import topology

__all__ = ["Membership"]

ROUND_S = 1.0
"""Interval between two rounds of heartbeats, in seconds."""

MISSES_BEFORE_PROBE = 2
"""Consecutive missed heartbeats before helpers probe the member."""

HELPER_COUNT = 3
"""Number of members (helpers) asked to probe a member that does not answer."""

SUSPICION_S = 4.0
"""Time a suspect has to refute before it counts as dead, in seconds."""

PAUSE_THRESHOLD_S = 3.0
"""Gap between rounds above which a node assumes that it was paused, in
seconds."""

REFRESH_INTERVAL_S = 3_600.0
"""Interval at which a member republishes its own fact, in seconds."""

DEAD_RETRY_ROUNDS = 10
"""Rounds between two attempts to reach a member that counts as dead."""

MIN_UNREACHABLE_MEMBERS = 3
"""Number of silent members from which another failure domain counts as
unreachable; all its members if there are fewer."""

_SUSPECT_OR_DEAD = (members.MemberStatus.SUSPECT, members.MemberStatus.DEAD)


@attrs.define
class _Suspicion:
    """Missed heartbeats of a member and the probe results of its helpers."""

    missed_heartbeats: int = 0
    helpers: tuple = ()
    answers: dict = attrs.field(factory=dict)


class Membership:
    """One node's view of all members, and its choice of gossip targets.

    Parameters
    ----------
    local_member : Member
        The local member.
    now_s : float
        Monotonic time at the start of the node, in seconds.

    Notes
    -----
    The status of a member is a hint for routing and relaying. It proves no
    ownership: only conditional updates of the platform's store do that.

    A member is suspected only by members of its own failure domain, because
    during a network partition between two failure domains every member of
    the other one seems dead. A node that gets an answer from none of its
    helpers suspects nobody either.

    Every change of status is a `Fact` of topic ``member`` whose version
    orders incarnation, renewals and status. Late messages of an earlier
    process therefore lose, and a member that was wrongly suspected refutes
    this with one more renewal.
    """

    def __init__(self, local_member, now_s):
        self._local_state = members.MemberState(local_member)
        self._states = {local_member.instance_id: self._local_state}
        self._by_address = {
            local_member.peer_address: local_member.instance_id
        }
        self._suspected_s = {}
        self._suspicions = {}
        self._unreachable_ids = {}
        self._round = 0
        self._last_round_s = now_s
        self._refreshed_s = now_s
        self._topology = None

    @property
    def local_member(self):
        """The local `Member`."""
        return self._local_state.member

    @property
    def round_number(self):
        """Number of rounds begun so far."""
        return self._round

    def list_members(self):
        """Return a `MemberView` of each known member, by instance id."""
        return tuple(
            self._view(state) for _, state in sorted(self._states.items())
        )

    def find_member(self, instance_id):
        """Return the `MemberView` of a member, or None."""
        state = self._states.get(instance_id)
        return self._view(state) if state else None

    def join(self, wall_s):
        """Return the fact that announces this node."""
        return members.encode_fact(self._local_state, wall_s)

    def leave(self, wall_s):
        """Return the fact that announces that this node leaves for good."""
        return self._set_status(
            self._local_state, members.MemberStatus.LEFT, wall_s
        )

    def begin_round(self, now_s, wall_s):
        """Begin the next round.

        Parameters
        ----------
        now_s : float
            Monotonic time, in seconds.
        wall_s : float
            Wall-clock time, in seconds since the Unix epoch.

        Returns
        -------
        tuple of Fact
            Renewals of the local member, and the suspects declared dead
            because their time to refute is over.
        """
        was_paused = now_s - self._last_round_s > PAUSE_THRESHOLD_S
        self._last_round_s = now_s
        self._round += 1
        if was_paused:
            self._clear_suspicions(now_s)
        due = was_paused or now_s - self._refreshed_s > REFRESH_INTERVAL_S
        renewals = [self._renew(now_s, wall_s)] if due else []
        dead = [
            self._set_status(
                self._states[name], members.MemberStatus.DEAD, wall_s
            )
            for name in self._list_overdue(now_s)
        ]
        return tuple(renewals + dead)

    def choose_targets(self, now_s):
        """Return the instance ids to exchange with in this round.

        Parameters
        ----------
        now_s : float
            Monotonic time, in seconds.

        Returns
        -------
        tuple of str
            At most six, independent of the number of members.
        """
        layout = self._get_topology()
        targets = layout.list_round_targets(self._round)
        retry_candidates = sorted(
            name
            for name, suspicion in self._suspicions.items()
            if 0 < suspicion.missed_heartbeats < MISSES_BEFORE_PROBE
            or self._is_suspect(name)
        )
        turn = self._round % max(1, len(retry_candidates))
        retried = retry_candidates[turn : turn + 1]
        dead = (
            self._list_dead() if self._round % DEAD_RETRY_ROUNDS == 0 else []
        )
        turn = self._round // DEAD_RETRY_ROUNDS % max(1, len(dead))
        chosen = dict.fromkeys([*targets, *retried, *dead[turn : turn + 1]])
        chosen.pop(self.local_member.instance_id, None)
        return tuple(chosen)

    def choose_urgent_targets(self, is_origin):
        """Return the instance ids that an urgent fact is sent to at once.

        Parameters
        ----------
        is_origin : bool
            Whether the fact was published by this node.
        """
        layout = self._get_topology()
        return layout.list_urgent_targets(self._round, is_origin)

    def apply_fact(self, fact, now_s, wall_s):
        """Merge a member fact.

        Parameters
        ----------
        fact : Fact
            Fact of topic ``member``.
        now_s : float
            Monotonic time, in seconds.
        wall_s : float
            Wall-clock time, in seconds since the Unix epoch.

        Returns
        -------
        tuple of Fact
            The refutation, when the fact suspects the local member.
        """
        state = members.decode_fact(fact)
        name = state.member.instance_id
        if name == self.local_member.instance_id:
            return self._refute(state, now_s, wall_s)
        self._merge(state, now_s)
        return ()

    def apply_list(self, listed, now_s):
        """Merge members read from registration objects or a list.

        Parameters
        ----------
        listed : iterable of Member
            Members as listed. The list may lag: a member known in a later
            state stays unchanged, and a member that is not listed is kept.
        now_s : float
            Monotonic time, in seconds.

        Returns
        -------
        tuple of Member
            The listed members that were unknown before.
        """
        unknown = tuple(
            member
            for member in listed
            if member.instance_id not in self._states
        )
        for member in listed:
            if member.instance_id != self.local_member.instance_id:
                self._merge(members.MemberState(member), now_s)
        return unknown

    def forget(self, instance_id):
        """Remove a member whose fact has expired."""
        if instance_id == self.local_member.instance_id:
            return
        self._states.pop(instance_id, None)
        self._suspected_s.pop(instance_id, None)
        self._suspicions.pop(instance_id, None)
        self._topology = None

    def record_contact(self, instance_id):
        """Record that a member answered or sent a message."""
        self._suspicions.pop(instance_id, None)
        state = self._states.get(instance_id)
        if state:
            self._unreachable_ids.pop(state.member.failure_domain, None)

    def record_missed_heartbeat(self, instance_id):
        """Record that a member did not answer a heartbeat.

        Returns
        -------
        tuple of AskProbe
            Probes to request from helpers, once enough heartbeats were
            missed.
        """
        state = self._states.get(instance_id)
        if state is None or instance_id == self.local_member.instance_id:
            return ()
        domain = state.member.failure_domain
        if domain != self.local_member.failure_domain:
            self._unreachable_ids.setdefault(domain, set()).add(instance_id)
            return ()
        suspicion = self._suspicions.setdefault(instance_id, _Suspicion())
        suspicion.missed_heartbeats += 1
        if (
            suspicion.missed_heartbeats < MISSES_BEFORE_PROBE
            or suspicion.helpers
        ):
            return ()
        suspicion.helpers = self._choose_helpers(instance_id)
        return tuple(
            messages.AskProbe(helper, instance_id)
            for helper in suspicion.helpers
        )

    def record_probe_result(
        self, helper, instance_id, is_reached, now_s, wall_s
    ):
        """Record the result of a helper's probe of a member.

        Parameters
        ----------
        helper, instance_id : str
            Instance ids of the helper and of the probed member.
        is_reached : bool or None
            Whether the helper reached the member; None when the helper
            itself did not answer.
        now_s : float
            Monotonic time, in seconds.
        wall_s : float
            Wall-clock time, in seconds since the Unix epoch.

        Returns
        -------
        tuple of Fact
            The suspicion, when at least one helper answered and none of
            them reached the member.
        """
        suspicion = self._suspicions.get(instance_id)
        if suspicion is None or helper not in suspicion.helpers:
            return ()
        suspicion.answers[helper] = is_reached
        if len(suspicion.answers) < len(suspicion.helpers):
            return ()
        answers = set(suspicion.answers.values())
        self._suspicions[instance_id] = _Suspicion()
        state = self._states.get(instance_id)
        is_confirmed = False in answers and True not in answers
        if not is_confirmed or state is None:
            return ()
        if state.status is not members.MemberStatus.ALIVE:
            return ()
        self._suspected_s[instance_id] = now_s
        return (self._set_status(state, members.MemberStatus.SUSPECT, wall_s),)

    def _view(self, state):
        """Return this node's view of a member."""
        silent = self._unreachable_ids.get(state.member.failure_domain, ())
        live = self._get_topology().list_members_of(
            state.member.failure_domain
        )
        is_cut_off = 0 < min(MIN_UNREACHABLE_MEMBERS, len(live)) <= len(silent)
        return members.MemberView(state.member, state.status, not is_cut_off)

    def _set_status(self, state, status, wall_s):
        """Change a member's status and return the fact to publish."""
        changed = attrs.evolve(state, status=status)
        self._store(changed)
        return members.encode_fact(changed, wall_s)

    def _store(self, state):
        """Store a member's state, which may be that of the local member."""
        name = state.member.instance_id
        if name == self.local_member.instance_id:
            self._local_state = state
        before = self._states.get(name)
        self._states[name] = state
        is_same = (
            before is not None
            and before.member == state.member
            and before.status == state.status
        )
        if not is_same:
            self._topology = None

    def _merge(self, state, now_s):
        """Store a remote member's state if it is newer than the known one."""
        name = state.member.instance_id
        known = self._states.get(name)
        if known and known.version >= state.version:
            return
        self._store(state)
        if state.status is members.MemberStatus.SUSPECT:
            self._suspected_s.setdefault(name, now_s)
        else:
            self._suspected_s.pop(name, None)
        if state.status is members.MemberStatus.ALIVE:
            self._suspicions.pop(name, None)
            self._retire_predecessor(state.member)

    def _retire_predecessor(self, member):
        """Mark the earlier of two instances at one peer address as dead."""
        former = self._by_address.get(member.peer_address)
        state = self._states.get(former)
        is_other = state is not None and former != member.instance_id
        if is_other and state.member.incarnation >= member.incarnation:
            self._mark_dead(member.instance_id)
            return
        self._by_address[member.peer_address] = member.instance_id
        if is_other and former != self.local_member.instance_id:
            self._mark_dead(former)

    def _mark_dead(self, instance_id):
        """Mark a member as dead locally, without publishing this."""
        state = self._states[instance_id]
        self._store(attrs.evolve(state, status=members.MemberStatus.DEAD))

    def _refute(self, state, now_s, wall_s):
        """Return a refutation if a state outranks the local member's own.

        A state of a later incarnation belongs to another process of the same
        instance and is not refuted.
        """
        if state.version <= self._local_state.version:
            return ()
        if state.member.incarnation > self.local_member.incarnation:
            return ()
        self._local_state = attrs.evolve(
            self._local_state, renewals=state.renewals
        )
        return (self._renew(now_s, wall_s),)

    def _renew(self, now_s, wall_s):
        """Return a renewed fact, which outranks any suspicion of this node."""
        self._refreshed_s = now_s
        renewed = attrs.evolve(
            self._local_state, renewals=self._local_state.renewals + 1
        )
        self._store(renewed)
        return members.encode_fact(renewed, wall_s)

    def _clear_suspicions(self, now_s):
        """Discard evidence from before a pause of this node.

        Suspects get the full time to refute again.
        """
        self._suspicions.clear()
        self._unreachable_ids.clear()
        self._suspected_s = dict.fromkeys(self._suspected_s, now_s)

    def _is_suspect(self, instance_id):
        """Return whether a member is a suspect."""
        state = self._states.get(instance_id)
        return state and state.status is members.MemberStatus.SUSPECT

    def _list_overdue(self, now_s):
        """Return the suspects whose time to refute is over, each once."""
        overdue = [
            name
            for name, since_s in self._suspected_s.items()
            if now_s - since_s >= SUSPICION_S and self._is_suspect(name)
        ]
        for name in overdue:
            del self._suspected_s[name]
        return overdue

    def _list_dead(self):
        """Return the instance ids of the dead members, sorted."""
        return sorted(
            name
            for name, state in self._states.items()
            if state.status is members.MemberStatus.DEAD
        )

    def _choose_helpers(self, instance_id):
        """Return helpers, alternating between local and other domains."""
        alive = [
            state.member
            for name, state in self._states.items()
            if state.status is members.MemberStatus.ALIVE
            and name not in (instance_id, self.local_member.instance_id)
        ]
        ranked = topology.rank_by_rendezvous(
            f"{self.local_member.instance_id} {self._round}",
            [member.instance_id for member in alive],
        )
        local = set(
            self._get_topology().list_members_of(
                self.local_member.failure_domain
            )
        )
        inside = [name for name in ranked if name in local]
        outside = [name for name in ranked if name not in local]
        paired = itertools.zip_longest(inside, outside)
        mixed = itertools.chain.from_iterable(paired)
        named = (name for name in mixed if name is not None)
        return tuple(itertools.islice(named, HELPER_COUNT))

    def _get_topology(self):
        """Return the topology of the live members, computed on demand."""
        if self._topology is None:
            alive = [
                state.member
                for name, state in self._states.items()
                if state.status is members.MemberStatus.ALIVE
                or name == self.local_member.instance_id
            ]
            self._topology = topology.Topology(self.local_member, alive)
        return self._topology
