"""The page of metrics, by OpenTelemetry."""

from itertools import accumulate

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import HistogramMetricFamily

from sassafrashook.telemetry._metrics import BUCKETS_MS

PREFIX = "sassafrashook"


class MetricsPage:
    """Shows numbers that are read when the page is rendered.

    :param process: name of the process, in the resource of every metric.

    >>> page = MetricsPage("router-1")
    >>> page.add_counter("refusals", {"queue_full": 2})
    >>> b"sassafrashook_refusals_total" in page.render()
    True
    """

    def __init__(self, process):
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(True, scope_info_enabled=False, registry=self._registry)
        resource = Resource({"service.name": PREFIX, "service.instance.id": process})
        provider = MeterProvider([reader], resource, shutdown_on_exit=False)
        self._meter = provider.get_meter(PREFIX)

    def add_counter(self, metric, totals):
        """Show a counter.

        :param metric: its name, without the project's prefix.
        :param totals: counts by the value of its one attribute.
        """
        self._meter.create_observable_counter(
            f"{PREFIX}_{metric}", callbacks=[lambda options: _observe(totals)]
        )

    def add_gauge(self, metric, read):
        """Show a number.

        :param read: called without arguments; returns the number.
        """
        self._meter.create_observable_gauge(
            f"{PREFIX}_{metric}", callbacks=[lambda options: [Observation(read())]]
        )

    def add_histogram(self, metric, table):
        """Show a histogram; OpenTelemetry has none that is read when the page is rendered.

        :param metric: its name, without the project's prefix.
        :param table: :class:`~sassafrashook.telemetry._metrics.Histogram` by kind and outcome.
        """
        self._registry.register(_HistogramCollector(f"{PREFIX}_{metric}", table))

    def render(self):
        """Return the page in the text format that scrapers read, ``bytes``."""
        return generate_latest(self._registry)


class _HistogramCollector:
    def __init__(self, name, table):
        self.name = name
        self.table = table

    def collect(self):
        """Yield the histograms as they are now."""
        family = HistogramMetricFamily(self.name, "duration, ms", labels=["kind", "outcome"])
        bounds = [*map(str, BUCKETS_MS), "+Inf"]
        for (kind, outcome), histogram in list(self.table.items()):
            totals = accumulate(histogram.counts_)
            buckets = list(zip(bounds, totals, strict=True))
            family.add_metric([str(kind), str(outcome)], buckets, histogram.sum_)
        yield family


def _observe(totals):
    return [
        Observation(amount, {"reason": str(reason)} if reason else None)
        for reason, amount in totals.items()
    ]
