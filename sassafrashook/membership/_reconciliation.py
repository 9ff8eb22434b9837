"""Comparison of two nodes' lists, and exchange of what one of them lacks."""

from dataclasses import dataclass, field

from sassafrashook.membership._entries import Admission, Entry, hash_announcement
from sassafrashook.membership._keyset import MAXIMUM_BUCKETS, MINIMUM_BUCKETS
from sassafrashook.membership._messages import (
    BucketContents,
    BucketHashes,
    Gossip,
    Records,
    RecordsWanted,
    RefreshesWanted,
)
from sassafrashook.membership._rumors import Bundle

SETTLE_S = 1.0
UNSETTLED_LIMIT_S = 3.0
FLUSH_DELAY_S = 0.1
RECORD_MESSAGE_BYTES = 1_000
SMALLEST_RECORDS_BYTES = 400
RESERVE_SHARE = 0.25  # of the budget, left for rounds
KEYS_IN_MESSAGE = 80
JOIN_FANOUT = 8
DEBT_S = 5.0
DEBTS_LIMIT = 16
REFUSED_S = 10.0
ASKED_S = 0.5
FRESH_SHARE = 0.4  # of the validity: with less than this left, no answer is given
OUTDATED = (Admission.AFTER_LEAVE, Admission.OLDER_BOOT)
CONFLICTS = (Admission.ID_AT_TWO_ADDRESSES, Admission.ADDRESS_OF_ANOTHER)
REFUSED = (
    *OUTDATED,
    *CONFLICTS,
    Admission.BOOT_AT_TWO_ADDRESSES,
    Admission.LIST_FULL,
    Admission.OUT_OF_BOUNDS,
)


@dataclass(slots=True)
class Debt:
    """Records that another node is to be sent.

    :param deadline: seconds; after it the node has to ask again.
    :param keys: keys to send, in order, each with whether a refresh is enough.
    """

    deadline: float
    keys: dict = field(default_factory=dict)


class Reconciliation:
    """The part of :class:`MembershipCore` that compares lists and serves requests.

    :param core: the core that it is part of.
    """

    def __init__(self, core):
        self.core = core
        self.flush_at_ = None
        self.debts_ = {}
        self.refused_ = {}
        self.asked_ = {}
        self._changed_at = float("-inf")
        self._equal_at = float("-inf")
        self._compare_after = float("-inf")
        self._handlers = {
            Gossip: self._hear_gossip,
            Records: self._take_parts,
            BucketHashes: self._hear_hashes,
            BucketContents: self._hear_contents,
            RecordsWanted: self._hear_wanted,
            RefreshesWanted: self._hear_refreshes_wanted,
        }

    def hear(self, peer, message, now):
        """Take one message of another node."""
        handler = self._handlers.get(type(message))
        if handler is None:
            self.core.count("membership_message_refused", type(message).__name__)
            return
        transit = self.core.transit_
        delay_s = transit.measure_delay(peer, message.boot, message.sent_ms, now)
        handler(peer, message, delay_s, now)

    def note_change(self, now):
        """Note that a record came or went, so that digests differ for a while."""
        self._changed_at = now

    def join(self, now):
        """Ask several nodes for a share of the list each."""
        names = self.core.liveness_.choose(JOIN_FANOUT)
        for index, peer in enumerate(names):
            buckets = list(range(index, MINIMUM_BUCKETS, len(names)))
            message = BucketContents(*self.core.stamp(now), MINIMUM_BUCKETS, buckets, [])
            self.core.send(peer, message, now)

    def flush(self, now):
        """Send what is owed, as far as the budget allows."""
        drop_expired(self.refused_, now)
        drop_expired(self.asked_, now)
        reserve = int(self.core.budget_bytes * RESERVE_SHARE)
        for peer in list(self.debts_):
            available = self.core.budget_.available(now) - reserve
            if available < SMALLEST_RECORDS_BYTES:
                break
            self._pay(peer, min(available, RECORD_MESSAGE_BYTES), now)
        self.flush_at_ = now + FLUSH_DELAY_S if self.debts_ else None

    def _pay(self, peer, limit, now):
        debt = self.debts_.pop(peer)
        if debt.deadline <= now:
            self.core.count("membership_budget_held", "debt")
            return
        bundle = Bundle(limit, self.core.measure)
        for key, refresh_only in list(debt.keys.items()):
            item = self.core.keys_.get(key)
            if item is not None and not bundle.add_item(item, now, by_key=refresh_only):
                break
            del debt.keys[key]
        if bundle.parts_:
            message = Records(*self.core.stamp(now), **bundle.parts_)
            self.core.send(peer, message, now)
        if debt.keys:
            self.debts_[peer] = debt

    def _owe(self, peer, keys, now, refresh_only=False):
        if not keys:
            return
        debt = self.debts_.get(peer)
        if debt is None:
            if len(self.debts_) >= DEBTS_LIMIT:
                self.core.count("membership_budget_held", "debt")
                return
            debt = self.debts_[peer] = Debt(now + DEBT_S)
        for key in keys:
            debt.keys[key] = refresh_only and debt.keys.get(key, True)

    def _hear_gossip(self, peer, message, delay_s, now):
        self._take_parts(peer, message, delay_s, now)
        if message.digest == self.core.keys_.digest_:
            self.core.synchronised_ = True
            self._equal_at = now
            return
        if self._may_compare(now):
            self._compare_after = now + self.core.interval_ms / 1000
            count = self.core.keys_.choose_bucket_count()
            hashes = self.core.keys_.hash_buckets(count)
            self.core.send(peer, BucketHashes(*self.core.stamp(now), hashes), now)

    def _may_compare(self, now):
        if now < self._compare_after:
            return False
        is_settled = now - self._changed_at >= SETTLE_S
        is_overdue = now - self._equal_at >= UNSETTLED_LIMIT_S
        return is_settled or is_overdue or not self.core.synchronised_

    def _take_parts(self, peer, message, delay_s, now):
        core = self.core
        for departure in message.departures:
            self._take_departure(departure, now)
        for record in message.peer_departures:
            core.take_peer_departure(record, now)
        for record in message.peers:
            core.take_peer(record, now)
        for record in message.upstreams:
            self._take_upstream(peer, record, delay_s, now)
        self._take_refreshes(peer, message.refreshes, delay_s, now)

    def _take_departure(self, departure, now):
        upstream_id, boot_id = departure.upstream_id, departure.boot_id
        remaining_s = departure.remaining_ms / 1000
        admission = self.core.take_departure(upstream_id, boot_id, remaining_s, now)
        past = self.core.directory_.memory_.get(upstream_id, boot_id)
        if admission is Admission.STALE and past is not None:
            self.core.rumors_.note_repeat(past.left_key)

    def _take_upstream(self, peer, record, delay_s, now):
        core = self.core
        announcement = record.announcement
        admission = core.take_upstream(announcement, record.remaining_ms / 1000 - delay_s, now)
        entry = core.directory_.live_.get(announcement.upstream_id)
        if admission is Admission.STALE and entry is not None:
            core.rumors_.note_repeat(entry.key)
        if admission in OUTDATED or admission in CONFLICTS:
            self._tell_better(peer, announcement, now)
        if admission in REFUSED:
            key = hash_announcement(announcement)
            self.refused_.pop(key, None)
            self.refused_[key] = now + REFUSED_S

    def _tell_better(self, peer, announcement, now):
        """Send what is listed in place of a refused record."""
        directory = self.core.directory_
        past = directory.memory_.get(announcement.upstream_id, announcement.boot_id)
        address = (announcement.host, announcement.port)
        holder = directory.live_.get(directory.ids_by_address_.get(address))
        entry = directory.live_.get(announcement.upstream_id)
        better = [past.left_key] if past is not None and past.left_key else []
        better += [rival.key for rival in (entry, holder) if rival is not None]
        self._owe(peer, better, now)

    def _take_refreshes(self, peer, refreshes, delay_s, now):
        unknown = []
        for refresh in refreshes:
            item = self.core.keys_.get(refresh.key)
            if isinstance(item, Entry):
                self.core.take_refresh(item, refresh, delay_s, now)
            elif item is not None:
                self.core.rumors_.note_repeat(refresh.key)
            elif not self._revive(refresh, delay_s, now):
                unknown.append(refresh.key)
        self._want(peer, unknown, now)

    def _want(self, peer, keys, now):
        dead = self.core.directory_.memory_.dead_keys_
        left = [dead[key].left_key for key in keys if key in dead and dead[key].left_key]
        self._owe(peer, left, now)
        wanted = [key for key in keys if not self._is_refused(key, now)]
        wanted = [key for key in wanted if self.asked_.get(key, now) <= now][:KEYS_IN_MESSAGE]
        message = RecordsWanted(*self.core.stamp(now), wanted)
        if wanted and self.core.send(peer, message, now):
            for key in wanted:
                self.asked_.pop(key, None)
                self.asked_[key] = now + ASKED_S

    def _revive(self, refresh, delay_s, now):
        """Bring back an expired upstream; returns whether nothing needs to be asked for."""
        directory = self.core.directory_
        past = directory.memory_.dead_keys_.get(refresh.key)
        if past is None or past.final:
            return False
        announcement = directory.revive(refresh.key, refresh.sequence)
        if announcement is not None:
            remaining_s = refresh.remaining_ms / 1000 - delay_s
            self.core.take_upstream(announcement, remaining_s, now)
        return True

    def _is_refused(self, key, now):
        past = self.core.directory_.memory_.dead_keys_.get(key)
        is_final = past is not None and past.final
        return is_final or self.refused_.get(key, now) > now

    def _hear_hashes(self, peer, message, delay_s, now):
        count = len(message.hashes)
        if not is_bucket_count(count):
            self.core.count("membership_message_refused", BucketHashes.__name__)
            return
        own = self.core.keys_.hash_buckets(count)
        differing = [index for index in range(count) if own[index] != message.hashes[index]]
        self.core.rng.shuffle(differing)
        buckets, keys = [], []
        for bucket in differing:
            more = self.core.keys_.list_bucket(bucket, count)
            if buckets and len(keys) + len(more) > KEYS_IN_MESSAGE:
                break
            buckets.append(bucket)
            keys += more
        if buckets:
            message = BucketContents(*self.core.stamp(now), count, buckets, keys)
            self.core.send(peer, message, now)

    def _hear_contents(self, peer, message, delay_s, now):
        if not is_bucket_count(message.bucket_count):
            self.core.count("membership_message_refused", BucketContents.__name__)
            return
        theirs = set(message.keys)
        own = set()
        for bucket in message.buckets[:MAXIMUM_BUCKETS]:
            own.update(self.core.keys_.list_bucket(bucket, message.bucket_count))
        self._owe(peer, sorted(own - theirs), now)
        self._want(peer, sorted(theirs - own), now)

    def _hear_wanted(self, peer, message, delay_s, now):
        self._owe(peer, [key for key in message.keys if self.core.keys_.get(key)], now)

    def _hear_refreshes_wanted(self, peer, message, delay_s, now):
        keys = [key for key in message.keys if self._has_time_left(key, now)]
        self._owe(peer, keys, now, refresh_only=True)

    def _has_time_left(self, key, now):
        entry = self.core.keys_.get(key)
        if not isinstance(entry, Entry):
            return False
        valid_s = entry.announcement.valid_ms / 1000
        return entry.deadline - now > FRESH_SHARE * valid_s


def is_bucket_count(count):
    """Return whether a number of buckets may be used."""
    return MINIMUM_BUCKETS <= count <= MAXIMUM_BUCKETS and count & (count - 1) == 0


def drop_expired(deadlines, now):
    """Drop keys whose deadline has passed from a dictionary in the order of its deadlines."""
    while deadlines:
        key = next(iter(deadlines))
        if deadlines[key] > now:
            return
        del deadlines[key]
