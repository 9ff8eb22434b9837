"""Runs suspect requests alone: nothing else runs at their upstream meanwhile.

Where one upstream is left, keeping it free would starve everybody else; a suspect then runs beside
others, but never beside another suspect, so that a second crash still tells which one it was.
"""

from bisect import insort

from sassafrashook.outcomes import RefusalReason

ISOLATION_KEPT_S = 5.0


class Isolation:
    """Keeps upstreams free for suspects and runs them one at a time.

    :param state: the :class:`OwnerState`.
    :param assigner: the :class:`Assigner`.
    """

    def __init__(self, state, assigner):
        self.state = state
        self.assigner = assigner

    def add(self, entry):
        """Queue a suspect, by deadline."""
        insort(entry.service.suspects_, entry, key=lambda waiting: waiting.key())

    def run(self, service, now):
        """Grant to suspects the upstreams that are free, and keep more free if need be.

        :returns: the entries that were settled.
        """
        settled = []
        for entry in list(service.suspects_):
            if self._run_one(entry, now):
                service.suspects_.remove(entry)
                settled.append(entry)
        self._free_unused(service, now)
        return settled

    def next_deadline(self):
        """Return when an upstream may be kept free no longer, or ``None``."""
        if not self.state.may_grant():
            return None
        kept = [
            until
            for service in self.state.services_.values()
            for upstream, until in service.reserved_.items()
            if not upstream.load
        ]
        return min(kept, default=None)

    def _run_one(self, entry, now):
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
        last = self._find_last(entry)
        if last is not None:
            return self._run_beside(entry, last, now)
        upstream = self._find_upstream(entry, now)
        if upstream is None or upstream.load:
            return False
        self.assigner.grant(entry, upstream, True, now)
        return True

    def _find_last(self, entry):
        """Return the only live upstream of the group, or ``None`` if there are several or none."""
        group = self.state.find_group(entry.query)
        if group is None or len(group.upstreams_) != 1:
            return None
        return next(iter(group.upstreams_.values()))

    def _run_beside(self, entry, upstream, now):
        if upstream.reserved_:
            del entry.service.reserved_[upstream]
            upstream.reserved_ = False
            self.state.upstreams_.refresh(upstream)
        if self.state.suspects_.run_at(upstream):
            return False
        if self.assigner.place(entry.query) is not upstream:
            return False
        self.assigner.grant(entry, upstream, False, now)
        return True

    def _find_upstream(self, entry, now):
        group = self.state.find_group(entry.query)
        if group is None:
            return None
        reserved = entry.service.reserved_
        usable = [
            upstream
            for upstream in reserved
            if upstream.live_
            and group.upstreams_.get(upstream.point) is upstream
            and upstream.upstream_id not in entry.query.tried
        ]
        if usable:
            upstream = min(usable, key=lambda candidate: (candidate.load, candidate.point))
            reserved[upstream] = now + ISOLATION_KEPT_S
            if not upstream.load or len(reserved) >= entry.service.isolation_limit(group):
                return upstream
        if len(reserved) >= entry.service.isolation_limit(group):
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
        entry.service.reserved_[upstream] = now + ISOLATION_KEPT_S
        self.state.upstreams_.refresh(upstream)
        return upstream

    def _free_unused(self, service, now):
        for upstream, until in list(service.reserved_.items()):
            if not upstream.live_ or (now >= until and not upstream.load):
                del service.reserved_[upstream]
                upstream.reserved_ = False
                self.state.upstreams_.refresh(upstream)
