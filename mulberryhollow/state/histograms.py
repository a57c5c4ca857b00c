"""Latency histograms per client account and request class."""

import enum
import threading
import zlib

import attrs
from hdrh import codec
from hdrh import histogram

__all__ = [
    "HistogramRecord",
    "LatencyHistograms",
    "MalformedHistogramError",
    "Measure",
    "merge_records",
]

_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_SIGNIFICANT_FIGURES = 2
_MAX_SERIES = 1024
_OVERFLOW_ACCOUNT = "other"
_PERCENTILES = (50.0, 95.0, 99.0)
_DECODING_ERRORS = (
    codec.HdrCookieException,
    codec.HdrHistogramSettingsException,
    codec.HdrLengthException,
    AssertionError,
    IndexError,
    RuntimeError,
    ValueError,
    zlib.error,
)


class Measure(enum.Enum):
    """Latency that is measured from the arrival of a request.

    ``WHOLE`` ends with the complete answer, ``FIRST`` with its first part.
    """

    WHOLE = "whole"
    FIRST = "first"


class MalformedHistogramError(ValueError):
    """An encoded histogram cannot be decoded."""


@attrs.frozen
class HistogramRecord:
    """Snapshot of one latency histogram.

    Parameters
    ----------
    account : str
        Name of the client account.
    request_class : str
        Value of the RequestClass.
    count : int
        Number of recorded requests.
    p50_us, p95_us, p99_us, max_us : int
        Percentiles and maximum, in microseconds, to two significant figures.
    encoded : str
        Complete histogram in the HdrHistogram V2 encoding, base64.
    measure : str
        Value of the Measure.
    """

    account: str
    request_class: str
    count: int
    p50_us: int
    p95_us: int
    p99_us: int
    max_us: int
    encoded: str
    measure: str = Measure.WHOLE.value


class LatencyHistograms:
    """Thread-safe latency histograms, one per series.

    A series is a client account, request class and measure.

    Notes
    -----
    At most 1024 series are kept for named client accounts; further accounts
    share the name ``other``. The range is 1 microsecond to 600 seconds;
    latencies outside the range are clamped to it.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._series = {}

    def record(
        self, account, request_class, latency_us, measure=Measure.WHOLE
    ):
        """Record the latency of one request.

        Parameters
        ----------
        account : str
            Name of the client account.
        request_class : state.environment.RequestClass
            Class of the request.
        latency_us : float
            Time from the arrival of the request to the complete answer or to
            its first part, in microseconds.
        measure : Measure
            Which of the two latencies is recorded.
        """
        value_us = max(_LOWEST_US, min(_HIGHEST_US, round(latency_us)))
        with self._lock:
            series = self._get_series(
                account, request_class.value, measure.value
            )
            series.record_value(value_us)

    def snapshot(self):
        """Return a tuple with a HistogramRecord per series, sorted."""
        with self._lock:
            return tuple(
                _make_record(*name, self._series[name])
                for name in sorted(self._series)
            )

    def _get_series(self, account, request_class, measure):
        """Return the histogram of a series, created on first use."""
        name = account, request_class, measure
        if name not in self._series and len(self._series) >= _MAX_SERIES:
            name = _OVERFLOW_ACCOUNT, request_class, measure
        return self._series.setdefault(name, _make_histogram())


def merge_records(records):
    """Merge records of several instances.

    Parameters
    ----------
    records : iterable of HistogramRecord
        Records in any order.

    Returns
    -------
    tuple of HistogramRecord
        One record per client account, request class and measure, sorted.

    Raises
    ------
    MalformedHistogramError
        If an encoded histogram cannot be decoded.
    """
    merged = {}
    for record in records:
        name = record.account, record.request_class, record.measure
        series = merged.setdefault(name, _make_histogram())
        series.add(_decode(record.encoded))
    return tuple(_make_record(*name, merged[name]) for name in sorted(merged))


def _make_histogram():
    """Return an empty histogram with the common range and precision."""
    return histogram.HdrHistogram(
        _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_FIGURES
    )


def _decode(encoded):
    """Decode a histogram."""
    try:
        payload = codec.HdrHistogramEncoder.decode(encoded)
        _check_range(payload.payload)
        return histogram.HdrHistogram(
            _LOWEST_US,
            _HIGHEST_US,
            _SIGNIFICANT_FIGURES,
            hdr_payload=payload,
        )
    except _DECODING_ERRORS as error:
        raise MalformedHistogramError(str(error)) from error


def _check_range(header):
    """Raise an error for a histogram of another range or precision."""
    seen = (
        header.lowest_trackable_value,
        header.highest_trackable_value,
        header.significant_figures,
    )
    if seen != (_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_FIGURES):
        raise MalformedHistogramError(
            "the histogram has an unsupported range or precision"
        )


def _make_record(account, request_class, measure, series):
    """Return the record of a histogram."""
    percentiles = series.get_percentile_to_value_dict(_PERCENTILES)
    return HistogramRecord(
        account,
        request_class,
        series.total_count,
        *(percentiles[each] for each in _PERCENTILES),
        series.get_max_value(),
        series.encode().decode("ascii"),
        measure,
    )
