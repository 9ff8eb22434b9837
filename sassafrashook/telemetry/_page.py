"""Rendering of the metrics page with OpenTelemetry."""

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
    """Metrics page whose values are read when it is rendered.

    :param process: name of the process, an attribute of the resource of every metric.

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
        """Add a counter.

        :param metric: metric name without the prefix.
        :param totals: mapping from the value of the metric's only attribute to the count.
        """
        self._meter.create_observable_counter(
            f"{PREFIX}_{metric}", callbacks=[lambda options: _make_observations(totals)]
        )

    def add_gauge(self, metric, read_value):
        """Add a gauge.

        :param metric: metric name without the prefix.
        :param read_value: called without arguments for every page; returns the value.
        """
        self._meter.create_observable_gauge(
            f"{PREFIX}_{metric}", callbacks=[lambda options: [Observation(read_value())]]
        )

    def add_histogram(self, metric, histograms):
        """Add a histogram.

        It bypasses OpenTelemetry, which has no histogram with values read by a callback.

        :param metric: metric name without the prefix.
        :param histograms: mapping from kind and outcome to a
            :class:`~sassafrashook.telemetry._metrics.Histogram`.
        """
        self._registry.register(_HistogramCollector(f"{PREFIX}_{metric}", histograms))

    def render(self):
        """Return the page in the Prometheus text format, ``bytes``."""
        return generate_latest(self._registry)


class _HistogramCollector:
    def __init__(self, name, histograms):
        self.name = name
        self.histograms = histograms

    def collect(self):
        """Yield the metric family with the current values."""
        family = HistogramMetricFamily(self.name, "duration, ms", labels=["kind", "outcome"])
        bounds = [*map(str, BUCKETS_MS), "+Inf"]
        for (kind, outcome), histogram in list(self.histograms.items()):
            cumulative_counts = accumulate(histogram.counts_)
            buckets = list(zip(bounds, cumulative_counts, strict=True))
            family.add_metric([str(kind), str(outcome)], buckets, histogram.sum_)
        yield family


def _make_observations(totals):
    return [
        Observation(amount, {"reason": str(reason)} if reason else None)
        for reason, amount in totals.items()
    ]
