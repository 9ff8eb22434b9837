"""Structured logging of one key=value line per event, and OpenTelemetry metrics."""

from sassafrashook.telemetry._logs import configure_logs, is_sampled, log_event, register_log_gauge
from sassafrashook.telemetry._metrics import SCRAPE_CONTENT_TYPE, Metrics

__all__ = [
    "SCRAPE_CONTENT_TYPE",
    "Metrics",
    "configure_logs",
    "is_sampled",
    "log_event",
    "register_log_gauge",
]
