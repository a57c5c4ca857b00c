"""Request counters per version, replicated between nodes.

A node is one instance of the daemon, named by its instance id. The counters
are grow-only (a state-based CRDT): replicas are merged by taking the maximum
of each count.
"""

import bisect
import functools
import itertools
import math
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
    "CountersFormatError",
    "OVERDUE_LATENCY_S",
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
"""Upper bounds of the latency buckets, in seconds.

A further bucket holds the latencies above the last bound.
"""

BUCKET_COUNT = len(BUCKET_BOUNDS_S) + 1

OVERDUE_LATENCY_S = 3.0
"""Latency recorded for a request without a first byte, in seconds.

Recorded as soon as the request has waited that long.
"""

MAX_COUNT = 2**62
"""Maximum count accepted in a message."""

_PROTOCOL = TCompactProtocolFactory()
_DECODING_ERRORS = (
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
    """A message received from a peer does not contain valid counters."""


@attrs.frozen
class RowKey:
    """Key of a row of counters.

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
    """Monotonically increasing request counts.

    Parameters
    ----------
    started, ok, failed : int
        Number of requests started, succeeded and failed.
    excused : int
        Number of the failures that were caused by a quarantined request.
    buckets : tuple of int
        Histogram of the time to first byte: one count for each bound of
        `BUCKET_BOUNDS_S` and one for the latencies above.
    """

    started: int = 0
    ok: int = 0
    failed: int = 0
    excused: int = 0
    buckets: tuple = (0,) * BUCKET_COUNT

    @property
    def attributed_failures(self):
        """Number of failures attributed to the version."""
        return max(0, self.failed - self.excused)

    @property
    def latency_count(self):
        """Number of requests with a recorded time to first byte."""
        return sum(self.buckets)

    def count_slower(self, bucket):
        """Return the number of requests above a bucket's upper bound."""
        return sum(self.buckets[bucket + 1 :])

    def estimate_median(self):
        """Return an upper bound of the median time to first byte, in seconds.

        Infinite without a recorded time, or if the median is in the last
        bucket.
        """
        half = self.latency_count / 2
        sums = itertools.accumulate(self.buckets)
        bounds = itertools.chain(BUCKET_BOUNDS_S, [math.inf])
        return next(
            (
                bound
                for bound, count in zip(bounds, sums, strict=True)
                if half and count >= half
            ),
            math.inf,
        )

    def combine(self, other, function):
        """Return a row with a function applied to each pair of counts."""
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
        """Return the increase since an earlier state of the row."""
        if other is self:
            return EMPTY_ROW
        return self.combine(other, operator.sub)


EMPTY_ROW = Row()
"""A row with all counts zero."""


@attrs.frozen
class Snapshot:
    """Cumulative rows of one incarnation of a node, full or incremental.

    Parameters
    ----------
    node : str
        Name of the node, or of a failure domain for a sum over its nodes.
    incarnation : int
        Incarnation number, which increases with each start of the node.
    after : int
        Sequence number of the base state; rows that have not changed since
        are omitted.
    sequence : int
        Sequence number of the state that the snapshot describes.
    rows : dict
        `Row` of each `RowKey`.
    """

    node: str
    incarnation: int
    after: int
    sequence: int
    rows: dict


@attrs.define
class _Source:
    """Rows of one incarnation, complete up to a sequence number."""

    sequence: int = 0
    rows: dict = attrs.field(factory=dict)


class Counters:
    """Local counters and the counters received from peers.

    Parameters
    ----------
    node : str
        Name of the local node.
    incarnation : int
        Incarnation number, which increases with each start of the node.

    Notes
    -----
    The counts of an incarnation never decrease, so the greater of two values
    is the later one. Merging takes the maximum of each count, which tolerates
    lost, duplicated, delayed and reordered messages. A restarted node counts
    from zero under a higher incarnation; the counts of its earlier
    incarnations are kept.

    With 8 nodes, each node sends its rows to the nodes that run the
    sequential test of a move. With several hundred nodes, each node sends its
    rows to an aggregator of its subset of a failure domain. The aggregator
    forwards `sum_rows` of the subset, up to the level of the domain, and
    domains exchange their sums. A sum is sent under the name of the subset
    with a constant incarnation. Two aggregators of one subset hold lower
    bounds of the same true counts. The maximum of both is again a lower
    bound, so the reports of either one may be used.
    """

    def __init__(self, node, incarnation):
        self.node = node
        self.incarnation = incarnation
        self._local = _Source()
        self._sources = {(node, incarnation): self._local}
        self._changed_at = {}
        self._sums = {}

    @property
    def sequence(self):
        """Sequence number: the number of changes of the local rows."""
        return self._local.sequence

    def record_start(self, key):
        """Count a request sent to a version."""
        row = self._get_local_row(key)
        self._put_local_row(key, attrs.evolve(row, started=row.started + 1))

    def record_latency(self, key, latency_s):
        """Count the time to first byte of a request, once per request.

        Parameters
        ----------
        key : RowKey
            Key of the row to update.
        latency_s : float
            Time until the first byte or the failure, in seconds. For a
            request that has waited for `OVERDUE_LATENCY_S`, that value is
            recorded at once, so that a version that never responds is
            detected.
        """
        row = self._get_local_row(key)
        buckets = list(row.buckets)
        buckets[bisect.bisect_left(BUCKET_BOUNDS_S, latency_s)] += 1
        self._put_local_row(key, attrs.evolve(row, buckets=tuple(buckets)))

    def record_ok(self, key):
        """Count a successful request."""
        row = self._get_local_row(key)
        self._put_local_row(key, attrs.evolve(row, ok=row.ok + 1))

    def record_failure(self, key):
        """Count a failed request.

        Notes
        -----
        Requests interrupted by the termination of their endpoint must be
        recorded as one failure in total, because they share one cause.
        """
        row = self._get_local_row(key)
        self._put_local_row(key, attrs.evolve(row, failed=row.failed + 1))

    def excuse(self, key, count=1):
        """Exclude failures that were caused by a quarantined request.

        Parameters
        ----------
        key : RowKey
            Key of the row to update.
        count : int
            Number of failures not to be attributed to the version.
        """
        row = self._get_local_row(key)
        self._put_local_row(
            key, attrs.evolve(row, excused=row.excused + count)
        )

    def merge(self, snapshot):
        """Merge the rows of a peer.

        Parameters
        ----------
        snapshot : Snapshot
            Rows of the peer. Earlier snapshots may have been lost, and this
            one may be duplicated, delayed or reordered.

        Returns
        -------
        int
            Sequence number up to which the peer's rows are complete here.
            The peer uses the number as `after` of its next snapshot.
        """
        name = snapshot.node, snapshot.incarnation
        if name == (self.node, self.incarnation):
            return self._local.sequence
        source = self._sources.setdefault(name, _Source())
        for key, row in snapshot.rows.items():
            known = source.rows.get(key, EMPTY_ROW)
            if row != known:
                self._store(source, key, known.combine(row, max))
        if snapshot.after <= source.sequence < snapshot.sequence:
            source.sequence = snapshot.sequence
        return source.sequence

    def take_snapshot(self, after=0):
        """Return the local rows that changed after a sequence number."""
        rows = {
            key: row
            for key, row in self._local.rows.items()
            if self._changed_at[key] > after
        }
        return Snapshot(
            self.node, self.incarnation, after, self._local.sequence, rows
        )

    def total(self, service, version, route=None):
        """Return the sum of a version's rows over all nodes.

        Parameters
        ----------
        service, version : str
            Names of the service and the version.
        route : str or None
            Name of a single route; None for all routes.

        Returns
        -------
        Row
            Sum over all nodes and incarnations.
        """
        by_route = self.total_by_route(service, version)
        if route is None:
            return sum_up(by_route.values())
        return by_route.get(route, EMPTY_ROW)

    def total_by_route(self, service, version):
        """Return a version's sums over all nodes, by route name."""
        return {
            key.route: row
            for key, row in self._sums.items()
            if (key.service, key.version) == (service, version)
        }

    def sum_rows(self, nodes):
        """Return the sum of each row over a set of nodes.

        Parameters
        ----------
        nodes : set of str
            Names of the nodes, for instance of one failure domain. All
            incarnations of each node are included.

        Returns
        -------
        dict
            `Row` of each `RowKey`.
        """
        sums = {}
        for (node, _), source in self._sources.items():
            for key, row in source.rows.items() if node in nodes else ():
                sums[key] = sums.get(key, EMPTY_ROW).plus(row)
        return sums

    def retain(self, services):
        """Delete the rows of all services but the given ones.

        Parameters
        ----------
        services : collection of str
            Names of the services whose move is still in progress.
        """
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

    def _get_local_row(self, key):
        """Return a local row."""
        return self._local.rows.get(key, EMPTY_ROW)

    def _put_local_row(self, key, row):
        """Store a changed local row."""
        self._local.sequence += 1
        self._store(self._local, key, row)
        self._changed_at[key] = self._local.sequence

    def _store(self, source, key, row):
        """Store a row and add its increase to the sum over all nodes."""
        growth = row.minus(source.rows.get(key, EMPTY_ROW))
        source.rows[key] = row
        self._sums[key] = self._sums.get(key, EMPTY_ROW).plus(growth)


def sum_up(rows):
    """Return the sum of an iterable of rows."""
    return functools.reduce(Row.plus, rows, EMPTY_ROW)


class _Message(TBase):
    """Thrift structure of a snapshot.

    Names are listed once and referenced by index. The numbers are the header
    (incarnation, after, sequence) followed by the rows.
    """

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
    """Serialize a snapshot in the Thrift compact protocol.

    Parameters
    ----------
    snapshot : Snapshot
        Snapshot to serialize; empty buckets are omitted.

    Returns
    -------
    bytes
        The message.
    """
    indexes = {snapshot.node: 0}
    numbers = [snapshot.incarnation, snapshot.after, snapshot.sequence]
    for key, row in snapshot.rows.items():
        numbers += [
            indexes.setdefault(name, len(indexes))
            for name in attrs.astuple(key)
        ]
        numbers += _flatten(row)
    message = _Message(list(indexes), numbers)
    return serialize(message, _PROTOCOL)


def _flatten(row):
    """Return the numbers of a row, with (index, count) per used bucket."""
    filled = [(i, count) for i, count in enumerate(row.buckets) if count]
    counts = [row.started, row.ok, row.failed, row.excused, len(filled)]
    return counts + list(itertools.chain.from_iterable(filled))


def decode(data):
    """Deserialize a snapshot.

    Parameters
    ----------
    data : bytes
        Message in the format of `encode`.

    Returns
    -------
    Snapshot
        The snapshot sent by the peer.

    Raises
    ------
    CountersFormatError
        If the message is malformed.
    """
    try:
        message = deserialize(_Message(), data, _PROTOCOL)
        return _read_snapshot(message)
    except _DECODING_ERRORS as error:
        raise CountersFormatError(
            f"malformed message of counters: {error!r}",
            "run the same version of the daemon on every instance",
        ) from error


def _read_snapshot(message):
    """Convert a Thrift structure to a snapshot."""
    names = message.names
    numbers = iter(message.numbers)
    incarnation, after, sequence = _read_counts(numbers, 3)
    rows = {}
    while indexes := list(itertools.islice(numbers, 3)):
        key = RowKey(*(names[index] for index in indexes))
        rows[key] = _read_row(numbers)
    return Snapshot(names[0], incarnation, after, sequence, rows)


def _read_counts(numbers, count):
    """Read a number of counts, each between 0 and `MAX_COUNT`."""
    values = list(itertools.islice(numbers, count))
    if len(values) < count or any(
        not 0 <= value <= MAX_COUNT for value in values
    ):
        raise ValueError(f"{values}: expected {count} counts")
    return values


def _read_row(numbers):
    """Read one row from an iterator of numbers."""
    *counts, filled = _read_counts(numbers, 5)
    buckets = [0] * BUCKET_COUNT
    for _ in range(min(filled, BUCKET_COUNT)):
        index, count = _read_counts(numbers, 2)
        buckets[index] = count
    return Row(*counts, tuple(buckets))
