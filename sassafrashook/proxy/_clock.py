"""Monotonic and wall clocks for request handling."""

import time
from abc import ABC, abstractmethod

__all__ = ["Clock", "SystemClock"]


class Clock(ABC):
    """Source of time; tests substitute their own."""

    @abstractmethod
    def monotonic(self):
        """Return the monotonic time in seconds."""

    @abstractmethod
    def unix_ms(self):
        """Return the wall-clock time in milliseconds since the Unix epoch."""


class SystemClock(Clock):
    """Clocks of the operating system."""

    monotonic = staticmethod(time.monotonic)

    def unix_ms(self):
        """Return the wall-clock time in milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000
