"""Codec of the operators' orders of moves, and of the moves' records."""

import contextlib
import hashlib
import json
import operator

import attrs

from mulberryhollow.coordination import rollout
from mulberryhollow.platform import records as entries
from mulberryhollow.protocol import moves as records
from mulberryhollow.serving import moves
from mulberryhollow.serving import ordered_moves
from mulberryhollow.state import decoding
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


def decode_order(item):
    """Return the MoveOrder in an operator's object.

    The id of its move is that of the record beside it if the status says that
    the record belongs to the order as it is written.

    Parameters
    ----------
    item : StoredObject
        The object, whose name is that of the service.

    Raises
    ------
    ValueError
        If the object is malformed.
    """
    with decoding.convert_errors(f"order {item.name}"):
        fields = entries.decode_fields(item)
        service, target = fields["service"], fields["target"]
        decoding.check_name(target, "target")
        if service != item.name:
            raise ValueError(f"the service is {service!r}")
        duration_s = decoding.get_number(fields, "durationS")
        if not duration_s:
            raise ValueError(f"durationS is {duration_s}")
        content = decoding.encode_json(dict(sorted(fields.items())))
    digest = hashlib.sha256(item.created.encode() + content).hexdigest()
    written_id = f"{service} {digest[:16]}"
    return ordered_moves.MoveOrder(
        _decode_move_id(item, written_id),
        service,
        target,
        float(duration_s),
        written_id,
    )


def _decode_move_id(item, written_id):
    """Return the id of the move of an order, which its status may give.

    An order that a restore of the store has lost has another id when it is
    written again, since it is created at another time.
    """
    with contextlib.suppress(ValueError), decoding.convert_errors("status"):
        status = decoding.decode_json(item.status)
        if status["order"] == written_id:
            return decoding.check_name(status["record"]["id"], "id")
    return written_id


def decode_target(item):
    """Return the target of a malformed order; None if it is not readable."""
    with contextlib.suppress(ValueError), decoding.convert_errors("target"):
        target = entries.decode_fields(item)["target"]
        decoding.check_name(target, "target")
        return target
    return None


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
    with contextlib.suppress(ValueError), decoding.convert_errors("status"):
        status = decoding.decode_json(item.status)
        return objects.StoredObject(
            moves.KIND,
            item.name,
            item.version,
            decoding.encode_json(status["record"]),
            str(status["change"]),
        )
    return None


@attrs.frozen
class StatusRecords:
    """Records of moves, kept in the status of the orders.

    Has the methods of a StoreClient that the actor of moves calls. The name
    of a record's object is that of its order, after a dot.

    Parameters
    ----------
    store : StoreClient
        The platform's store.
    get_written_id : callable
        Given a Move, returns the id of its order as written in the store.
    """

    store: object
    get_written_id: object = operator.attrgetter("id")

    def put(self, kind, name, value, expected_version, change_id):
        """Write a record, as `StoreClient.put`."""
        move = records.decode(value, expected_version)
        status = {
            "state": _STATES[move.stage],
            "target": move.to_version,
            "change": change_id,
            "record": json.loads(value),
        }
        written_id = self.get_written_id(move)
        if written_id != move.id:
            status["order"] = written_id
        return self.store.put_status(
            ORDER_KIND, name.removeprefix("."), status, expected_version
        )

    def get(self, kind, name):
        """Read a record, as `StoreClient.get`.

        The record of an earlier order stays beside the order that replaces
        it, under the revision of the latter; it is not returned.
        """
        item = self.store.get(ORDER_KIND, name.removeprefix("."))
        record = None if item is None else decode_record(item)
        try:
            is_current = record is not None and (
                records.decode(record.value, record.version).id
                == decode_order(item).id
            )
        except (ValueError, records.MoveFormatError):
            return None
        return record if is_current else None
