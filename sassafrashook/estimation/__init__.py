"""Estimates of how long work takes at each upstream now, and of first events. Without I/O."""

from sassafrashook.estimation._first_event import FirstEventModel
from sassafrashook.estimation._speed import SpeedEstimate

__all__ = ["FirstEventModel", "SpeedEstimate"]
