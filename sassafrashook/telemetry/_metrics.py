"""Counters by OpenTelemetry, with a page in the text format that scrapers read."""

from bisect import bisect_left
from collections import defaultdict

SCRAPE_CONTENT_TYPE = "text/plain; version=1.0.0; charset=utf-8"


BUCKETS_MS = (5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800)


class Histogram:
    """Durations of one metric, for one value of its attributes.

    :ivar counts_: number of durations up to each bound of ``BUCKETS_MS``, and beyond the last.
    :ivar sum_: their sum, milliseconds.

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
        """Add one duration."""
        self.counts_[bisect_left(BUCKETS_MS, duration_ms)] += 1
        self.sum_ += duration_ms


class Metrics:
    """The counters and gauges of one process.

    Counting adds to a plain number; OpenTelemetry reads the numbers when the page is rendered,
    so that counting is cheap enough for each message. The library is loaded with the first page:
    a process that nobody scrapes does without its memory.

    :param process: name of the process, in the resource of every metric.

    :ivar totals_: counts by metric and reason.
    :ivar histograms_: :class:`Histogram` by metric and attributes.

    See also :func:`log_event`.

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

    def count(self, metric, reason="", amount=1):
        """Add to a counter.

        :param metric: its name, without the project's prefix.
        :param reason: the reason or kind that is the metric's one attribute, or empty.
        """
        totals = self.totals_.get(metric)
        if totals is None:
            totals = self.totals_[metric] = defaultdict(int)
            if self._page is not None:
                self._page.add_counter(metric, totals)
        totals[reason] += amount

    def record(self, metric, kind, outcome, duration_ms):
        """Add a duration to a histogram.

        :param metric: its name, without the project's prefix; it ends with ``_ms``.
        :param kind: kind of the request, one of a few values.
        :param outcome: one of a few values.
        """
        table = self.histograms_.get(metric)
        if table is None:
            table = self.histograms_[metric] = defaultdict(Histogram)
            if self._page is not None:
                self._page.add_histogram(metric, table)
        table[(kind, outcome)].record(duration_ms)

    def total(self, metric, reason=""):
        """Return one count; 0 if nothing was counted."""
        return self.totals_.get(metric, {}).get(reason, 0)

    def observe(self, metric, read):
        """Show a number that is read when the page is.

        :param read: called without arguments; returns the number.
        """
        self._gauges[metric] = read
        if self._page is not None:
            self._page.add_gauge(metric, read)

    def render_page(self):
        """Return the scrape page, ``bytes``."""
        if self._page is None:
            from sassafrashook.telemetry._page import MetricsPage

            self._page = MetricsPage(self.process)
            for metric, totals in self.totals_.items():
                self._page.add_counter(metric, totals)
            for metric, table in self.histograms_.items():
                self._page.add_histogram(metric, table)
            for metric, read in self._gauges.items():
                self._page.add_gauge(metric, read)
        return self._page.render()
