"""Table of the upstreams of one owner and their placement groups."""

from sassafrashook.routing._deadlines import DeadlineTable
from sassafrashook.routing._placement import PlacementGroup
from sassafrashook.routing._upstream import UpstreamState

DEPARTED_RETENTION_S = 600.0
UNREACHABLE_BACKOFF_S = 1.0


class UpstreamTable:
    """The upstreams of one owner, with their placement groups and expiry times.

    :param load_bound: allowed ratio of an upstream's load to the mean load.

    :ivar upstreams_: :class:`UpstreamState` by upstream id.
    :ivar groups_: :class:`PlacementGroup` by service and model.
    :ivar drained_zones_: names of the drained availability zones.
    :ivar expiries_: expiry times of announcements and of departed upstreams.
    :ivar backoff_ends_: times at which unreachable upstreams get requests again.
    """

    def __init__(self, load_bound):
        self.load_bound = load_bound
        self.upstreams_ = {}
        self.groups_ = {}
        self.drained_zones_ = frozenset()
        self.expiries_ = DeadlineTable()
        self.backoff_ends_ = DeadlineTable()

    def get(self, upstream_id):
        """Return an upstream's state, or ``None``."""
        return self.upstreams_.get(upstream_id)

    def find_group(self, service, model):
        """Return the group that serves a service and model, or ``None`` if no upstream does."""
        group = self.groups_.get((service, model))
        if group is not None or not model:
            return group
        members = [
            upstream
            for upstream in self.upstreams_.values()
            if upstream.announcement.service == service and upstream.serves_model(model)
        ]
        if not members:
            return None
        group = self._get_or_create_group(service, model)
        for upstream in members:
            self._add_to_group(upstream, group)
        return group

    def apply_announcement(self, announcement, now):
        """Apply an announcement.

        :returns: the replaced state if the announcement is from a newer boot, else the current
            state, or ``None`` if the announcement is out of date.
        """
        upstream = self.upstreams_.get(announcement.upstream_id)
        if upstream is None:
            self._add(announcement, now)
            return self.upstreams_[announcement.upstream_id]
        if not upstream.is_superseded_by(announcement):
            return None
        self.expiries_.add(announcement.upstream_id, now + announcement.valid_ms / 1000)
        if announcement.boot_id != upstream.announcement.boot_id:
            mean_first_token_ms = upstream.warm_up_.mean_first_token_ms_
            self._remove(upstream)
            self._add(announcement, now).warm_up_.mean_first_token_ms_ = mean_first_token_ms
            return upstream
        self._update(upstream, announcement)
        return upstream

    def mark_departed(self, upstream_id):
        """Exclude an upstream from placement until a newer announcement arrives."""
        upstream = self.upstreams_.get(upstream_id)
        if upstream is not None and not upstream.departed_:
            upstream.departed_ = True
            self.refresh(upstream)

    def mark_unreachable(self, upstream, now):
        """Exclude an upstream from placement until it is seen again or the backoff ends.

        The last announcement of a failed upstream stays valid for a while. Without this exclusion
        every request placed on it in the meantime would cost a connection attempt and a retry.
        """
        upstream.unreachable_ = True
        self.backoff_ends_.add(upstream, now + UNREACHABLE_BACKOFF_S)
        self.refresh(upstream)

    def mark_reachable(self, upstream):
        """Include an upstream in placement again after it was reached or its backoff ended."""
        if upstream.unreachable_:
            upstream.unreachable_ = False
            self.backoff_ends_.remove(upstream)
            self.refresh(upstream)

    def next_deadline(self):
        """Return the time in seconds of the next :meth:`expire` call, or ``None``."""
        deadlines = (self.expiries_.next_deadline(), self.backoff_ends_.next_deadline())
        return min((deadline for deadline in deadlines if deadline is not None), default=None)

    def expire(self, now):
        """End backoffs, expire announcements and remove upstreams that departed long ago."""
        for upstream in self.backoff_ends_.pop_due(now):
            self.mark_reachable(upstream)
        for upstream_id in self.expiries_.pop_due(now):
            upstream = self.upstreams_[upstream_id]
            if not upstream.departed_:
                self.mark_departed(upstream_id)
            elif not upstream.load:
                self._remove(upstream)
                continue
            self.expiries_.add(upstream_id, now + DEPARTED_RETENTION_S)

    def set_drained_zones(self, drained_zones):
        """Set the drained availability zones; the warm-up of affected upstreams restarts."""
        self.drained_zones_ = frozenset(drained_zones)
        for upstream in self.upstreams_.values():
            is_drained = upstream.announcement.availability_zone in self.drained_zones_
            if is_drained != upstream.drained_:
                upstream.drained_ = is_drained
                upstream.warm_up_.reset()
                self.refresh(upstream)

    def set_load_bound(self, load_bound):
        """Set the load bound of all groups."""
        self.load_bound = load_bound
        for group in self.groups_.values():
            group.load_bound = load_bound

    def refresh(self, upstream):
        """Update the placement groups after a change of an upstream."""
        is_placeable = upstream.is_available()
        if is_placeable != upstream.is_placeable_:
            self._set_placeable(upstream, is_placeable)
            return
        load, limit, load_if_free = (
            upstream.load,
            upstream.warm_up_.limit_,
            upstream.load_if_free,
        )
        if is_placeable:
            for group in upstream.groups_:
                group.update(upstream, load, limit, load_if_free)
        self._store_grouped_values(upstream, load, limit, load_if_free)

    def _set_placeable(self, upstream, is_placeable):
        if upstream.is_placeable_:
            for group in upstream.groups_:
                group.remove(upstream)
        upstream.is_placeable_ = is_placeable
        limit = upstream.warm_up_.limit_
        self._store_grouped_values(upstream, upstream.load, limit, upstream.load_if_free)
        if is_placeable:
            for group in upstream.groups_:
                group.add(upstream)

    @staticmethod
    def _store_grouped_values(upstream, load, limit, load_if_free):
        upstream.grouped_load_ = load
        upstream.grouped_limit_ = limit
        upstream.grouped_load_if_free_ = load_if_free

    def _update(self, upstream, announcement):
        has_returned = upstream.departed_ or upstream.announcement.leaving
        has_new_models = announcement.models != upstream.announcement.models
        upstream.departed_ = False
        upstream.unreachable_ = False
        self.backoff_ends_.remove(upstream)
        upstream.announcement = announcement
        upstream.warm_up_.set_capacities(announcement.capacity, announcement.cold_capacity)
        upstream.warm_up_.set_reported_cold(announcement.cold)
        if has_returned:
            upstream.warm_up_.reset()
        if has_new_models:
            self._regroup(upstream)
        self.refresh(upstream)

    def _add(self, announcement, now):
        upstream = UpstreamState(announcement)
        upstream.drained_ = announcement.availability_zone in self.drained_zones_
        self.upstreams_[announcement.upstream_id] = upstream
        self.expiries_.add(announcement.upstream_id, now + announcement.valid_ms / 1000)
        self._get_or_create_group(announcement.service, "")
        self._regroup(upstream)
        self.refresh(upstream)
        return upstream

    def _remove(self, upstream):
        self._set_placeable(upstream, False)
        upstream.departed_ = True
        upstream.groups_ = []
        self.expiries_.remove(upstream.upstream_id)
        self.backoff_ends_.remove(upstream)
        del self.upstreams_[upstream.upstream_id]

    def _get_or_create_group(self, service, model):
        return self.groups_.setdefault((service, model), PlacementGroup(self.load_bound))

    def _regroup(self, upstream):
        self._set_placeable(upstream, False)
        service = upstream.announcement.service
        upstream.groups_ = [
            group
            for (group_service, model), group in self.groups_.items()
            if group_service == service and upstream.serves_model(model)
        ]

    def _add_to_group(self, upstream, group):
        upstream.groups_.append(group)
        if upstream.is_placeable_:
            group.add(upstream)
