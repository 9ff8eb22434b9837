"""Queue of the events of a simulation, in the order of simulated time."""

import heapq
import itertools


class EventQueue:
    """Runs actions at simulated times; actions of the same time run in the order scheduled.

    :ivar now: current time, in simulated seconds.
    """

    def __init__(self):
        self.now = 0.0
        self._numbers = itertools.count()
        self._events = []

    def schedule(self, delay_s, action, *arguments):
        """Schedule ``action(*arguments)`` after a delay, in simulated seconds."""
        event = (self.now + delay_s, next(self._numbers), action, arguments)
        heapq.heappush(self._events, event)

    def run_until(self, end):
        """Run the actions due before a time, in simulated seconds, and those that they schedule."""
        while self._events and self._events[0][0] < end:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
