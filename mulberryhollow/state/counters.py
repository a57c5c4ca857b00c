"""Counters of requests per version, merged monotonically between nodes."""

import bisect
import functools
import itertools
import operator
import struct

import attrs
from thrift.protocol.TBase import TBase
from thrift.protocol.TCompactProtocol import TCompactProtocolFactory
from thrift.Thrift import TException
from thrift.Thrift import TType
from thrift.TSerialization import deserialize
from thrift.TSerialization import serialize

from mulberryhollow import errors

__all__ = [
    "BUCKET_BOUNDS_S",
    "Counters",
    "OVERDUE_S",
    "CountersFormatError",
    "Row",
    "RowKey",
    "Snapshot",
    "decode",
    "encode",
    "sum_up",
]

_BUCKETS_PER_OCTAVE = 2
_SMALLEST_BOUND_S = 0.001

BUCKET_BOUNDS_S = tuple(
    _SMALLEST_BOUND_S * 2 ** (index / _BUCKETS_PER_OCTAVE)
    for index in range(32)
)
"""Upper bounds of the latency buckets, in seconds; one more has no bound."""

BUCKET_COUNT = len(BUCKET_BOUNDS_S) + 1

OVERDUE_S = 3.0
"""Wait after which a request without a first byte is counted, in seconds."""

MAX_COUNT = 2**62
"""Greatest count in a message."""

_PROTOCOL = TCompactProtocolFactory()
_MALFORMED = (
    TException,
    EOFError,
    ValueError,
    LookupError,
    TypeError,
    struct.error,
    MemoryError,
    OverflowError,
    AssertionError,
    AttributeError,
)


class CountersFormatError(errors.MulberryError):
    """Bytes from a peer are not a message of counters."""


@attrs.frozen
class RowKey:
    """What a row counts.

    Parameters
    ----------
    service, version, route : str
        Names of the service, its version, and the route within it.
    """

    service: str
    version: str
    route: str


@attrs.frozen
class Row:
    """Counts that only grow.

    Parameters
    ----------
    started, ok, failed : int
        Requests begun, answered well, and failed.
    excused : int
        Those of the failed ones that a quarantined request caused.
    buckets : tuple of int
        Requests by time to the first byte, one for each bound of
        `BUCKET_BOUNDS_S` and one above.
    """

    started: int = 0
    ok: int = 0
    failed: int = 0
    excused: int = 0
    buckets: tuple = (0,) * BUCKET_COUNT

    @property
    def blamed(self):
        """Failures that count against the version."""
        return max(0, self.failed - self.excused)

    @property
    def timed(self):
        """Requests with a known time to the first byte."""
        return sum(self.buckets)

    def count_slower(self, bucket):
        """Return how many requests lie above a bucket's upper bound."""
        return sum(self.buckets[bucket + 1 :])

    def combine(self, other, function):
        """Return the row with a function applied count by count."""
        return Row(
            function(self.started, other.started),
            function(self.ok, other.ok),
            function(self.failed, other.failed),
            function(self.excused, other.excused),
            tuple(map(function, self.buckets, other.buckets)),
        )

    def plus(self, other):
        """Return the sum of two rows."""
        if other is EMPTY_ROW:
            return self
        return self.combine(other, operator.add)

    def minus(self, other):
        """Return the growth since an earlier state of the row."""
        if other is self:
            return EMPTY_ROW
        return self.combine(other, operator.sub)


EMPTY_ROW = Row()
"""A row without counts."""


@attrs.frozen
class Snapshot:
    """Cumulative rows of one incarnation of a node.

    Parameters
    ----------
    node : str
        Name of the node, or of a failure domain for a sum over its nodes.
    incarnation : int
        Grows with each start of the node.
    after : int
        Rows unchanged since this sequence number are left out.
    sequence : int
        The state that the rows belong to.
    rows : dict
        `RowKey` to `Row`.
    """

    node: str
    incarnation: int
    after: int
    sequence: int
    rows: dict


@attrs.define
class _Source:
    """Rows of one incarnation and how far they are complete."""

    sequence: int = 0
    rows: dict = attrs.field(factory=dict)


class Counters:
    """Own counts, and those of the peers as far as heard.

    Parameters
    ----------
    node : str
        Name of this node.
    incarnation : int
        Grows with each start of this node.

    Notes
    -----
    Every count of an incarnation only grows, so the greater of two values is
    the later one: merging takes the maximum count by count, and messages may
    be lost, doubled, late or crossed. A restarted node counts from zero under
    a higher incarnation, while its former counts stay.

    With 8 nodes, each sends its rows to the testers of a move. With several
    hundred, each sends them to an aggregator of its part of a failure domain,
    which passes on `sum_rows` of the part, and so up to the domain; domains
    exchange their sums. A sum is sent under the name of the part and a
    constant incarnation. Two aggregators of a part hold lower bounds of the
    same true counts, hence the maximum of both is again a lower bound, and it
    does not matter which one is heard.
    """

    def __init__(self, node, incarnation):
        self.node = node
        self.incarnation = incarnation
        self._own = _Source()
        self._sources = {(node, incarnation): self._own}
        self._changed_at = {}
        self._sums = {}

    @property
    def sequence(self):
        """Number of changes of the own rows."""
        return self._own.sequence

    def record_start(self, key):
        """Count a request handed to a version."""
        row = self._get_own(key)
        self._put_own(key, attrs.evolve(row, started=row.started + 1))

    def record_latency(self, key, latency_s):
        """Count a time to the first byte, once for each request.

        Parameters
        ----------
        key : RowKey
            What the request belongs to.
        latency_s : float
            Time until its first byte or its failure, in seconds, or
            `OVERDUE_S` as soon as it has waited that long, so that a version
            that never answers is seen.
        """
        row = self._get_own(key)
        buckets = list(row.buckets)
        buckets[bisect.bisect_left(BUCKET_BOUNDS_S, latency_s)] += 1
        self._put_own(key, attrs.evolve(row, buckets=tuple(buckets)))

    def record_ok(self, key):
        """Count a request that was answered well."""
        row = self._get_own(key)
        self._put_own(key, attrs.evolve(row, ok=row.ok + 1))

    def record_failure(self, key):
        """Count a failed request.

        Notes
        -----
        Requests cut off by the end of their endpoint are one failure in all,
        since they share one cause.
        """
        row = self._get_own(key)
        self._put_own(key, attrs.evolve(row, failed=row.failed + 1))

    def excuse(self, key, count=1):
        """Take failures off the version, caused by a quarantined request."""
        row = self._get_own(key)
        self._put_own(key, attrs.evolve(row, excused=row.excused + count))

    def merge(self, snapshot):
        """Take in a peer's rows.

        Parameters
        ----------
        snapshot : Snapshot
            Its rows, possibly lost before, doubled, late or crossed.

        Returns
        -------
        int
            The sequence up to which the peer's rows are complete here; the
            peer leaves out what is older.
        """
        name = snapshot.node, snapshot.incarnation
        if name == (self.node, self.incarnation):
            return self._own.sequence
        source = self._sources.setdefault(name, _Source())
        for key, row in snapshot.rows.items():
            known = source.rows.get(key, EMPTY_ROW)
            if row != known:
                self._store(source, key, known.combine(row, max))
        if snapshot.after <= source.sequence < snapshot.sequence:
            source.sequence = snapshot.sequence
        return source.sequence

    def take_snapshot(self, after=0):
        """Return the own rows changed since a sequence number."""
        rows = {
            key: row
            for key, row in self._own.rows.items()
            if self._changed_at[key] > after
        }
        return Snapshot(
            self.node, self.incarnation, after, self._own.sequence, rows
        )

    def total(self, service, version, route=None):
        """Return the sum over all nodes.

        Parameters
        ----------
        service, version : str
            What to sum up.
        route : str or None
            One route; None for all.

        Returns
        -------
        Row
            The sum.
        """
        by_route = self.total_by_route(service, version)
        if route is None:
            return sum_up(by_route.values())
        return by_route.get(route, EMPTY_ROW)

    def total_by_route(self, service, version):
        """Return the sum over all nodes of each route, by its name."""
        return {
            key.route: row
            for key, row in self._sums.items()
            if (key.service, key.version) == (service, version)
        }

    def sum_rows(self, nodes):
        """Return each key's sum over all incarnations of some nodes.

        Parameters
        ----------
        nodes : set of str
            Names of the nodes of one failure domain.

        Returns
        -------
        dict
            `RowKey` to `Row`.
        """
        sums = {}
        for (node, _), source in self._sources.items():
            for key, row in source.rows.items() if node in nodes else ():
                sums[key] = sums.get(key, EMPTY_ROW).plus(row)
        return sums

    def retain(self, services):
        """Drop the rows of every other service, once its move has ended."""
        for source in self._sources.values():
            source.rows = {
                key: row
                for key, row in source.rows.items()
                if key.service in services
            }
        self._sums = {
            key: row
            for key, row in self._sums.items()
            if key.service in services
        }

    def _get_own(self, key):
        """Return an own row."""
        return self._own.rows.get(key, EMPTY_ROW)

    def _put_own(self, key, row):
        """Store a changed own row."""
        self._own.sequence += 1
        self._store(self._own, key, row)
        self._changed_at[key] = self._own.sequence

    def _store(self, source, key, row):
        """Store a grown row and add its growth to the sum over all nodes."""
        growth = row.minus(source.rows.get(key, EMPTY_ROW))
        source.rows[key] = row
        self._sums[key] = self._sums.get(key, EMPTY_ROW).plus(growth)


def sum_up(rows):
    """Return the sum of rows."""
    return functools.reduce(Row.plus, rows, EMPTY_ROW)


class _Message(TBase):
    """A snapshot as thrift structure: its names, and its numbers in order."""

    __slots__ = ("names", "numbers")

    thrift_spec = (
        None,
        (1, TType.LIST, "names", (TType.STRING, "UTF8", False), None),
        (2, TType.LIST, "numbers", (TType.I64, None, False), None),
    )

    def __init__(self, names=(), numbers=()):
        self.names = names
        self.numbers = numbers


def encode(snapshot):
    """Return a snapshot in thrift's compact protocol.

    Parameters
    ----------
    snapshot : Snapshot
        What to send; empty buckets take no bytes.

    Returns
    -------
    bytes
        The message.
    """
    places = {snapshot.node: 0}
    numbers = [snapshot.incarnation, snapshot.after, snapshot.sequence]
    for key, row in snapshot.rows.items():
        numbers += [
            places.setdefault(name, len(places)) for name in attrs.astuple(key)
        ]
        numbers += _flatten(row)
    message = _Message(list(places), numbers)
    return serialize(message, _PROTOCOL)


def _flatten(row):
    """Return a row's numbers, its buckets as (index, count) if not zero."""
    filled = [(i, count) for i, count in enumerate(row.buckets) if count]
    counts = [row.started, row.ok, row.failed, row.excused, len(filled)]
    return counts + list(itertools.chain.from_iterable(filled))


def decode(data):
    """Return the snapshot in a message.

    Parameters
    ----------
    data : bytes
        The message.

    Returns
    -------
    Snapshot
        What the peer sent.

    Raises
    ------
    CountersFormatError
        When the bytes are not such a message.
    """
    try:
        message = deserialize(_Message(), data, _PROTOCOL)
        return _read_snapshot(message)
    except _MALFORMED as error:
        raise CountersFormatError(
            f"the counters are malformed: {error!r}",
            "run the same version of the daemon on every node",
        ) from error


def _read_snapshot(message):
    """Return the snapshot of a thrift structure."""
    names = message.names
    numbers = iter(message.numbers)
    incarnation, after, sequence = _take(numbers, 3)
    rows = {}
    while place := list(itertools.islice(numbers, 3)):
        key = RowKey(*(names[index] for index in place))
        rows[key] = _read_row(numbers)
    return Snapshot(names[0], incarnation, after, sequence, rows)


def _take(numbers, count):
    """Return the next numbers, none of them negative or too great."""
    values = list(itertools.islice(numbers, count))
    if len(values) < count or any(
        not 0 <= value <= MAX_COUNT for value in values
    ):
        raise ValueError(f"{values} are not {count} counts")
    return values


def _read_row(numbers):
    """Read one row."""
    *counts, filled = _take(numbers, 5)
    buckets = [0] * BUCKET_COUNT
    for _ in range(min(filled, BUCKET_COUNT)):
        index, count = _take(numbers, 2)
        buckets[index] = count
    return Row(*counts, tuple(buckets))
