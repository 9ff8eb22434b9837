"""Merges received records into the tables and queues new information for gossip."""

from sassafrashook.membership._entries import MergeResult, UpstreamEntry, hash_announcement
from sassafrashook.membership._messages import RecordsWanted
from sassafrashook.membership._peers import PeerMergeResult

REFUSED_KEY_TTL_S = 10.0
REQUEST_INTERVAL_S = 0.5
MAX_MESSAGE_KEYS = 80
PROPAGATED_RESULTS = (MergeResult.ADDED, MergeResult.CHANGED)
UNCOUNTED_RESULTS = (*PROPAGATED_RESULTS, MergeResult.REFRESHED, MergeResult.LEFT)
OUTDATED_RESULTS = (MergeResult.AFTER_LEAVE, MergeResult.OLDER_BOOT)
CONFLICT_RESULTS = (
    MergeResult.ID_AT_TWO_ADDRESSES,
    MergeResult.BOOT_AT_TWO_ADDRESSES,
    MergeResult.ADDRESS_OF_ANOTHER,
)
REFUSED_RESULTS = (
    *OUTDATED_RESULTS,
    *CONFLICT_RESULTS,
    MergeResult.LIST_FULL,
    MergeResult.OUT_OF_BOUNDS,
)


class RecordMerger:
    """Merges records into the tables of a :class:`MembershipCore`.

    :param core: the core that owns this object.

    Attributes:

    :ivar refused_until_: time before which a refused record isn't requested, by key, seconds.
    :ivar retry_at_: earliest time of the next request for a requested record, by key, seconds.
    """

    def __init__(self, core):
        self.core = core
        self.refused_until_ = {}
        self.retry_at_ = {}

    def merge_upstream(self, announcement, remaining_s, now, direct=False):
        """Merge an announcement, and propagate it if it is new.

        :param remaining_s: remaining validity, seconds.
        :param direct: whether it came from the upstream itself, not from another node.
        :returns: a :class:`MergeResult`.
        """
        result = self.core.upstreams_.merge(announcement, remaining_s, now, direct)
        entry = self.core.upstreams_.entries_.get(announcement.upstream_id)
        if result is MergeResult.LEFT:
            self._propagate_departure(announcement.upstream_id, announcement.boot_id, now)
        elif result in PROPAGATED_RESULTS:
            self._propagate(entry.key, now)
        elif result is MergeResult.REFRESHED:
            self.core.rumors_.add_refresh(entry.key)
        is_duplicate = result is MergeResult.STALE and not direct
        if result not in UNCOUNTED_RESULTS and not is_duplicate:
            self.core.count("membership_announcement_refused", result)
        return result

    def merge_refresh(self, entry, refresh, delay_s, now):
        """Merge a newer sequence of a listed upstream.

        :param delay_s: estimated delay of the message, seconds.
        :returns: a :class:`MergeResult`.
        """
        remaining_s = refresh.remaining_ms / 1000 - delay_s
        if remaining_s <= 0:
            return MergeResult.STALE
        result = self.core.upstreams_.refresh(entry, refresh.sequence, remaining_s, now)
        if result is MergeResult.REFRESHED:
            self.core.rumors_.add_refresh(entry.key)
        elif refresh.sequence == entry.announcement.sequence:
            self.core.rumors_.record_duplicate(entry.key)
        return result

    def merge_departure(self, upstream_id, boot_id, remaining_s, now):
        """Merge the departure of an upstream's boot, and propagate it if it is new.

        :param remaining_s: remaining lifetime of the tombstone, seconds.
        :returns: a :class:`MergeResult`.
        """
        result = self.core.upstreams_.merge_departure(upstream_id, boot_id, remaining_s, now)
        if result is MergeResult.LEFT:
            self._propagate_departure(upstream_id, boot_id, now)
        elif result is MergeResult.OUT_OF_BOUNDS:
            self.core.count("membership_announcement_refused", result)
        return result

    def merge_peer(self, record, now):
        """Merge a node's record, and propagate it if it is new.

        :returns: a :class:`PeerMergeResult`.
        """
        result = self.core.peers_.merge(record)
        if result in (PeerMergeResult.ADDED, PeerMergeResult.REFUTED):
            self._propagate(self.core.peers_.entries_[record.name].key, now)
            if record.name != self.core.own.name:
                self.core.monitor_.add(record.name)
        if result not in (PeerMergeResult.ADDED, PeerMergeResult.STALE):
            self.core.count("membership_peer", result)
        return result

    def merge_peer_departure(self, departure, now):
        """Merge a node's departure, and propagate it if it is new.

        A departure of this node itself is refuted.

        :returns: a :class:`PeerMergeResult`.
        """
        result = self.core.peers_.merge_departure(departure, now)
        if result is PeerMergeResult.DEPARTED:
            self._propagate(self.core.peers_.tombstones_[departure.name].key, now)
            self.core.remove_if_unlisted(departure.name)
        elif result is PeerMergeResult.REFUTED:
            self.core.count("membership_peer", result)
            self._propagate(self.core.peers_.entries_[self.core.own.name].key, now)
        return result

    def expire(self, now):
        """Remove the keys whose deadline has passed."""
        remove_expired(self.refused_until_, now)
        remove_expired(self.retry_at_, now)

    def merge_message(self, peer, message, delay_s, now):
        """Merge all records of a message.

        :param delay_s: estimated delay of the message, seconds.
        """
        for departure in message.departures:
            self._merge_departure_part(departure, now)
        for record in message.peer_departures:
            self.merge_peer_departure(record, now)
        for record in message.peers:
            self.merge_peer(record, now)
        for record in message.upstreams:
            self._merge_upstream_part(peer, record, delay_s, now)
        self._merge_refresh_parts(peer, message.refreshes, delay_s, now)

    def _merge_departure_part(self, departure, now):
        upstream_id, boot_id = departure.upstream_id, departure.boot_id
        remaining_s = departure.remaining_ms / 1000
        result = self.merge_departure(upstream_id, boot_id, remaining_s, now)
        retired = self.core.upstreams_.retired_boots_.get(upstream_id, boot_id)
        if result is MergeResult.STALE and retired is not None:
            self.core.rumors_.record_duplicate(retired.tombstone_key)

    def _merge_upstream_part(self, peer, record, delay_s, now):
        core = self.core
        announcement = record.announcement
        result = self.merge_upstream(announcement, record.remaining_ms / 1000 - delay_s, now)
        entry = core.upstreams_.entries_.get(announcement.upstream_id)
        if result is MergeResult.STALE and entry is not None:
            core.rumors_.record_duplicate(entry.key)
        if result in OUTDATED_RESULTS or result in CONFLICT_RESULTS:
            self._send_superseding(peer, announcement, now)
        if result in REFUSED_RESULTS:
            key = hash_announcement(announcement)
            self.refused_until_.pop(key, None)
            self.refused_until_[key] = now + REFUSED_KEY_TTL_S

    def _send_superseding(self, peer, announcement, now):
        """Send the records that supersede a refused one back to its sender."""
        upstreams = self.core.upstreams_
        retired = upstreams.retired_boots_.get(announcement.upstream_id, announcement.boot_id)
        address = (announcement.host, announcement.port)
        holder = upstreams.entries_.get(upstreams.ids_by_address_.get(address))
        entry = upstreams.entries_.get(announcement.upstream_id)
        superseding_keys = (
            [retired.tombstone_key] if retired is not None and retired.tombstone_key else []
        )
        superseding_keys += [other.key for other in (entry, holder) if other is not None]
        self.core.replies_.add(peer, superseding_keys, now)

    def _merge_refresh_parts(self, peer, refreshes, delay_s, now):
        unknown = []
        for refresh in refreshes:
            item = self.core.keys_.get(refresh.key)
            if isinstance(item, UpstreamEntry):
                self.merge_refresh(item, refresh, delay_s, now)
            elif item is not None:
                self.core.rumors_.record_duplicate(refresh.key)
            elif not self._restore_expired(refresh, delay_s, now):
                unknown.append(refresh.key)
        self.request_records(peer, unknown, now)

    def request_records(self, peer, keys, now):
        """Request missing records from a node, except those known to be refused.

        Tombstones are sent instead for records of boots that have left.
        """
        retired_by_key = self.core.upstreams_.retired_boots_.boots_by_key_
        tombstone_keys = [
            retired_by_key[key].tombstone_key
            for key in keys
            if key in retired_by_key and retired_by_key[key].tombstone_key
        ]
        self.core.replies_.add(peer, tombstone_keys, now)
        wanted = [key for key in keys if not self._is_refused(key, now)]
        wanted = [key for key in wanted if self.retry_at_.get(key, now) <= now][:MAX_MESSAGE_KEYS]
        message = RecordsWanted(*self.core.make_stamp(now), wanted)
        if wanted and self.core.send(peer, message, now):
            for key in wanted:
                self.retry_at_.pop(key, None)
                self.retry_at_[key] = now + REQUEST_INTERVAL_S

    def _restore_expired(self, refresh, delay_s, now):
        """List an expired upstream again if a refresh is newer than its last announcement.

        :returns: whether the record is retained, so that it needn't be requested.
        """
        upstreams = self.core.upstreams_
        retired = upstreams.retired_boots_.boots_by_key_.get(refresh.key)
        if retired is None or retired.final:
            return False
        announcement = upstreams.restore_expired(refresh.key, refresh.sequence)
        if announcement is not None:
            remaining_s = refresh.remaining_ms / 1000 - delay_s
            self.merge_upstream(announcement, remaining_s, now)
        return True

    def _is_refused(self, key, now):
        retired = self.core.upstreams_.retired_boots_.boots_by_key_.get(key)
        is_final = retired is not None and retired.final
        return is_final or self.refused_until_.get(key, now) > now

    def _propagate_departure(self, upstream_id, boot_id, now):
        retired = self.core.upstreams_.retired_boots_.get(upstream_id, boot_id)
        self._propagate(retired.tombstone_key, now)

    def _propagate(self, key, now):
        self.core.rumors_.add_change(key)
        self.core.anti_entropy_.record_change(now)
        self.core.scheduler_.schedule_urgent_gossip(now)


def remove_expired(deadlines, now):
    """Remove expired keys from a dictionary that is ordered by deadline."""
    while deadlines:
        key = next(iter(deadlines))
        if deadlines[key] > now:
            return
        del deadlines[key]
