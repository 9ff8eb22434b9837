"""State charts in YAML files, and their interpreter."""

from sassafrashook.charts._chart import Chart, ChartError, ChartState, TransitionError, load_chart

CHART_NAMES = ("connection", "process", "request", "upstream", "zone")

__all__ = ["CHART_NAMES", "Chart", "ChartError", "ChartState", "TransitionError", "load_chart"]
