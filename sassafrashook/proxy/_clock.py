"""The two clocks that a request handler reads."""

import time
from abc import ABC, abstractmethod

__all__ = ["Clock", "SystemClock"]


class Clock(ABC):
    """Base of clocks, so that tests can hand in their own."""

    @abstractmethod
    def monotonic(self):
        """Return seconds of a clock that never jumps."""

    @abstractmethod
    def unix_ms(self):
        """Return the wall clock, milliseconds since 1970."""


class SystemClock(Clock):
    """The clocks of this host."""

    monotonic = staticmethod(time.monotonic)

    def unix_ms(self):
        """Return the wall clock, milliseconds since 1970."""
        return time.time_ns() // 1_000_000
