"""Takes in what this node hears, by the rules of the lists, and passes on what is news."""

from sassafrashook.membership._entries import Admission, Entry, hash_announcement
from sassafrashook.membership._messages import RecordsWanted
from sassafrashook.membership._peers import PeerAdmission

REFUSED_S = 10.0
ASKED_S = 0.5
KEYS_IN_MESSAGE = 80
SPREAD_ADMISSIONS = (Admission.ADDED, Admission.CHANGED)
SILENT_ADMISSIONS = (*SPREAD_ADMISSIONS, Admission.REFRESHED, Admission.LEFT)
OUTDATED = (Admission.AFTER_LEAVE, Admission.OLDER_BOOT)
CONFLICTS = (
    Admission.ID_AT_TWO_ADDRESSES,
    Admission.BOOT_AT_TWO_ADDRESSES,
    Admission.ADDRESS_OF_ANOTHER,
)
REFUSED = (
    *OUTDATED,
    *CONFLICTS,
    Admission.LIST_FULL,
    Admission.OUT_OF_BOUNDS,
)


class Intake:
    """The part of :class:`MembershipCore` that takes in records.

    :param core: the core that it is part of.

    Attributes:

    :ivar refused_: keys of refused records, not asked for until a stored deadline.
    :ivar asked_: keys asked for, not asked for again until a stored deadline.
    """

    def __init__(self, core):
        self.core = core
        self.refused_ = {}
        self.asked_ = {}

    def take_upstream(self, announcement, remaining_s, now, direct=False):
        """Take in an announcement, and pass it on if it is news.

        :returns: an :class:`Admission`.
        """
        admission = self.core.directory_.admit(announcement, remaining_s, now, direct)
        entry = self.core.directory_.live_.get(announcement.upstream_id)
        if admission is Admission.LEFT:
            self._spread_departure(announcement.upstream_id, announcement.boot_id, now)
        elif admission in SPREAD_ADMISSIONS:
            self._spread_change(entry.key, now)
        elif admission is Admission.REFRESHED:
            self.core.rumors_.add_refresh(entry.key)
        is_repeat = admission is Admission.STALE and not direct
        if admission not in SILENT_ADMISSIONS and not is_repeat:
            self.core.count("membership_announcement_refused", admission)
        return admission

    def take_refresh(self, entry, refresh, delay_s, now):
        """Take in a newer sequence of a listed upstream.

        :returns: an :class:`Admission`.
        """
        remaining_s = refresh.remaining_ms / 1000 - delay_s
        if remaining_s <= 0:
            return Admission.STALE
        admission = self.core.directory_.refresh(entry, refresh.sequence, remaining_s, now)
        if admission is Admission.REFRESHED:
            self.core.rumors_.add_refresh(entry.key)
        elif refresh.sequence == entry.announcement.sequence:
            self.core.rumors_.note_repeat(entry.key)
        return admission

    def take_departure(self, upstream_id, boot_id, remaining_s, now):
        """Take in that an upstream's boot has left, and pass it on if it is news.

        :returns: an :class:`Admission`.
        """
        admission = self.core.directory_.leave(upstream_id, boot_id, remaining_s, now)
        if admission is Admission.LEFT:
            self._spread_departure(upstream_id, boot_id, now)
        elif admission is Admission.OUT_OF_BOUNDS:
            self.core.count("membership_announcement_refused", admission)
        return admission

    def take_peer(self, record, now):
        """Take in a node's record, and pass it on if it is news.

        :returns: a :class:`PeerAdmission`.
        """
        admission = self.core.peers_.admit(record)
        if admission in (PeerAdmission.ADDED, PeerAdmission.DENIED):
            self._spread_change(self.core.peers_.live_[record.name].key, now)
            if record.name != self.core.own.name:
                self.core.liveness_.add(record.name)
        if admission not in (PeerAdmission.ADDED, PeerAdmission.STALE):
            self.core.count("membership_peer", admission)
        return admission

    def take_peer_departure(self, departure, now):
        """Take in that a node has departed, and pass it on if it is news.

        :returns: a :class:`PeerAdmission`.
        """
        admission = self.core.peers_.depart(departure, now)
        if admission is PeerAdmission.DEPARTED:
            self._spread_change(self.core.peers_.past_[departure.name].key, now)
            self.core.drop_name(departure.name)
        elif admission is PeerAdmission.DENIED:
            self.core.count("membership_peer", admission)
            self._spread_change(self.core.peers_.live_[self.core.own.name].key, now)
        return admission

    def forget(self, now):
        """Drop what was remembered until its deadline."""
        drop_expired(self.refused_, now)
        drop_expired(self.asked_, now)

    def take_parts(self, peer, message, delay_s, now):
        """Take in all records of a message.

        :param delay_s: how long the message was held up on its way, seconds.
        """
        for departure in message.departures:
            self._take_departure(departure, now)
        for record in message.peer_departures:
            self.take_peer_departure(record, now)
        for record in message.peers:
            self.take_peer(record, now)
        for record in message.upstreams:
            self._take_upstream(peer, record, delay_s, now)
        self._take_refreshes(peer, message.refreshes, delay_s, now)

    def _take_departure(self, departure, now):
        upstream_id, boot_id = departure.upstream_id, departure.boot_id
        remaining_s = departure.remaining_ms / 1000
        admission = self.take_departure(upstream_id, boot_id, remaining_s, now)
        past = self.core.directory_.memory_.get(upstream_id, boot_id)
        if admission is Admission.STALE and past is not None:
            self.core.rumors_.note_repeat(past.left_key)

    def _take_upstream(self, peer, record, delay_s, now):
        core = self.core
        announcement = record.announcement
        admission = self.take_upstream(announcement, record.remaining_ms / 1000 - delay_s, now)
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
        self.core.replies_.add(peer, better, now)

    def _take_refreshes(self, peer, refreshes, delay_s, now):
        unknown = []
        for refresh in refreshes:
            item = self.core.keys_.get(refresh.key)
            if isinstance(item, Entry):
                self.take_refresh(item, refresh, delay_s, now)
            elif item is not None:
                self.core.rumors_.note_repeat(refresh.key)
            elif not self._revive(refresh, delay_s, now):
                unknown.append(refresh.key)
        self.want(peer, unknown, now)

    def want(self, peer, keys, now):
        """Ask a node for records that this one lacks, unless they are known to be of no use."""
        dead = self.core.directory_.memory_.dead_keys_
        left = [dead[key].left_key for key in keys if key in dead and dead[key].left_key]
        self.core.replies_.add(peer, left, now)
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
            self.take_upstream(announcement, remaining_s, now)
        return True

    def _is_refused(self, key, now):
        past = self.core.directory_.memory_.dead_keys_.get(key)
        is_final = past is not None and past.final
        return is_final or self.refused_.get(key, now) > now

    def _spread_departure(self, upstream_id, boot_id, now):
        past = self.core.directory_.memory_.get(upstream_id, boot_id)
        self._spread_change(past.left_key, now)

    def _spread_change(self, key, now):
        self.core.rumors_.add_change(key)
        self.core.reconciliation_.note_change(now)
        self.core.rounds_.schedule_urgent(now)


def drop_expired(deadlines, now):
    """Drop keys whose deadline has passed from a dictionary in the order of its deadlines."""
    while deadlines:
        key = next(iter(deadlines))
        if deadlines[key] > now:
            return
        del deadlines[key]
