"""Runs suspect requests in isolation: nothing else runs on their upstream at the same time.

If only one upstream is placeable, reserving it would starve all other requests. A suspect then
shares the upstream with ordinary requests, but never with another suspect, so that a second crash
still identifies the request that caused it.
"""

from bisect import insort

from sassafrashook.outcomes import RefusalReason

RESERVATION_S = 5.0


class IsolationScheduler:
    """Reserves upstreams for suspects and runs one suspect on each at a time.

    :param state: the :class:`OwnerState`.
    :param assigner: the :class:`Assigner`.
    """

    def __init__(self, state, assigner):
        self.state = state
        self.assigner = assigner

    def add(self, entry):
        """Insert a suspect into the queue of its service, ordered by deadline."""
        insort(entry.service.suspect_queue_, entry, key=lambda waiting: waiting.sort_key())

    def serve_suspects(self, service, now):
        """Grant idle reserved upstreams to suspects and reserve more upstreams if needed.

        :returns: the entries that are finished: granted, refused or dropped with their session.
        """
        finished_entries = []
        for entry in list(service.suspect_queue_):
            if self._serve_entry(entry, now):
                service.suspect_queue_.remove(entry)
                finished_entries.append(entry)
        self._release_unused(service, now)
        return finished_entries

    def next_deadline(self):
        """Return the time in seconds when the next idle reservation expires, or ``None``."""
        if not self.state.may_grant():
            return None
        expiries = [
            until
            for service in self.state.services_.values()
            for upstream, until in service.reserved_.items()
            if not upstream.load
        ]
        return min(expiries, default=None)

    def _serve_entry(self, entry, now):
        query = entry.query
        if now > entry.session.lease_until_:
            return True
        if self.state.suspects_.is_quarantined(query.fingerprint):
            self.assigner.refuse(entry, RefusalReason.QUARANTINED, 0)
            return True
        if not self.state.suspects_.is_suspect(query.fingerprint):
            return self.assigner.try_grant(entry, now)
        if self.state.suspects_.running_.get(query.fingerprint):
            return False
        only_upstream = self._find_only_upstream(entry)
        if only_upstream is not None:
            return self._grant_shared(entry, only_upstream, now)
        upstream = self._reserve_or_reuse_upstream(entry, now)
        if upstream is None or upstream.load:
            return False
        self.assigner.grant(entry, upstream, True, now)
        return True

    def _find_only_upstream(self, entry):
        """Return the placeable upstream of a group that has exactly one, else ``None``."""
        group = self.state.find_group(entry.query)
        if group is None or len(group.upstreams_) != 1:
            return None
        return next(iter(group.upstreams_.values()))

    def _grant_shared(self, entry, upstream, now):
        if upstream.reserved_:
            del entry.service.reserved_[upstream]
            upstream.reserved_ = False
            self.state.upstreams_.refresh(upstream)
        if self.state.suspects_.runs_suspect(upstream):
            return False
        if self.assigner.select_upstream(entry.query) is not upstream:
            return False
        self.assigner.grant(entry, upstream, False, now)
        return True

    def _reserve_or_reuse_upstream(self, entry, now):
        """Return a reserved upstream for a suspect, or ``None``.

        Extends the reservation of the least loaded one, which may be busy, or reserves another.
        """
        group = self.state.find_group(entry.query)
        if group is None:
            return None
        reserved = entry.service.reserved_
        usable = [
            upstream
            for upstream in reserved
            if upstream.is_placeable_
            and group.upstreams_.get(upstream.point) is upstream
            and upstream.upstream_id not in entry.query.tried
        ]
        if usable:
            upstream = min(usable, key=lambda candidate: (candidate.load, candidate.point))
            reserved[upstream] = now + RESERVATION_S
            if not upstream.load or len(reserved) >= entry.service.max_reserved(group):
                return upstream
        if len(reserved) >= entry.service.max_reserved(group):
            return None
        return self._reserve(entry, group, now)

    def _reserve(self, entry, group, now):
        candidates = [
            upstream
            for upstream in group.upstreams_.values()
            if not upstream.reserved_
            and upstream.warm_up_.limit_ > 0
            and upstream.upstream_id not in entry.query.tried
        ]
        if not candidates:
            return None
        upstream = min(candidates, key=lambda candidate: (candidate.load, candidate.point))
        upstream.reserved_ = True
        entry.service.reserved_[upstream] = now + RESERVATION_S
        self.state.upstreams_.refresh(upstream)
        return upstream

    def _release_unused(self, service, now):
        for upstream, until in list(service.reserved_.items()):
            if not upstream.is_placeable_ or (now >= until and not upstream.load):
                del service.reserved_[upstream]
                upstream.reserved_ = False
                self.state.upstreams_.refresh(upstream)
