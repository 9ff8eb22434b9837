"""Counters by OpenTelemetry, with a page in the text format that scrapers read."""

from collections import defaultdict

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

SCRAPE_CONTENT_TYPE = CONTENT_TYPE_LATEST


class Metrics:
    """The counters and gauges of one process.

    Counting adds to a plain number; OpenTelemetry reads the numbers when the page is rendered,
    so that counting is cheap enough for each message.

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
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(True, scope_info_enabled=False, registry=self._registry)
        resource = Resource({"service.name": "sassafrashook", "service.instance.id": process})
        provider = MeterProvider([reader], resource, shutdown_on_exit=False)
        self._meter = provider.get_meter("sassafrashook")

    def count(self, metric, reason="", amount=1):
        """Add to a counter.

        :param metric: its name, without the project's prefix.
        :param reason: the reason or kind that is the metric's one attribute, or empty.
        """
        totals = self.totals_.get(metric)
        if totals is None:
            totals = self.totals_[metric] = defaultdict(int)
            self._meter.create_observable_counter(
                f"sassafrashook_{metric}", callbacks=[lambda options: _observe(totals)]
            )
        totals[reason] += amount

    def total(self, metric, reason=""):
        """Return one count; 0 if nothing was counted."""
        return self.totals_.get(metric, {}).get(reason, 0)

    def observe(self, metric, read):
        """Show a number that is read when the page is.

        :param read: called without arguments; returns the number.
        """
        self._meter.create_observable_gauge(
            f"sassafrashook_{metric}", callbacks=[lambda options: [Observation(read())]]
        )

    def render_page(self):
        """Return the scrape page, ``bytes``."""
        return generate_latest(self._registry)


def _observe(totals):
    return [
        Observation(amount, {"reason": str(reason)} if reason else None)
        for reason, amount in totals.items()
    ]
