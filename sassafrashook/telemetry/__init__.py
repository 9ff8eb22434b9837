"""Logs of one key=value line an event, and counters by OpenTelemetry."""

from sassafrashook.telemetry._logs import configure_logs, log_event
from sassafrashook.telemetry._metrics import Metrics

__all__ = ["Metrics", "configure_logs", "log_event"]
