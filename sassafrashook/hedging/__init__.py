"""Second attempts for slow requests that may run more than once, within an operators' limit."""

from sassafrashook.hedging._durations import DurationHistogram
from sassafrashook.hedging._policy import HedgingLimits, HedgingPolicy

__all__ = ["DurationHistogram", "HedgingLimits", "HedgingPolicy"]
