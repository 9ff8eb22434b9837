"""Boots of upstreams that are no longer listed, retained to refuse late announcements."""

import heapq

from sassafrashook.membership._entries import RetiredBoot
from sassafrashook.utils import hash_key

MAX_BOOTS_PER_UPSTREAM = 64


class RetiredBoots:
    """Boots that left, expired or were displaced, each retained until its deadline.

    :param keys: the :class:`KeySet` of all records, to which tombstones are added.
    :param max_retired_boots: maximum number of boots; the oldest is evicted first.

    Attributes:

    :ivar boots_by_key_: retired boots by the key of their last record.
    """

    def __init__(self, keys, max_retired_boots):
        self.keys = keys
        self.max_retired_boots = max_retired_boots
        self.boots_by_key_ = {}
        self._boots = {}
        self._boots_by_upstream = {}
        self._expiry_heap = []

    def get(self, upstream_id, boot_id):
        """Return the :class:`RetiredBoot`, or ``None``."""
        return self._boots.get((upstream_id, boot_id))

    def is_superseded(self, upstream_id, address, start_order):
        """Return whether a newer boot of the upstream has been retired at the same address.

        :param address: host and port.
        :param start_order: :attr:`UpstreamEntry.start_order` of the boot in question.
        """
        boot_ids = self._boots_by_upstream.get(upstream_id, ())
        boots = (self._boots[upstream_id, boot_id] for boot_id in boot_ids)
        return any(
            retired.address == address and retired.start_order > start_order for retired in boots
        )

    def retire(self, entry, final, expires_at):
        """Retain a boot that is no longer listed.

        :param entry: its :class:`UpstreamEntry`.
        :param final: whether all further announcements of it are refused.
        :param expires_at: when it is removed, seconds.
        """
        announcement = entry.announcement
        retired = RetiredBoot(
            upstream_id=announcement.upstream_id,
            boot_id=announcement.boot_id,
            sequence=announcement.sequence,
            final=final,
            tombstone_key=0,
            record_key=entry.key,
            address=entry.address,
            incarnation=announcement.incarnation,
            expires_at=expires_at,
            announcement=None if final else announcement,
        )
        self._store(retired)
        self.boots_by_key_[retired.record_key] = retired

    def add_tombstone(self, upstream_id, boot_id, expires_at):
        """Mark a boot as having left, and add its tombstone to the key set.

        :param expires_at: when the tombstone is removed, seconds.
        :returns: the key of the tombstone.
        """
        retired = self.get(upstream_id, boot_id)
        if retired is None:
            retired = RetiredBoot(upstream_id, boot_id, 0, True, 0, 0, (), 0, expires_at)
            self._store(retired)
        retired.final = True
        retired.announcement = None
        retired.expires_at = expires_at
        retired.tombstone_key = hash_key("left", upstream_id, boot_id)
        heapq.heappush(self._expiry_heap, (expires_at, upstream_id, boot_id))
        self.keys.add(retired.tombstone_key, retired)
        return retired.tombstone_key

    def remove(self, retired):
        """Remove a boot and its tombstone."""
        del self._boots[retired.upstream_id, retired.boot_id]
        boot_ids = self._boots_by_upstream[retired.upstream_id]
        boot_ids.remove(retired.boot_id)
        if not boot_ids:
            del self._boots_by_upstream[retired.upstream_id]
        self.boots_by_key_.pop(retired.record_key, None)
        if retired.tombstone_key:
            self.keys.discard(retired.tombstone_key)

    def expire(self, now):
        """Remove the boots whose deadline has passed."""
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            _, upstream_id, boot_id = heapq.heappop(self._expiry_heap)
            retired = self.get(upstream_id, boot_id)
            if retired is not None and retired.expires_at <= now:
                self.remove(retired)

    def next_deadline(self):
        """Return when :meth:`expire` is due, seconds, or ``None``."""
        return self._expiry_heap[0][0] if self._expiry_heap else None

    def _store(self, retired):
        boot_ids = self._boots_by_upstream.get(retired.upstream_id, ())
        if len(boot_ids) >= MAX_BOOTS_PER_UPSTREAM:
            self.remove(self._boots[retired.upstream_id, boot_ids[0]])
        elif len(self._boots) >= self.max_retired_boots:
            self.remove(next(iter(self._boots.values())))
        self._boots_by_upstream.setdefault(retired.upstream_id, []).append(retired.boot_id)
        self._boots[retired.upstream_id, retired.boot_id] = retired
        heapq.heappush(
            self._expiry_heap, (retired.expires_at, retired.upstream_id, retired.boot_id)
        )
