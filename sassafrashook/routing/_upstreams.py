"""All upstreams of an owner, and the groups among which requests are placed."""

from sassafrashook.routing._deadlines import DeadlineTable
from sassafrashook.routing._placement import PlacementGroup
from sassafrashook.routing._upstream import UpstreamState

UPSTREAM_KEPT_S = 600.0


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
