"""State charts in YAML files, and the interpreter that runs them."""

from sassafrashook.charts._chart import Chart, ChartError, ChartState, TransitionError, load_chart

CHART_NAMES = ("connection", "process", "request", "upstream", "zone")

__all__ = ["CHART_NAMES", "Chart", "ChartError", "ChartState", "TransitionError", "load_chart"]
