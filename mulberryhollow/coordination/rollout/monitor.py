"""Monitor of a version move on each node, also during a store outage."""

import logging

from mulberryhollow.coordination.rollout import actions
from mulberryhollow.coordination.rollout import bounded_tester
from mulberryhollow.coordination.rollout import record
from mulberryhollow.coordination.rollout import tester
from mulberryhollow.coordination.rollout import verdict
from mulberryhollow.events import declare
from mulberryhollow.events import log

__all__ = ["MoveMonitor", "effective_shares"]

REPUBLISH_INTERVAL_S = 1.0
"""Interval at which a verdict is published again, in seconds."""

_VERSION_DEGRADED = declare(
    7001,
    logging.WARNING,
    "new version is degraded compared with the old one",
    "check the logs of the new version; the move rolls back by itself",
)
_DEADLINE_PASSED = declare(
    7002,
    logging.WARNING,
    "move was not done by its deadline and counts as rolled back",
    "start another move if the new version is still wanted",
)


def effective_shares(move, verdicts, now_s):
    """Return the share of each version that a node has to use.

    Parameters
    ----------
    move : Move
        Latest record that the node knows.
    verdicts : iterable of Bad
        Verdicts that the node has reached or received.
    now_s : float
        Current time, in Unix seconds.

    Returns
    -------
    dict
        Share of each version by its name, 0 to 1.

    Notes
    -----
    The stored record decides how a move ends: ``done`` overrides a verdict
    that came too late. Without ``done``, the old version gets all requests
    after a verdict and from the deadline on.
    """
    share = _compute_share(move, verdicts, now_s)
    return {move.from_version: 1.0 - share, move.to_version: share}


def _compute_share(move, verdicts, now_s):
    """Return the share of the new version."""
    match move.stage:
        case record.Stage.DONE:
            return 1.0
        case record.Stage.PLANNED | record.Stage.ROLLED_BACK:
            return 0.0
    is_degraded = any(bad.move_id == move.id for bad in verdicts)
    return 0.0 if is_degraded or now_s >= move.deadline_s else move.share


def _has_limit(move):
    """Return whether an exposure limit bounds a move."""
    return move.times is not None and move.times.exposure is not None


def _is_tested(move):
    """Return whether the versions are compared in the stage of a move.

    A bounded move begins to count the service's requests when it is planned.
    """
    match move.stage:
        case record.Stage.SHIFTING:
            return True
        case record.Stage.PLANNED:
            return _has_limit(move)
    return False


def _make_tester(move, counters, now_s):
    """Return the test of a move's versions."""
    kind = (
        bounded_tester.BoundedTester
        if _has_limit(move)
        else tester.SequentialTester
    )
    return kind(move, counters, now_s)


class MoveMonitor:
    """Follows the record of one service's move on one node.

    Notes
    -----
    A node first applies a verdict to its own routing and then publishes it
    to the peers. Only the driver changes the record.

    Attributes
    ----------
    is_lost : bool
        Whether the store holds an earlier record of the move than the known
        one, since it was restored from an older copy.
    """

    def __init__(self):
        self._move = None
        self._tester = None
        self._verdicts = {}
        self._shares = None
        self._since_s = 0.0
        self._has_new_window = False
        self._published_s = float("-inf")
        self.is_lost = False

    @property
    def move(self):
        """Latest known record, or None."""
        return self._move

    @property
    def since_s(self):
        """When this node first saw the current share, in Unix seconds."""
        return self._since_s

    @property
    def bad(self):
        """Verdict that the current move is degraded, or None."""
        return self._move and self._verdicts.get(self._move.id)

    @property
    def usage(self):
        """Use of the exposure limit, of a move that has one, or None."""
        return self._tester and self._tester.usage

    def observe(self, move, now_s):
        """Apply a record unless it is no newer than the known one.

        Parameters
        ----------
        move : Move
            The record with its object's version.
        now_s : float
            Current time, in Unix seconds.
        """
        known = self._move
        if known is not None and move.version <= known.version:
            return
        found, move = move, record.merge(known, move)
        self.is_lost = move is not found
        self._move = move
        if known is None or known.id != move.id:
            self._tester = None
            self._shares = None
            self._published_s = float("-inf")
            self._verdicts = {
                name: bad
                for name, bad in self._verdicts.items()
                if name == move.id
            }
        if known is None or known.share != move.share:
            self._since_s = now_s
            self._has_new_window = True

    def receive_verdict(self, bad):
        """Receive a verdict; the first one for a move is kept."""
        self._verdicts.setdefault(bad.move_id, bad)

    def judge(self, counters, now_s):
        """Return the verdict at the current share.

        Parameters
        ----------
        counters : Counters
            Merged counters of all nodes.
        now_s : float
            Current time, in Unix seconds.

        Returns
        -------
        Bad, Undecided or Good
            The verdict. Without an earlier `Bad` it is `Undecided` unless
            the move is shifting.
        """
        if self.bad is not None:
            return self.bad
        if self._move is None or not _is_tested(self._move):
            return verdict.Undecided(0)
        if self._tester is None:
            self._tester = _make_tester(self._move, counters, now_s)
        elif self._has_new_window:
            self._tester.begin_window(counters)
        self._has_new_window = False
        self._tester.follow(self._move)
        return self._tester.evaluate(counters, now_s)

    def step(self, counters, now_s):
        """Return the actions that are due.

        Parameters
        ----------
        counters : Counters or None
            Merged counters of all nodes; None when this node does not test
            the versions.
        now_s : float
            Current time, in Unix seconds.

        Returns
        -------
        list of SetShare and PublishVerdict
            First the share, then the verdict. The verdict is published
            repeatedly until the move has ended, since a message can be lost.
        """
        if self._move is None:
            return []
        if counters is not None:
            self._keep_verdict(self.judge(counters, now_s))
        due_actions = self._update_shares(now_s)
        if self._must_publish(now_s):
            self._published_s = now_s
            due_actions.append(actions.PublishVerdict(self.bad))
        return due_actions

    def _must_publish(self, now_s):
        """Return whether a verdict has to be published now."""
        if self.bad is None or self._move.stage.is_final:
            return False
        return now_s >= self._published_s + REPUBLISH_INTERVAL_S

    def _keep_verdict(self, judgement):
        """Keep a `Bad` verdict for the rest of the move, and log it."""
        match judgement:
            case verdict.Bad() if self.bad is None:
                self.receive_verdict(judgement)
                log(
                    _VERSION_DEGRADED,
                    move=self._move.id,
                    reason=judgement.reason,
                )

    def _update_shares(self, now_s):
        """Return the action that changes the active share, if any."""
        move = self._move
        shares = effective_shares(move, self._verdicts.values(), now_s)
        if shares == self._shares:
            return []
        if now_s >= move.deadline_s and not move.stage.is_final:
            log(_DEADLINE_PASSED, move=move.id)
        self._shares = shares
        share = shares[move.to_version]
        return [actions.SetShare(move.service, move.to_version, share)]
