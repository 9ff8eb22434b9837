"""State charts in YAML files, and their interpreter.

The charts specify life cycles. Only the tests of this package run them: the state machines of the
other packages are written out in code.
"""

from sassafrashook.charts._chart import Chart, ChartError, ChartState, TransitionError, load_chart

CHART_NAMES = ("connection", "process", "request", "upstream", "zone")

__all__ = ["CHART_NAMES", "Chart", "ChartError", "ChartState", "TransitionError", "load_chart"]
