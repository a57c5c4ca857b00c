"""Reconciliation of the versions on the endpoints with the desired ones."""

import attrs

from mulberryhollow.coordination.rollout import actions
from mulberryhollow.coordination.rollout import record
from mulberryhollow.coordination.rollout import schedule

__all__ = ["DRAIN_S", "OrderBook", "ORDER_GUARD_S"]

ORDER_GUARD_S = 3.0
"""Time before the end of the lease from which no order is sent, in seconds.

This covers the timeout of an order and the difference between two clocks.
"""

REORDER_INTERVAL_S = 5.0
"""Time after which an order without visible effect is repeated, in seconds."""

DRAIN_S = 60.0
"""Time from the end of a move until unneeded versions are unloaded, in
seconds."""


@attrs.define
class OrderBook:
    """Orders that reconcile the endpoints with the desired versions.

    Notes
    -----
    Each call compares the observed versions with the desired ones. An order
    that was refused or lost, or whose effect a former driver undid, is
    therefore given again.
    """

    _sent_s: dict = attrs.field(factory=dict)
    _last_load_s: float = float("-inf")
    _ended: tuple = ()

    def list_due(self, move, plan, capacity, now_s):
        """Return the orders that are due.

        Parameters
        ----------
        move : Move
            The record, with this node's lease.
        plan : Plan
            Schedule of the move.
        capacity : Capacity
            The endpoints as observed.
        now_s : float
            Current time, in Unix seconds.

        Returns
        -------
        list of Order
            The orders. Loads are at least ``capacity.load_s`` seconds apart,
            also across calls, as the weight store requires.
        """
        if now_s >= move.lease_until_s - ORDER_GUARD_S:
            return []
        differences = self._list_differences(move, plan, capacity, now_s)
        self._sent_s = {
            order: sent_s
            for order, sent_s in self._sent_s.items()
            if now_s < sent_s + REORDER_INTERVAL_S
        }
        due = []
        for address, command, version in differences:
            is_load = command is actions.Command.LOAD
            if is_load and now_s < self._last_load_s + capacity.load_s:
                continue
            if not self._record_sent(address, command, version, now_s):
                continue
            if is_load:
                self._last_load_s = now_s
            due.append(self._make_order(move, address, command, version))
        return due

    def is_reconciled(self, move, plan, capacity, now_s):
        """Return whether an ended move needs no more orders."""
        is_over = now_s >= self._get_unload_s(move, now_s)
        return is_over and not self._list_differences(
            move, plan, capacity, now_s
        )

    def _list_differences(self, move, plan, capacity, now_s):
        """Return the needed changes as (address, command, version)."""
        desired = _list_desired(move, plan, capacity, now_s)
        can_unload = now_s >= self._get_unload_s(move, now_s)
        loads = [
            (address, actions.Command.LOAD, version)
            for address, version in desired
            if version not in _get_versions(capacity, address)
        ]
        unloads = [
            (endpoint.address, actions.Command.UNLOAD, version)
            for endpoint in capacity.loadable
            for version in endpoint.versions
            if can_unload and (endpoint.address, version) not in desired
        ]
        return loads + unloads

    def _get_unload_s(self, move, now_s):
        """Return when unneeded versions may be unloaded, in Unix seconds.

        After ``done`` this is not before the deadline plus the drain time:
        nodes that do not know of ``done`` use the old version from the
        deadline on, until they read the record.
        """
        if not move.stage.is_final:
            return float("inf")
        if self._ended[:1] != (move.id,):
            self._ended = (move.id, now_s)
        end_s = self._ended[1]
        if move.stage is record.Stage.DONE:
            end_s = max(end_s, move.deadline_s)
        return end_s + DRAIN_S

    def _record_sent(self, address, command, version, now_s):
        """Record an order and return whether it is to be sent.

        It is not while the same order, sent before, may still take effect
        (`REORDER_INTERVAL_S`).
        """
        order = address, command, version
        if order in self._sent_s:
            return False
        self._sent_s[order] = now_s
        return True

    def _make_order(self, move, address, command, version):
        """Return an order with the object's version as fencing token."""
        return actions.Order(
            address,
            command,
            move.service,
            version,
            move.version,
            move.lease_until_s - ORDER_GUARD_S,
        )


def _list_desired(move, plan, capacity, now_s):
    """Return the desired (address, version) pairs, the new version first."""
    match move.stage:
        case record.Stage.DONE:
            new, old = capacity.loadable, ()
        case record.Stage.ROLLED_BACK:
            new, old = (), capacity.loadable
        case _:
            new = schedule.choose_endpoints(move, plan, capacity, now_s)
            old = capacity.loadable
    return {
        (endpoint.address, version): None
        for version, endpoints in (
            (move.to_version, new),
            (move.from_version, old),
        )
        for endpoint in endpoints
    }


def _get_versions(capacity, address):
    """Return the versions observed on an endpoint."""
    return next(
        endpoint.versions
        for endpoint in capacity.endpoints
        if endpoint.address == address
    )
