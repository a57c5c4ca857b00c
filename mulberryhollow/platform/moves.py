"""Codec of the operators' orders of moves, and of the moves' records."""

import hashlib
import json
import math

import attrs

from mulberryhollow.coordination import rollout
from mulberryhollow.protocol import moves as records
from mulberryhollow.serving import moves
from mulberryhollow.serving import ordered_moves
from mulberryhollow.state import objects

__all__ = ["ORDER_KIND", "StatusRecords", "decode_order", "decode_target"]

ORDER_KIND = "rollouts"
"""Kind of the objects by which the operator orders moves."""

_STATES = {
    rollout.Stage.PLANNED: "in_progress",
    rollout.Stage.SHIFTING: "in_progress",
    rollout.Stage.DONE: "completed",
    rollout.Stage.ROLLED_BACK: "rolled_back",
}

_DECODE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)


def decode_order(item):
    """Return the MoveOrder in an operator's object.

    Parameters
    ----------
    item : StoredObject
        The object, whose name is that of the service.

    Raises
    ------
    ValueError
        If the object is malformed.
    """
    try:
        fields = json.loads(item.value)
        service, target = fields["service"], fields["target"]
        duration_s = float(fields["durationS"])
        if not (isinstance(target, str) and target):
            raise ValueError(f"target is {target!r}")
        if service != item.name:
            raise ValueError(f"the service is {service!r}")
        if not 0.0 < duration_s < math.inf:
            raise ValueError(f"durationS is {duration_s}")
    except _DECODE_ERRORS as error:
        raise ValueError(f"order {item.name}: {error!r}") from error
    spec = json.dumps(fields, sort_keys=True)
    digest = hashlib.sha256(f"{item.created} {spec}".encode()).hexdigest()
    return ordered_moves.MoveOrder(
        f"{service} {digest[:16]}", service, target, duration_s
    )


def decode_target(item):
    """Return the target of a malformed order; None if it is not readable."""
    try:
        target = json.loads(item.value)["target"]
    except _DECODE_ERRORS:
        return None
    return target if isinstance(target, str) else None


def decode_record(item):
    """Return the record in the status of an order, as an object of its own.

    Parameters
    ----------
    item : StoredObject
        The operator's object.

    Returns
    -------
    StoredObject or None
        None if the status holds no record.
    """
    try:
        status = json.loads(item.status)
        value = json.dumps(status["record"], sort_keys=True).encode()
        change_id = str(status["change"])
    except _DECODE_ERRORS:
        return None
    return objects.StoredObject(
        moves.KIND, item.name, item.version, value, change_id
    )


@attrs.frozen
class StatusRecords:
    """Records of moves, kept in the status of the orders.

    Has the methods of a StoreClient that the actor of moves calls. The name
    of a record's object is that of its order, after a dot.

    Parameters
    ----------
    store : StoreClient
        The platform's store.
    """

    store: object

    def put(self, kind, name, value, expected_version, change_id):
        """Write a record, as `StoreClient.put`."""
        move = records.decode(value, expected_version)
        status = {
            "state": _STATES[move.stage],
            "target": move.to_version,
            "change": change_id,
            "record": json.loads(value),
        }
        return self.store.put_status(
            ORDER_KIND, name.removeprefix("."), status, expected_version
        )

    def get(self, kind, name):
        """Read a record, as `StoreClient.get`."""
        item = self.store.get(ORDER_KIND, name.removeprefix("."))
        return None if item is None else decode_record(item)
