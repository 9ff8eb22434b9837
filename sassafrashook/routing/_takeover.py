"""What a new term learns before it grants, and what it counts for routers that do not report."""

from sassafrashook.messages import UpstreamAnnouncement, UpstreamKind
from sassafrashook.routing._assignment import RUNNING_MARGIN_S, RUNNING_MAX_MS
from sassafrashook.routing._sessions import PermitRecord
from sassafrashook.routing._upstream import UpstreamState

REPORT_LAG_S = 1.0
EARLIER_RAMP = -1


class Takeover:
    """The wait for the known routers, and the charges for those that are missing.

    A charge stands for the requests that a missing router may still run at an upstream: all that
    the upstream reports as running but nobody has reported to hold. Until a report arrives, it is
    the whole capacity.

    :param state: the :class:`OwnerState`.
    :param assigner: the :class:`Assigner`.

    Attributes
    ----------
    missing_ : set of the routers that have not reported yet; one name may be there with two boots.
    deadline_ : seconds after which the missing routers can start nothing more.
    charges_until_ : seconds after which nothing of an earlier term can run any longer.
    unknown_ : stand-ins for upstreams that routers hold permits of but that were not
        seen yet, by name.
    """

    def __init__(self, state, assigner):
        self.state = state
        self.assigner = assigner
        self.missing_ = set()
        self.deadline_ = None
        self.charges_until_ = None
        self.unknown_ = {}

    def begin(self, routers, now, wait_s):
        """Wait for the known routers.

        :param routers: :class:`KnownRouter` values.
        """
        self.missing_ = set(routers)
        if not self.missing_:
            self.state.taken_over_ = True
            return
        self.deadline_ = now + wait_s
        running_s = RUNNING_MAX_MS / 1000 + RUNNING_MARGIN_S
        self.charges_until_ = self.deadline_ + running_s

    def adopt(self, session, holding, now):
        """Count a permit that an earlier owner granted.

        It counts at the upstream's present boot even if it was granted for another, since its
        request may have reached either.
        """
        state = self.state
        if holding.request_id in session.ended_ or holding.request_id in session.permits_:
            return
        upstream = state.upstreams_.get(holding.upstream_id)
        if upstream is None:
            upstream = self._find_unknown(holding)
        record = PermitRecord(
            session=session,
            request_id=holding.request_id,
            upstream=upstream,
            boot_id=holding.boot_id,
            ramp=EARLIER_RAMP,
            service=state.get_service(upstream.announcement.service),
            account=holding.account,
            fingerprint=holding.fingerprint,
            granted=now,
        )
        if upstream.charge_ and session.identity() in self.missing_:
            upstream.charge_ -= 1
        self.assigner.count_permit(record, holding.running_ms)
        self._keep_warm(upstream, upstream.count_of_this_boot())

    def note_seen(self, upstream):
        """Count at a newly seen upstream what was held there all along."""
        if self.charges_until_ is not None and self.taken_over_with_missing():
            upstream.charge_ = upstream.announcement.capacity
        unknown = self.unknown_.pop(upstream.upstream_id, None)
        if unknown is not None:
            for record in list(unknown.permits_):
                self.assigner.move(record, upstream)
            self._keep_warm(upstream, upstream.count_of_this_boot())
        self.state.upstreams_.refresh(upstream)

    def taken_over_with_missing(self):
        """Return whether grants began while routers were missing."""
        return self.state.taken_over_ and bool(self.missing_)

    def note_reported(self, session, now):
        """Count a router's report."""
        if session.identity() not in self.missing_:
            return
        self.missing_.remove(session.identity())
        if not self.missing_:
            self.state.taken_over_ = True
            self._clear_charges()

    def note_load(self, upstream, report, now):
        """Lower an upstream's charge by its own report."""
        if not upstream.charge_ and self.state.taken_over_:
            return
        if not self.state.taken_over_:
            self._keep_warm(upstream, report.running)
            return
        upstream.charge_ = min(upstream.charge_, self._unexplained(upstream, report.running, now))

    def advance(self, now):
        """End the wait, or the charges, when their deadline has passed."""
        if self.deadline_ is not None and now >= self.deadline_:
            self.deadline_ = None
            if not self.state.taken_over_:
                self._charge_all(now)
                self.state.taken_over_ = True
        if self.charges_until_ is not None and now >= self.charges_until_:
            self._clear_charges()

    def next_deadline(self):
        """Return when :meth:`advance` must be called next, or ``None``."""
        return self.deadline_ if self.deadline_ is not None else self.charges_until_

    def _find_unknown(self, holding):
        unknown = self.unknown_.get(holding.upstream_id)
        if unknown is None:
            unknown = self.unknown_[holding.upstream_id] = _make_unknown(holding)
        return unknown

    def _charge_all(self, now):
        for upstream in self.state.upstreams_.upstreams_.values():
            running = upstream.reported_
            if running is None:
                running = upstream.announcement.capacity
            upstream.charge_ = self._unexplained(upstream, running, now)
            self.state.upstreams_.refresh(upstream)

    def _clear_charges(self):
        self.charges_until_ = None
        for upstream in self.state.upstreams_.upstreams_.values():
            upstream.charge_ = 0
            self.state.upstreams_.refresh(upstream)

    def _unexplained(self, upstream, running, now):
        since = now - REPORT_LAG_S
        explained = sum(record.granted <= since for record in upstream.permits_)
        return max(0, running - explained)

    def _keep_warm(self, upstream, running):
        if self.state.taken_over_ or upstream.warm_up_.stated_cold_:
            return
        upstream.warm_up_.raise_limit(running)
        self.state.upstreams_.refresh(upstream)


def _make_unknown(holding):
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
