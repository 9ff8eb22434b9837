"""The upstream table of one node and the rules for merging announcements into it."""

import heapq

from msgspec.structs import replace

from sassafrashook.membership._entries import MergeResult, UpstreamEntry, hash_announcement
from sassafrashook.membership._events import RemovalReason, UpstreamAnnounced, UpstreamRemoved
from sassafrashook.membership._retired_boots import RetiredBoots
from sassafrashook.membership._validation import MAX_NUMBER, is_valid_announcement, is_valid_name

# A refresh received directly from an upstream is ignored while more than this fraction of the
# validity remains.
REFRESH_THRESHOLD = 0.7
BACKLOG_REFRESH_THRESHOLD = 0.45  # used while refreshes are waiting for the byte budget
MIN_TOMBSTONE_TTL_S = 2.0


class UpstreamTable:
    """Listed upstreams by id, and retired boots that must not be listed again.

    :param keys: the :class:`KeySet` of all records and tombstones.
    :param retention_s: how long a boot that is no longer listed is retained, seconds.
    :param max_upstreams: maximum number of listed upstreams, and of retired boots.
    :param max_validity_s: upper bound of an announcement's validity, seconds.

    Attributes:

    :ivar entries_: an :class:`UpstreamEntry` for each listed upstream, by id.
    :ivar ids_by_address_: ids of the listed upstreams by host and port.
    :ivar retired_boots_: the boots that are no longer listed, a :class:`RetiredBoots`.
    :ivar overdue_ids_: ids of the upstreams whose refresh is overdue.
    :ivar refresh_threshold_: fraction of the validity above which direct refreshes are ignored.
    :ivar notifications_: actions for subscribers, not yet taken.
    """

    def __init__(self, keys, retention_s, max_upstreams, max_validity_s):
        self.keys = keys
        self.retention_s = retention_s
        self.max_upstreams = max_upstreams
        self.max_validity_s = max_validity_s
        self.entries_ = {}
        self.ids_by_address_ = {}
        self.retired_boots_ = RetiredBoots(keys, max_upstreams)
        self.overdue_ids_ = set()
        self.refresh_threshold_ = REFRESH_THRESHOLD
        self.notifications_ = []
        self._check_heap = []

    def merge(self, announcement, remaining_s, now, direct=False):
        """Merge an announcement into the table.

        :param remaining_s: remaining validity, seconds.
        :param direct: whether it came from the upstream itself, not from another node.
        :returns: a :class:`MergeResult`.
        """
        if not is_valid_announcement(announcement):
            return MergeResult.OUT_OF_BOUNDS
        if announcement.leaving:
            return self.merge_departure(
                announcement.upstream_id, announcement.boot_id, self.retention_s, now
            )
        refusal = self._check_retired(announcement)
        if refusal is not None:
            return refusal
        if announcement.valid_ms > self.max_validity_s * 1000:
            announcement = replace(announcement, valid_ms=int(self.max_validity_s * 1000))
        entry = self.entries_.get(announcement.upstream_id)
        deadline = now + min(remaining_s, announcement.valid_ms / 1000)
        if entry is not None and entry.announcement.boot_id == announcement.boot_id:
            return self._merge_same_boot(entry, announcement, deadline, now, direct)
        return self._insert(entry, announcement, deadline, now)

    def refresh(self, entry, sequence, remaining_s, now):
        """Merge a newer sequence of a listed announcement whose content is unchanged.

        :param remaining_s: remaining validity, seconds.
        :returns: a :class:`MergeResult`.
        """
        if sequence > MAX_NUMBER:
            return MergeResult.OUT_OF_BOUNDS
        if sequence <= entry.announcement.sequence:
            return MergeResult.STALE
        announcement = replace(entry.announcement, sequence=sequence)
        deadline = now + min(remaining_s, announcement.valid_ms / 1000)
        return self._update(entry, announcement, deadline, False, now)

    def merge_departure(self, upstream_id, boot_id, remaining_s, now):
        """Merge the final departure of a boot.

        :param remaining_s: remaining lifetime of the tombstone, seconds.
        :returns: a :class:`MergeResult`.
        """
        if not (is_valid_name(upstream_id) and is_valid_name(boot_id)):
            return MergeResult.OUT_OF_BOUNDS
        retired = self.retired_boots_.get(upstream_id, boot_id)
        if retired is not None and retired.tombstone_key:
            return MergeResult.STALE
        entry = self.entries_.get(upstream_id)
        is_listed = entry is not None and entry.announcement.boot_id == boot_id
        if not is_listed and retired is None and remaining_s < MIN_TOMBSTONE_TTL_S:
            return MergeResult.STALE
        if is_listed:
            self._remove(entry, RemovalReason.LEFT, now)
        expires_at = now + min(remaining_s, self.retention_s)
        self.retired_boots_.add_tombstone(upstream_id, boot_id, expires_at)
        return MergeResult.LEFT

    def restore_expired(self, key, sequence):
        """Rebuild an expired announcement from its key and a newer sequence.

        :param key: 64-bit key of the record.
        :returns: the announcement, or ``None`` if it isn't retained or may not be listed again.
        """
        retired = self.retired_boots_.boots_by_key_.get(key)
        if retired is None or retired.announcement is None or sequence <= retired.sequence:
            return None
        return replace(retired.announcement, sequence=sequence)

    def set_backlogged(self, is_backlogged):
        """Set whether refreshes are waiting for the budget, so that fewer are propagated."""
        self.refresh_threshold_ = BACKLOG_REFRESH_THRESHOLD if is_backlogged else REFRESH_THRESHOLD

    def expire(self, now):
        """Remove expired announcements and retired boots, and mark overdue refreshes."""
        while self._check_heap and self._check_heap[0][0] <= now:
            next_check_at, upstream_id = heapq.heappop(self._check_heap)
            entry = self.entries_.get(upstream_id)
            if entry is None or entry.next_check_at != next_check_at:
                continue
            if entry.deadline <= now:
                self._remove(entry, RemovalReason.EXPIRED, now)
                continue
            if entry.refresh_overdue_at() <= now:
                self.overdue_ids_.add(upstream_id)
            self._schedule_check(entry, now)
        self.retired_boots_.expire(now)

    def next_deadline(self):
        """Return when :meth:`expire` is due, seconds, or ``None``."""
        deadlines = (
            self._check_heap[0][0] if self._check_heap else None,
            self.retired_boots_.next_deadline(),
        )
        return min((deadline for deadline in deadlines if deadline is not None), default=None)

    def take_notifications(self):
        """Return and clear the pending notifications."""
        notifications, self.notifications_ = self.notifications_, []
        return notifications

    def _check_retired(self, announcement):
        retired = self.retired_boots_.get(announcement.upstream_id, announcement.boot_id)
        if retired is None:
            return None
        if retired.final:
            return MergeResult.AFTER_LEAVE if retired.tombstone_key else MergeResult.OLDER_BOOT
        if announcement.sequence <= retired.sequence:
            return MergeResult.AFTER_EXPIRY
        return None

    def _merge_same_boot(self, entry, announcement, deadline, now, direct):
        if (announcement.host, announcement.port) != entry.address:
            return self._merge_moved_boot(entry, announcement, deadline, now, direct)
        if announcement.sequence <= entry.announcement.sequence:
            return MergeResult.STALE
        is_changed = hash_announcement(announcement) != entry.key
        validity_s = announcement.valid_ms / 1000
        if (
            direct
            and not is_changed
            and entry.deadline - now > self.refresh_threshold_ * validity_s
        ):
            return MergeResult.IGNORED_REFRESH
        return self._update(entry, announcement, deadline, is_changed, now)

    def _merge_moved_boot(self, entry, announcement, deadline, now, direct):
        """Resolve two addresses of one boot: between nodes, the higher sequence wins."""
        if direct or announcement.sequence <= entry.announcement.sequence:
            return MergeResult.BOOT_AT_TWO_ADDRESSES
        self._remove(entry, RemovalReason.DISPLACED, now)
        return self._insert(None, announcement, deadline, now)

    def _update(self, entry, announcement, deadline, is_changed, now):
        assert announcement.boot_id == entry.announcement.boot_id, "refresh changed the boot id"
        assert announcement.sequence > entry.announcement.sequence, "sequence decreased"
        if is_changed:
            self.keys.discard(entry.key)
            entry.key = hash_announcement(announcement)
            self.keys.add(entry.key, entry)
        entry.announcement = announcement
        entry.deadline = deadline
        if entry.refresh_overdue_at() < entry.next_check_at:
            self._schedule_check(entry, now)
        self.overdue_ids_.discard(announcement.upstream_id)
        self.notifications_.append(UpstreamAnnounced(announcement, deadline, is_changed))
        return MergeResult.CHANGED if is_changed else MergeResult.REFRESHED

    def _insert(self, entry, announcement, deadline, now):
        if deadline <= now:
            return MergeResult.AFTER_EXPIRY
        address = (announcement.host, announcement.port)
        start_order = (announcement.incarnation, announcement.boot_id)
        if self.retired_boots_.is_superseded(announcement.upstream_id, address, start_order):
            return MergeResult.OLDER_BOOT
        if entry is not None and entry.address == address:
            if start_order < entry.start_order:
                return MergeResult.OLDER_BOOT
            self._remove(entry, RemovalReason.DISPLACED, now, final=True)
            entry = None
        holder = self.entries_.get(self.ids_by_address_.get(address))
        if entry is not None and entry.start_order < start_order:
            return MergeResult.ID_AT_TWO_ADDRESSES
        if holder is not None and holder.start_order < start_order:
            return MergeResult.ADDRESS_OF_ANOTHER
        for conflicting in (entry, holder):
            if conflicting is not None:
                self._remove(conflicting, RemovalReason.DISPLACED, now)
        if len(self.entries_) >= self.max_upstreams:
            return MergeResult.LIST_FULL
        self._add(announcement, deadline, now)
        return MergeResult.ADDED

    def _add(self, announcement, deadline, now):
        entry = UpstreamEntry(announcement, hash_announcement(announcement), deadline)
        retired = self.retired_boots_.get(announcement.upstream_id, announcement.boot_id)
        if retired is not None:
            assert not retired.final, "boot listed again after its final departure"
            assert announcement.sequence > retired.sequence, "sequence decreased"
            self.retired_boots_.remove(retired)
        self.entries_[announcement.upstream_id] = entry
        self.ids_by_address_[entry.address] = announcement.upstream_id
        self.keys.add(entry.key, entry)
        self._schedule_check(entry, now)
        self.notifications_.append(UpstreamAnnounced(announcement, deadline, True))

    def _schedule_check(self, entry, now):
        refresh_overdue_at = entry.refresh_overdue_at()
        entry.next_check_at = refresh_overdue_at if refresh_overdue_at > now else entry.deadline
        heapq.heappush(self._check_heap, (entry.next_check_at, entry.announcement.upstream_id))

    def _remove(self, entry, reason, now, final=False):
        announcement = entry.announcement
        del self.entries_[announcement.upstream_id]
        del self.ids_by_address_[entry.address]
        self.keys.discard(entry.key)
        self.overdue_ids_.discard(announcement.upstream_id)
        self.retired_boots_.retire(entry, final, now + self.retention_s)
        notification = UpstreamRemoved(announcement.upstream_id, announcement.boot_id, reason)
        self.notifications_.append(notification)
