"""The list of upstreams of one node, and the rules by which announcements enter it."""

import heapq

from msgspec.structs import replace

from sassafrashook.membership._entries import Admission, Entry, hash_announcement
from sassafrashook.membership._events import DepartureReason, UpstreamLeft, UpstreamSeen
from sassafrashook.membership._limits import NUMBER_LIMIT, is_announcement, is_text
from sassafrashook.membership._memory import Memory

REFRESH_SHARE = 0.7  # of the validity: with more than this left, a refresh is not spread
LOADED_REFRESH_SHARE = 0.45  # the same while refreshes wait for the budget
SHORTEST_MEMORY_S = 2.0


class Directory:
    """Upstreams by id, with the memory of those that left or expired.

    :param keys: the :class:`KeySet` that listed records and departures are held in.
    :param memory_s: how long a boot that is no longer listed is remembered, seconds.
    :param max_upstreams: bound of the list and of the memory.
    :param max_valid_s: bound of an announcement's validity, seconds.
    """

    def __init__(self, keys, memory_s, max_upstreams, max_valid_s):
        self.keys = keys
        self.memory_s = memory_s
        self.max_upstreams = max_upstreams
        self.max_valid_s = max_valid_s
        self.live_ = {}
        self.ids_by_address_ = {}
        self.memory_ = Memory(keys, max_upstreams)
        self.lagging_ = set()
        self.refresh_share_ = REFRESH_SHARE
        self.notices_ = []
        self._wakes = []

    def admit(self, announcement, remaining_s, now, direct=False):
        """Take in an announcement if the rules allow it.

        :param remaining_s: how much longer it holds, seconds.
        :param direct: whether the upstream itself told it to this node.
        :returns: an :class:`Admission`.
        """
        if not is_announcement(announcement):
            return Admission.OUT_OF_BOUNDS
        if announcement.leaving:
            return self.leave(announcement.upstream_id, announcement.boot_id, self.memory_s, now)
        refusal = self._check_past(announcement)
        if refusal is not None:
            return refusal
        if announcement.valid_ms > self.max_valid_s * 1000:
            announcement = replace(announcement, valid_ms=int(self.max_valid_s * 1000))
        entry = self.live_.get(announcement.upstream_id)
        deadline = now + min(remaining_s, announcement.valid_ms / 1000)
        if entry is not None and entry.announcement.boot_id == announcement.boot_id:
            return self._renew(entry, announcement, deadline, now, direct)
        return self._insert(entry, announcement, deadline, now)

    def refresh(self, entry, sequence, remaining_s, now):
        """Take in a newer sequence of unchanged content.

        :returns: an :class:`Admission`.
        """
        if sequence > NUMBER_LIMIT:
            return Admission.OUT_OF_BOUNDS
        if sequence <= entry.announcement.sequence:
            return Admission.STALE
        announcement = replace(entry.announcement, sequence=sequence)
        deadline = now + min(remaining_s, announcement.valid_ms / 1000)
        return self._update(entry, announcement, deadline, False, now)

    def leave(self, upstream_id, boot_id, remaining_s, now):
        """Note that a boot has left for good.

        :param remaining_s: how much longer this is to be remembered, seconds.
        :returns: an :class:`Admission`.
        """
        if not (is_text(upstream_id) and is_text(boot_id)):
            return Admission.OUT_OF_BOUNDS
        past = self.memory_.get(upstream_id, boot_id)
        if past is not None and past.left_key:
            return Admission.STALE
        entry = self.live_.get(upstream_id)
        is_listed = entry is not None and entry.announcement.boot_id == boot_id
        if not is_listed and past is None and remaining_s < SHORTEST_MEMORY_S:
            return Admission.STALE
        if is_listed:
            self._remove(entry, DepartureReason.LEFT, now)
        forget_at = now + min(remaining_s, self.memory_s)
        self.memory_.mark_left(upstream_id, boot_id, forget_at)
        return Admission.LEFT

    def revive(self, key, sequence):
        """Return the announcement that a newer sequence makes of one that has expired.

        :param key: 64-bit key of the record.
        :returns: the announcement, or ``None`` if it isn't remembered or may not come back.
        """
        past = self.memory_.dead_keys_.get(key)
        if past is None or past.announcement is None or sequence <= past.sequence:
            return None
        return replace(past.announcement, sequence=sequence)

    def set_load(self, is_loaded):
        """Spread fewer refreshes while many wait for the budget."""
        self.refresh_share_ = LOADED_REFRESH_SHARE if is_loaded else REFRESH_SHARE

    def expire(self, now):
        """Drop announcements whose deadline has passed, and what was remembered long enough."""
        while self._wakes and self._wakes[0][0] <= now:
            wake_at, upstream_id = heapq.heappop(self._wakes)
            entry = self.live_.get(upstream_id)
            if entry is None or entry.wake_at != wake_at:
                continue
            if entry.deadline <= now:
                self._remove(entry, DepartureReason.EXPIRED, now)
                continue
            if entry.lag_deadline() <= now:
                self.lagging_.add(upstream_id)
            self._schedule(entry, now)
        self.memory_.forget(now)

    def next_deadline(self):
        """Return when :meth:`expire` is due, seconds, or ``None``."""
        deadlines = (self._wakes[0][0] if self._wakes else None, self.memory_.next_deadline())
        return min((deadline for deadline in deadlines if deadline is not None), default=None)

    def take_notices(self):
        """Return the notifications since the last call."""
        notices, self.notices_ = self.notices_, []
        return notices

    def _check_past(self, announcement):
        past = self.memory_.get(announcement.upstream_id, announcement.boot_id)
        if past is None:
            return None
        if past.final:
            return Admission.AFTER_LEAVE if past.left_key else Admission.OLDER_BOOT
        if announcement.sequence <= past.sequence:
            return Admission.AFTER_EXPIRY
        return None

    def _renew(self, entry, announcement, deadline, now, direct):
        if (announcement.host, announcement.port) != entry.address:
            return self._move(entry, announcement, deadline, now, direct)
        if announcement.sequence <= entry.announcement.sequence:
            return Admission.STALE
        changed = hash_announcement(announcement) != entry.key
        valid_s = announcement.valid_ms / 1000
        if direct and not changed and entry.deadline - now > self.refresh_share_ * valid_s:
            return Admission.COALESCED
        return self._update(entry, announcement, deadline, changed, now)

    def _move(self, entry, announcement, deadline, now, direct):
        """Settle between nodes which address of one boot is listed: the one announced longer."""
        if direct or announcement.sequence <= entry.announcement.sequence:
            return Admission.BOOT_AT_TWO_ADDRESSES
        self._remove(entry, DepartureReason.DISPLACED, now)
        return self._insert(None, announcement, deadline, now)

    def _update(self, entry, announcement, deadline, changed, now):
        assert announcement.boot_id == entry.announcement.boot_id, "boot changed by a refresh"
        assert announcement.sequence > entry.announcement.sequence, "sequence went back"
        if changed:
            self.keys.discard(entry.key)
            entry.key = hash_announcement(announcement)
            self.keys.add(entry.key, entry)
        entry.announcement = announcement
        entry.deadline = deadline
        if entry.lag_deadline() < entry.wake_at:
            self._schedule(entry, now)
        self.lagging_.discard(announcement.upstream_id)
        self.notices_.append(UpstreamSeen(announcement, deadline, changed))
        return Admission.CHANGED if changed else Admission.REFRESHED

    def _insert(self, entry, announcement, deadline, now):
        if deadline <= now:
            return Admission.AFTER_EXPIRY
        address = (announcement.host, announcement.port)
        age = (announcement.incarnation, announcement.boot_id)
        if self.memory_.is_superseded(announcement.upstream_id, address, age):
            return Admission.OLDER_BOOT
        if entry is not None and entry.address == address:
            if age < entry.age:
                return Admission.OLDER_BOOT
            self._remove(entry, DepartureReason.DISPLACED, now, final=True)
            entry = None
        holder = self.live_.get(self.ids_by_address_.get(address))
        if entry is not None and entry.age < age:
            return Admission.ID_AT_TWO_ADDRESSES
        if holder is not None and holder.age < age:
            return Admission.ADDRESS_OF_ANOTHER
        for rival in (entry, holder):
            if rival is not None:
                self._remove(rival, DepartureReason.DISPLACED, now)
        if len(self.live_) >= self.max_upstreams:
            return Admission.LIST_FULL
        self._add(announcement, deadline, now)
        return Admission.ADDED

    def _add(self, announcement, deadline, now):
        entry = Entry(announcement, hash_announcement(announcement), deadline)
        past = self.memory_.get(announcement.upstream_id, announcement.boot_id)
        if past is not None:
            assert not past.final, "a boot came back that was gone for good"
            assert announcement.sequence > past.sequence, "sequence went back"
            self.memory_.drop(past)
        self.live_[announcement.upstream_id] = entry
        self.ids_by_address_[entry.address] = announcement.upstream_id
        self.keys.add(entry.key, entry)
        self._schedule(entry, now)
        self.notices_.append(UpstreamSeen(announcement, deadline, True))

    def _schedule(self, entry, now):
        lag_deadline = entry.lag_deadline()
        entry.wake_at = lag_deadline if lag_deadline > now else entry.deadline
        heapq.heappush(self._wakes, (entry.wake_at, entry.announcement.upstream_id))

    def _remove(self, entry, reason, now, final=False):
        announcement = entry.announcement
        del self.live_[announcement.upstream_id]
        del self.ids_by_address_[entry.address]
        self.keys.discard(entry.key)
        self.lagging_.discard(announcement.upstream_id)
        self.memory_.keep(entry, final, now + self.memory_s)
        notice = UpstreamLeft(announcement.upstream_id, announcement.boot_id, reason)
        self.notices_.append(notice)
