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
_OTHER = "other"
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
    """What is timed, from the arrival of a request."""

    WHOLE = "whole"
    FIRST = "first"


class MalformedHistogramError(ValueError):
    """An encoded histogram cannot be read."""


@attrs.frozen
class HistogramRecord:
    """One histogram at one moment.

    Parameters
    ----------
    account : str
        Name of the client account.
    request_class : str
        Value of the RequestClass.
    count : int
        Requests recorded.
    p50_us, p95_us, p99_us, max_us : int
        Percentiles and the highest value, in microseconds, to two
        significant figures.
    encoded : str
        The whole histogram in the HdrHistogram V2 encoding, base64.
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
    """Records latencies from any thread.

    Notes
    -----
    At most 1024 series are kept; further client accounts share the name
    ``other``. Values from 1 microsecond to 600 seconds are told apart;
    those outside count as the nearest.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._series = {}

    def record(
        self, account, request_class, latency_us, measure=Measure.WHOLE
    ):
        """Record one request.

        Parameters
        ----------
        account : str
            Name of the client account.
        request_class : state.environment.RequestClass
            Its class.
        latency_us : float
            Time from arrival to the whole or first answer, in microseconds.
        measure : Measure
            Which of the two it is.
        """
        value_us = max(_LOWEST_US, min(_HIGHEST_US, round(latency_us)))
        with self._lock:
            series = self._get_series(
                account, request_class.value, measure.value
            )
            series.record_value(value_us)

    def snapshot(self):
        """Return a HistogramRecord of each series, sorted by name."""
        with self._lock:
            return tuple(
                _make_record(*name, self._series[name])
                for name in sorted(self._series)
            )

    def _get_series(self, account, request_class, measure):
        """Return the histogram of a series, made when it is new."""
        name = account, request_class, measure
        if name not in self._series and len(self._series) >= _MAX_SERIES:
            name = _OTHER, request_class, measure
        return self._series.setdefault(name, _make_histogram())


def merge_records(records):
    """Merge records of several instances.

    Parameters
    ----------
    records : iterable of HistogramRecord
        In any order.

    Returns
    -------
    tuple of HistogramRecord
        One for each client account, class and measure, sorted by name.

    Raises
    ------
    MalformedHistogramError
        When an encoded histogram cannot be read.
    """
    merged = {}
    for record in records:
        name = record.account, record.request_class, record.measure
        series = merged.setdefault(name, _make_histogram())
        series.add(_decode(record.encoded))
    return tuple(_make_record(*name, merged[name]) for name in sorted(merged))


def _make_histogram():
    """Return an empty histogram of the common range."""
    return histogram.HdrHistogram(
        _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_FIGURES
    )


def _decode(encoded):
    """Return the histogram in an encoded text."""
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
    """Refuse a histogram that is not of the common range."""
    seen = (
        header.lowest_trackable_value,
        header.highest_trackable_value,
        header.significant_figures,
    )
    if seen != (_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_FIGURES):
        raise MalformedHistogramError("the histogram has another range")


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
