"""Counters by OpenTelemetry, with a page in the text format that scrapers read."""

from collections import defaultdict

SCRAPE_CONTENT_TYPE = "text/plain; version=1.0.0; charset=utf-8"


class Metrics:
    """The counters and gauges of one process.

    Counting adds to a plain number; OpenTelemetry reads the numbers when the page is rendered,
    so that counting is cheap enough for each message. The library is loaded with the first page:
    a process that nobody scrapes does without its memory.

    :param process: name of the process, in the resource of every metric.

    :ivar totals_: counts by metric and reason.

    See also :func:`log_event`.

    >>> metrics = Metrics("router-1")
    >>> metrics.count("refusals", "queue_full")
    >>> b"sassafrashook_refusals_total" in metrics.render_page()
    True
    """

    def __init__(self, process):
        self.process = process
        self.totals_ = {}
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
            for metric, read in self._gauges.items():
                self._page.add_gauge(metric, read)
        return self._page.render()
