"""What the owner knows of each upstream, and the groups among which requests are placed."""

from sassafrashook.routing._deadlines import DeadlineTable
from sassafrashook.routing._placement import PlacementGroup
from sassafrashook.routing._warmup import WarmUp
from sassafrashook.utils import hash_key

CACHE_RESTART_SEQUENCE = 2
CACHE_RESTART_SEEN = 64
UPSTREAM_KEPT_S = 600.0


class UpstreamState:
    """One upstream as the owner counts it.

    :param announcement: the newest :class:`~sassafrashook.messages.UpstreamAnnouncement`.

    Attributes
    ----------
    permits_ : permits counted as running, :class:`PermitRecord` keys of a dictionary.
    charge_ : requests that routers of an earlier term may still run there.
    reserved_ : whether only a suspect request may be placed there.
    reported_ : requests running by its last report, ``None`` before one came.
    broken_ : fingerprints whose answers broke there lately, with the time of it.
    crashed_ : whether this boot is known to have crashed.
    counted_load, counted_limit, counted_room : the numbers under which the groups hold it.
    """

    __slots__ = (
        "announcement",
        "upstream_id",
        "point",
        "warm_up_",
        "permits_",
        "charge_",
        "reserved_",
        "gone_",
        "drained_",
        "live_",
        "broken_",
        "crashed_",
        "counted_load",
        "counted_limit",
        "counted_room",
        "groups_",
        "cache_sequence_",
        "cache_clears_",
        "report_sequence_",
        "reported_",
    )

    def __init__(self, announcement):
        self.announcement = announcement
        self.upstream_id = announcement.upstream_id
        self.point = hash_key("upstream", announcement.upstream_id)
        self.warm_up_ = WarmUp(announcement.capacity, announcement.cold_capacity)
        self.warm_up_.state_cold(announcement.cold)
        self.permits_ = {}
        self.charge_ = 0
        self.reserved_ = False
        self.gone_ = False
        self.drained_ = False
        self.live_ = False
        self.broken_ = {}
        self.crashed_ = False
        self.counted_load = 0
        self.counted_limit = 0
        self.counted_room = -1
        self.groups_ = []
        self.cache_sequence_ = 0
        self.cache_clears_ = 0
        self.report_sequence_ = 0
        self.reported_ = None

    @property
    def load(self):
        """Requests counted as running there."""
        return len(self.permits_) + self.charge_

    @property
    def room(self):
        """Its load if it may take one more, else -1."""
        load = self.load
        if not self.live_ or load >= self.warm_up_.limit_:
            return -1
        return -1 if self.reserved_ or self.runs_isolated() else load

    def takes_new_work(self):
        """Return whether it is there, not leaving, and in an open zone."""
        return not (self.gone_ or self.drained_ or self.announcement.leaving)

    def accepts_report(self, report):
        """Take note of a load report's order.

        :returns: whether it is of this boot and newer than the last one.
        """
        is_newer = report.sequence > self.report_sequence_
        if report.boot_id != self.announcement.boot_id or not is_newer:
            return False
        self.report_sequence_ = report.sequence
        self.reported_ = report.running
        return True

    def note_cache_sequence(self, sequence):
        """Take note of a cache event's order; a restarted numbering means a cold upstream.

        :returns: whether the upstream was found to be cold.
        """
        has_restarted = (
            sequence <= CACHE_RESTART_SEQUENCE and self.cache_sequence_ >= CACHE_RESTART_SEEN
        )
        if has_restarted:
            self.cache_sequence_ = sequence
            self.cache_clears_ += 1
            self.warm_up_.restart()
        self.cache_sequence_ = max(self.cache_sequence_, sequence)
        return has_restarted

    def runs_isolated(self):
        """Return whether a request that must run alone runs there."""
        return len(self.permits_) == 1 and next(iter(self.permits_)).isolated

    def holds_model(self, model):
        """Return whether it holds a model, named with or without its version."""
        return not model or any(
            held == model or held.partition("@")[0] == model for held in self.announcement.models
        )

    def is_newer(self, announcement):
        """Return whether an announcement follows the one known."""
        known = self.announcement
        if announcement.boot_id == known.boot_id:
            return announcement.sequence > known.sequence
        return announcement.incarnation > known.incarnation


class UpstreamTable:
    """All upstreams of one owner.

    :param load_bound: allowed multiple of the mean load.
    """

    def __init__(self, load_bound):
        self.load_bound = load_bound
        self.upstreams_ = {}
        self.groups_ = {}
        self.drained_zones_ = frozenset()
        self.expiries_ = DeadlineTable()

    def get(self, upstream_id):
        """Return an upstream's state, or ``None``."""
        return self.upstreams_.get(upstream_id)

    def find_group(self, service, model):
        """Return the group among which a request is placed, or ``None`` if no upstream fits."""
        group = self.groups_.get((service, model))
        if group is not None or not model:
            return group
        members = [
            upstream
            for upstream in self.upstreams_.values()
            if upstream.announcement.service == service and upstream.holds_model(model)
        ]
        if not members:
            return None
        group = self._open_group(service, model)
        for upstream in members:
            self._join(upstream, group)
        return group

    def see(self, announcement, now):
        """Take an announcement.

        :returns: the state that a newer boot replaced, the current state, or ``None`` if the
            announcement is out of date.
        """
        upstream = self.upstreams_.get(announcement.upstream_id)
        if upstream is None:
            self._add(announcement, now)
            return self.upstreams_[announcement.upstream_id]
        if not upstream.is_newer(announcement):
            return None
        self.expiries_.add(announcement.upstream_id, now + announcement.valid_ms / 1000)
        if announcement.boot_id != upstream.announcement.boot_id:
            usual = upstream.warm_up_.usual_first_token_ms_
            self._drop(upstream)
            self._add(announcement, now).warm_up_.usual_first_token_ms_ = usual
            return upstream
        self._renew(upstream, announcement)
        return upstream

    def leave(self, upstream_id):
        """Give an upstream nothing more; only a newer announcement brings it back."""
        upstream = self.upstreams_.get(upstream_id)
        if upstream is not None and not upstream.gone_:
            upstream.gone_ = True
            self.refresh(upstream)

    def expire(self, now):
        """Treat upstreams whose announcements ran out as gone, and forget those long gone."""
        for upstream_id in self.expiries_.pop_due(now):
            upstream = self.upstreams_[upstream_id]
            if not upstream.gone_:
                self.leave(upstream_id)
            elif not upstream.load:
                self._drop(upstream)
                continue
            self.expiries_.add(upstream_id, now + UPSTREAM_KEPT_S)

    def set_zones(self, drained_zones):
        """Take zones out or back; upstreams that come back are cold."""
        self.drained_zones_ = frozenset(drained_zones)
        for upstream in self.upstreams_.values():
            drained = upstream.announcement.availability_zone in self.drained_zones_
            if drained != upstream.drained_:
                upstream.drained_ = drained
                upstream.warm_up_.restart()
                self.refresh(upstream)

    def set_load_bound(self, load_bound):
        """Change the allowed multiple of the mean load."""
        self.load_bound = load_bound
        for group in self.groups_.values():
            group.load_bound = load_bound

    def refresh(self, upstream):
        """Bring the groups up to date after any change of an upstream."""
        live = upstream.takes_new_work()
        if live != upstream.live_:
            self._set_live(upstream, live)
            return
        load, limit, room = upstream.load, upstream.warm_up_.limit_, upstream.room
        if live:
            for group in upstream.groups_:
                group.replace(upstream, load, limit, room)
        self._note_counted(upstream, load, limit, room)

    def _set_live(self, upstream, live):
        if upstream.live_:
            for group in upstream.groups_:
                group.remove(upstream)
        upstream.live_ = live
        limit = upstream.warm_up_.limit_
        self._note_counted(upstream, upstream.load, limit, upstream.room)
        if live:
            for group in upstream.groups_:
                group.add(upstream)

    @staticmethod
    def _note_counted(upstream, load, limit, room):
        upstream.counted_load = load
        upstream.counted_limit = limit
        upstream.counted_room = room

    def _renew(self, upstream, announcement):
        came_back = upstream.gone_ or upstream.announcement.leaving
        regroup = announcement.models != upstream.announcement.models
        upstream.gone_ = False
        upstream.announcement = announcement
        upstream.warm_up_.resize(announcement.capacity, announcement.cold_capacity)
        upstream.warm_up_.state_cold(announcement.cold)
        if came_back:
            upstream.warm_up_.restart()
        if regroup:
            self._regroup(upstream)
        self.refresh(upstream)

    def _add(self, announcement, now):
        upstream = UpstreamState(announcement)
        upstream.drained_ = announcement.availability_zone in self.drained_zones_
        self.upstreams_[announcement.upstream_id] = upstream
        self.expiries_.add(announcement.upstream_id, now + announcement.valid_ms / 1000)
        self._open_group(announcement.service, "")
        self._regroup(upstream)
        self.refresh(upstream)
        return upstream

    def _drop(self, upstream):
        self._set_live(upstream, False)
        upstream.gone_ = True
        upstream.groups_ = []
        self.expiries_.remove(upstream.upstream_id)
        del self.upstreams_[upstream.upstream_id]

    def _open_group(self, service, model):
        return self.groups_.setdefault((service, model), PlacementGroup(self.load_bound))

    def _regroup(self, upstream):
        self._set_live(upstream, False)
        service = upstream.announcement.service
        upstream.groups_ = [
            group
            for (group_service, model), group in self.groups_.items()
            if group_service == service and upstream.holds_model(model)
        ]

    def _join(self, upstream, group):
        upstream.groups_.append(group)
        if upstream.live_:
            group.add(upstream)
