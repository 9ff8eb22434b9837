"""Stored deadlines with cheap removal."""

import heapq
import math

SLOT_S = 0.01


class DeadlineTable:
    """Items by deadline, in slots of 10 ms; an item comes due up to one slot late, never early.

    Examples
    --------
    >>> from sassafrashook.routing._deadlines import DeadlineTable
    >>> table = DeadlineTable()
    >>> table.add("a", 1.0)
    >>> table.pop_due(0.99), table.pop_due(1.02)
    ([], ['a'])
    """

    __slots__ = ("slots_", "slot_of_", "heap_")

    def __init__(self):
        self.slots_ = {}
        self.slot_of_ = {}
        self.heap_ = []

    def add(self, item, deadline):
        """Store an item, or move it to another deadline.

        :param deadline: seconds.
        """
        slot = math.ceil(deadline / SLOT_S)
        known = self.slot_of_.get(item)
        if known == slot:
            return
        if known is not None:
            self.remove(item)
        self.slot_of_[item] = slot
        members = self.slots_.get(slot)
        if members is None:
            members = self.slots_[slot] = {}
            heapq.heappush(self.heap_, slot)
        members[item] = None

    def remove(self, item):
        """Forget an item; unknown ones are ignored."""
        slot = self.slot_of_.pop(item, None)
        if slot is not None:
            del self.slots_[slot][item]

    def pop_due(self, now):
        """Remove and return the items that are due, earliest first."""
        due = []
        while self.heap_ and self.heap_[0] * SLOT_S <= now:
            members = self.slots_.pop(heapq.heappop(self.heap_))
            for item in members:
                del self.slot_of_[item]
            due.extend(members)
        return due

    def next_deadline(self):
        """Return the earliest stored deadline, or ``None``."""
        while self.heap_ and not self.slots_[self.heap_[0]]:
            del self.slots_[heapq.heappop(self.heap_)]
        return self.heap_[0] * SLOT_S if self.heap_ else None
