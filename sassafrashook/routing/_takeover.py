"""Takeover of running permits by a new owner's term."""

from sassafrashook.messages import UpstreamAnnouncement, UpstreamKind
from sassafrashook.routing._assignment import MAX_RUNNING_MS, RUNNING_MARGIN_S
from sassafrashook.routing._sessions import PermitRecord
from sassafrashook.routing._upstream import UpstreamState

REPORT_LAG_S = 1.0  # permits granted this recently may be missing from a load report
PRIOR_TERM_RESET_COUNT = -1  # differs from every reset count, so such responses raise no limit


class Takeover:
    """Collects the permits of earlier terms and presumes a load for routers that do not report.

    The first grant waits until all known routers have reported their permits or the wait ends. The
    presumed load of an upstream is the number of requests that missing routers may still run on
    it: those that its load report counts but no router has reported. Until a load report arrives,
    the upstream is presumed to run as many requests as its capacity allows.

    :param state: the :class:`OwnerState`.
    :param assigner: the :class:`Assigner`.

    :ivar missing_routers_: set of the :class:`RouterIdentity` values that have not reported yet;
        one name may occur with two boot ids.
    :ivar wait_deadline_: time in seconds after which missing routers cannot start any request.
    :ivar presumed_until_: time in seconds after which no request of an earlier term can still run.
    :ivar placeholders_: by upstream id, placeholder states for upstreams that routers hold permits
        for but that have not been announced yet.
    """

    def __init__(self, state, assigner):
        self.state = state
        self.assigner = assigner
        self.missing_routers_ = set()
        self.wait_deadline_ = None
        self.presumed_until_ = None
        self.placeholders_ = {}

    def begin(self, routers, now, wait_s):
        """Start waiting for the reports of the known routers.

        :param routers: :class:`RouterIdentity` values.
        :param wait_s: maximum wait in seconds.
        """
        self.missing_routers_ = set(routers)
        if not self.missing_routers_:
            self.state.takeover_complete_ = True
            return
        self.wait_deadline_ = now + wait_s
        running_s = MAX_RUNNING_MS / 1000 + RUNNING_MARGIN_S
        self.presumed_until_ = self.wait_deadline_ + running_s

    def adopt(self, session, holding, now):
        """Count a permit that an earlier owner granted.

        The permit is counted on the current boot of its upstream even if it was granted for another
        boot, because its request may have reached either of them.
        """
        state = self.state
        if holding.request_id in session.early_releases_ or holding.request_id in session.permits_:
            return
        upstream = state.upstreams_.get(holding.upstream_id)
        if upstream is None:
            upstream = self._get_placeholder(holding)
        record = PermitRecord(
            session=session,
            request_id=holding.request_id,
            upstream=upstream,
            boot_id=holding.boot_id,
            reset_count=PRIOR_TERM_RESET_COUNT,
            service=state.get_service(upstream.announcement.service),
            account=holding.account,
            fingerprint=holding.fingerprint,
            granted=now,
            is_ended=holding.running_ms <= 0,
        )
        if upstream.presumed_load_ and session.identity() in self.missing_routers_:
            upstream.presumed_load_ -= 1
        self.assigner.add_permit(record, holding.running_ms)
        self._raise_limit(upstream, upstream.count_current_boot())

    def handle_first_announcement(self, upstream):
        """Set the presumed load of a new upstream and count the permits already reported for it.

        If the wait ended while routers were missing, the upstream is presumed to be full.
        """
        if self.presumed_until_ is not None and self.has_missing_routers_after_wait():
            upstream.presumed_load_ = upstream.announcement.capacity
        placeholder = self.placeholders_.pop(upstream.upstream_id, None)
        if placeholder is not None:
            for record in list(placeholder.permits_):
                self.assigner.transfer_permit(record, upstream)
            self._raise_limit(upstream, upstream.count_current_boot())
        self.state.upstreams_.refresh(upstream)

    def has_missing_routers_after_wait(self):
        """Return whether the wait ended while routers were still missing."""
        return self.state.takeover_complete_ and bool(self.missing_routers_)

    def record_router_report(self, session, now):
        """Record that a router has reported its permits."""
        if session.identity() not in self.missing_routers_:
            return
        self.missing_routers_.remove(session.identity())
        if not self.missing_routers_:
            self.state.takeover_complete_ = True
            self._clear_presumed_loads()

    def handle_load_report(self, upstream, report, now):
        """Raise the limit during the wait; afterwards lower the presumed load."""
        if not upstream.presumed_load_ and self.state.takeover_complete_:
            return
        if not self.state.takeover_complete_:
            self._raise_limit(upstream, report.running)
            return
        upstream.presumed_load_ = min(
            upstream.presumed_load_, self._count_unaccounted(upstream, report.running, now)
        )

    def advance(self, now):
        """End the wait or clear the presumed loads when their deadline has passed."""
        if self.wait_deadline_ is not None and now >= self.wait_deadline_:
            self.wait_deadline_ = None
            if not self.state.takeover_complete_:
                self._presume_loads(now)
                self.state.takeover_complete_ = True
        if self.presumed_until_ is not None and now >= self.presumed_until_:
            self._clear_presumed_loads()

    def next_deadline(self):
        """Return the time in seconds of the next :meth:`advance` call, or ``None``."""
        return self.wait_deadline_ if self.wait_deadline_ is not None else self.presumed_until_

    def _get_placeholder(self, holding):
        placeholder = self.placeholders_.get(holding.upstream_id)
        if placeholder is None:
            placeholder = self.placeholders_[holding.upstream_id] = _make_placeholder(holding)
        return placeholder

    def _presume_loads(self, now):
        for upstream in self.state.upstreams_.upstreams_.values():
            running = upstream.reported_running_
            if running is None:
                running = upstream.announcement.capacity
            upstream.presumed_load_ = self._count_unaccounted(upstream, running, now)
            self.state.upstreams_.refresh(upstream)

    def _clear_presumed_loads(self):
        self.presumed_until_ = None
        for upstream in self.state.upstreams_.upstreams_.values():
            upstream.presumed_load_ = 0
            self.state.upstreams_.refresh(upstream)

    def _count_unaccounted(self, upstream, running, now):
        since = now - REPORT_LAG_S
        accounted = sum(record.granted <= since for record in upstream.permits_)
        return max(0, running - accounted)

    def _raise_limit(self, upstream, running):
        has_restarted = upstream.warm_up_.reset_count_ > 0 or upstream.warm_up_.reports_cold_
        if self.state.takeover_complete_ or has_restarted:
            return
        upstream.warm_up_.raise_limit(running)
        self.state.upstreams_.refresh(upstream)


def _make_placeholder(holding):
    announcement = UpstreamAnnouncement(
        upstream_id=holding.upstream_id,
        kind=UpstreamKind.ENGINE,
        service="",
        host="",
        port=0,
        availability_zone="",
        boot_id=holding.boot_id,
        sequence=0,
        incarnation=0,
        capacity=0,
        cold_capacity=0,
        valid_ms=0,
    )
    return UpstreamState(announcement)
