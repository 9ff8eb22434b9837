"""Table of deadlines with removal in constant time."""

import heapq
import math

SLOT_S = 0.01  # length of a slot, seconds


class DeadlineTable:
    """Hashable items by deadline, grouped into time slots of 10 ms.

    An item comes due up to one slot late, never early.

    :ivar slots_: items of each slot, as the keys of a dictionary.
    :ivar item_slots_: slot of each item.
    :ivar heap_: heap of the slots in use, empty ones included.

    Examples
    --------
    >>> from sassafrashook.routing._deadlines import DeadlineTable
    >>> table = DeadlineTable()
    >>> table.add("a", 1.0)
    >>> table.pop_due(0.99), table.pop_due(1.02)
    ([], ['a'])
    """

    __slots__ = ("slots_", "item_slots_", "heap_")

    def __init__(self):
        self.slots_ = {}
        self.item_slots_ = {}
        self.heap_ = []

    def add(self, item, deadline):
        """Add an item, or move it to another deadline.

        :param item: hashable item.
        :param deadline: seconds.
        """
        slot = math.ceil(deadline / SLOT_S)
        current_slot = self.item_slots_.get(item)
        if current_slot == slot:
            return
        if current_slot is not None:
            self.remove(item)
        self.item_slots_[item] = slot
        items = self.slots_.get(slot)
        if items is None:
            items = self.slots_[slot] = {}
            heapq.heappush(self.heap_, slot)
        items[item] = None

    def remove(self, item):
        """Remove an item; an unknown one is ignored."""
        slot = self.item_slots_.pop(item, None)
        if slot is not None:
            del self.slots_[slot][item]

    def pop_due(self, now):
        """Remove and return the items that are due, in order of their slots.

        :param now: the current time, seconds.
        """
        due = []
        while self.heap_ and self.heap_[0] * SLOT_S <= now:
            items = self.slots_.pop(heapq.heappop(self.heap_))
            for item in items:
                del self.item_slots_[item]
            due.extend(items)
        return due

    def next_deadline(self):
        """Return the end of the earliest slot with an item, seconds, or ``None``."""
        while self.heap_ and not self.slots_[self.heap_[0]]:
            del self.slots_[heapq.heappop(self.heap_)]
        return self.heap_[0] * SLOT_S if self.heap_ else None
