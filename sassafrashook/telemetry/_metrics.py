"""Counters, gauges and histograms of one process."""

from bisect import bisect_left
from collections import defaultdict

SCRAPE_CONTENT_TYPE = "text/plain; version=1.0.0; charset=utf-8"
BUCKETS_MS = (5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800)


class Histogram:
    """Histogram of durations for one combination of attributes.

    :ivar counts_: number of durations in each bucket; ``BUCKETS_MS`` holds the inclusive upper
        bounds, and the last bucket counts all longer durations.
    :ivar sum_: sum of all durations, milliseconds.

    >>> histogram = Histogram()
    >>> histogram.record(7)
    >>> histogram.counts_[:3]
    [0, 1, 0]
    """

    __slots__ = ("counts_", "sum_")

    def __init__(self):
        self.counts_ = [0] * (len(BUCKETS_MS) + 1)
        self.sum_ = 0.0

    def record(self, duration_ms):
        """Add one duration, milliseconds."""
        self.counts_[bisect_left(BUCKETS_MS, duration_ms)] += 1
        self.sum_ += duration_ms


class Metrics:
    """Metrics of one process.

    Counters are plain integers, which makes counting cheap enough for every message; OpenTelemetry
    reads them when the page is rendered. The library is imported with the first page, so that a
    process that is never scraped doesn't use memory for it.

    :param process: name of the process, an attribute of the resource of every metric.

    :ivar totals_: counts by metric and attribute.
    :ivar histograms_: :class:`Histogram` by metric and attributes.

    >>> metrics = Metrics("router-1")
    >>> metrics.count("refusals", "queue_full")
    >>> b"sassafrashook_refusals_total" in metrics.render_page()
    True
    """

    def __init__(self, process):
        self.process = process
        self.totals_ = {}
        self.histograms_ = {}
        self._gauges = {}
        self._page = None

    def count(self, metric, attribute="", amount=1):
        """Increment a counter.

        :param metric: metric name without the prefix.
        :param attribute: value of the metric's only attribute, or empty.
        :param amount: increment.
        """
        totals = self.totals_.get(metric)
        if totals is None:
            totals = self.totals_[metric] = defaultdict(int)
            if self._page is not None:
                self._page.add_counter(metric, totals)
        totals[attribute] += amount

    def record(self, metric, kind, outcome, duration_ms):
        """Add a duration to a histogram.

        :param metric: metric name without the prefix; ends with ``_ms``.
        :param kind: kind of the operation; must have few distinct values.
        :param outcome: outcome of the operation; must have few distinct values.
        :param duration_ms: duration, milliseconds.
        """
        histograms = self.histograms_.get(metric)
        if histograms is None:
            histograms = self.histograms_[metric] = defaultdict(Histogram)
            if self._page is not None:
                self._page.add_histogram(metric, histograms)
        histograms[(kind, outcome)].record(duration_ms)

    def total(self, metric, attribute=""):
        """Return the value of a counter; 0 if it was never incremented."""
        return self.totals_.get(metric, {}).get(attribute, 0)

    def register_gauge(self, metric, read_value):
        """Register a gauge.

        :param metric: metric name without the prefix.
        :param read_value: called without arguments for every page; returns the value.
        """
        self._gauges[metric] = read_value
        if self._page is not None:
            self._page.add_gauge(metric, read_value)

    def render_page(self):
        """Return the metrics page in the Prometheus text format, ``bytes``."""
        if self._page is None:
            from sassafrashook.telemetry._page import MetricsPage

            self._page = MetricsPage(self.process)
            for metric, totals in self.totals_.items():
                self._page.add_counter(metric, totals)
            for metric, histograms in self.histograms_.items():
                self._page.add_histogram(metric, histograms)
            for metric, read_value in self._gauges.items():
                self._page.add_gauge(metric, read_value)
        return self._page.render()
