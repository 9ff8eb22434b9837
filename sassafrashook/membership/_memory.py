"""Memory of boots of upstreams that are no longer listed."""

import heapq

from sassafrashook.membership._entries import PastBoot
from sassafrashook.utils import hash_key

PAST_BOOTS_LIMIT = 64


class Memory:
    """Boots that left, expired or were displaced, each until a stored deadline.

    :param keys: the :class:`KeySet` that departures are held in, to be spread.
    :param max_boots: bound of the memory; the earliest kept is dropped first.

    Attributes:

    :ivar dead_keys_: past boots by the key of their last record.
    """

    def __init__(self, keys, max_boots):
        self.keys = keys
        self.max_boots = max_boots
        self.dead_keys_ = {}
        self._boots = {}
        self._boots_by_upstream = {}
        self._forget_heap = []

    def get(self, upstream_id, boot_id):
        """Return the :class:`PastBoot`, or ``None``."""
        return self._boots.get((upstream_id, boot_id))

    def is_superseded(self, upstream_id, address, age):
        """Return whether a newer boot of the upstream is remembered at the same address."""
        names = self._boots_by_upstream.get(upstream_id, ())
        boots = (self._boots[upstream_id, boot_id] for boot_id in names)
        return any(past.address == address and past.age > age for past in boots)

    def keep(self, entry, final, forget_at):
        """Remember a boot that was listed.

        :param entry: its :class:`Entry`.
        :param final: whether no announcement of it is ever taken again.
        """
        announcement = entry.announcement
        past = PastBoot(
            upstream_id=announcement.upstream_id,
            boot_id=announcement.boot_id,
            sequence=announcement.sequence,
            final=final,
            left_key=0,
            content_key=entry.key,
            address=entry.address,
            incarnation=announcement.incarnation,
            forget_at=forget_at,
            announcement=None if final else announcement,
        )
        self._store(past)
        self.dead_keys_[past.content_key] = past

    def mark_left(self, upstream_id, boot_id, forget_at):
        """Remember that a boot has left for good.

        :returns: the key under which the departure is spread.
        """
        past = self.get(upstream_id, boot_id)
        if past is None:
            past = PastBoot(upstream_id, boot_id, 0, True, 0, 0, (), 0, forget_at)
            self._store(past)
        past.final = True
        past.announcement = None
        past.forget_at = forget_at
        past.left_key = hash_key("left", upstream_id, boot_id)
        heapq.heappush(self._forget_heap, (forget_at, upstream_id, boot_id))
        self.keys.add(past.left_key, past)
        return past.left_key

    def drop(self, past):
        """Forget a boot."""
        del self._boots[past.upstream_id, past.boot_id]
        names = self._boots_by_upstream[past.upstream_id]
        names.remove(past.boot_id)
        if not names:
            del self._boots_by_upstream[past.upstream_id]
        self.dead_keys_.pop(past.content_key, None)
        if past.left_key:
            self.keys.discard(past.left_key)

    def forget(self, now):
        """Drop what was remembered until its deadline."""
        while self._forget_heap and self._forget_heap[0][0] <= now:
            _, upstream_id, boot_id = heapq.heappop(self._forget_heap)
            past = self.get(upstream_id, boot_id)
            if past is not None and past.forget_at <= now:
                self.drop(past)

    def next_deadline(self):
        """Return when :meth:`forget` is due, seconds, or ``None``."""
        return self._forget_heap[0][0] if self._forget_heap else None

    def _store(self, past):
        names = self._boots_by_upstream.get(past.upstream_id, ())
        if len(names) >= PAST_BOOTS_LIMIT:
            self.drop(self._boots[past.upstream_id, names[0]])
        elif len(self._boots) >= self.max_boots:
            self.drop(next(iter(self._boots.values())))
        self._boots_by_upstream.setdefault(past.upstream_id, []).append(past.boot_id)
        self._boots[past.upstream_id, past.boot_id] = past
        heapq.heappush(self._forget_heap, (past.forget_at, past.upstream_id, past.boot_id))
