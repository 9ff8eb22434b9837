"""Grants and releases permits and keeps the running counts of one owner."""

from sassafrashook.base import Send
from sassafrashook.messages import PermitGranted, PermitOutcome, PermitRefused
from sassafrashook.outcomes import RefusalReason
from sassafrashook.routing._actions import Quarantine
from sassafrashook.routing._deadlines import DeadlineTable
from sassafrashook.routing._invariants import InvariantError, check_grant
from sassafrashook.routing._sessions import PermitRecord

RUNNING_MARGIN_S = 2.0  # added to the running time of a permit before it is discarded
MAX_RUNNING_MS = 600_000
UNAVAILABLE_RETRY_S = 1.0

INTERRUPTED_OUTCOMES = frozenset({PermitOutcome.BROKE, PermitOutcome.SILENT})


class Assigner:
    """Assigns requests to upstreams and counts the requests that run on each of them.

    :param state: the :class:`OwnerState`.
    """

    def __init__(self, state):
        self.state = state
        self.deadlines_ = DeadlineTable()

    def select_upstream(self, query):
        """Return the upstream that a request should run on, or ``None`` if none has capacity."""
        group = self.state.find_group(query)
        if group is None or not group.has_capacity():
            return None
        bound = group.compute_bound()
        for upstream in self._list_hinted_upstreams(query):
            is_member = group.upstreams_.get(upstream.point) is upstream
            is_below_bound = 0 <= upstream.load_if_free < bound
            if is_member and is_below_bound and upstream.upstream_id not in query.tried:
                return upstream
        return group.find(query.conversation_key, query.tried)

    def try_grant(self, entry, now):
        """Grant a permit if an upstream has capacity.

        :returns: whether the entry was answered, by a grant or a refusal.
        """
        upstream = self.select_upstream(entry.query)
        if upstream is None:
            return False
        if not self.state.suspects_.may_run(entry.query.fingerprint, upstream):
            return False
        self.grant(entry, upstream, False, now)
        return True

    def grant(self, entry, upstream, isolated, now):
        """Count and send a permit, or refuse the request if the grant would break an invariant.

        :param isolated: whether no other request may run on the upstream at the same time.
        """
        state, query = self.state, entry.query
        try:
            check_grant(upstream, state.find_group(query), state, query.fingerprint)
        except InvariantError as error:
            state.count("invariant_violations", error.invariant.value)
            self.refuse(entry, RefusalReason.NO_CAPACITY, UNAVAILABLE_RETRY_S)
            return
        waited_s = now - entry.arrived
        use_within_ms = int(waited_s * 1000) + state.ledger.use_within_ms
        record = PermitRecord(
            session=entry.session,
            request_id=query.request_id,
            upstream=upstream,
            boot_id=upstream.announcement.boot_id,
            reset_count=upstream.warm_up_.reset_count_,
            service=entry.service,
            account=query.account,
            fingerprint=query.fingerprint,
            granted=now,
            isolated=isolated,
            grant=self._make_grant(query, upstream, use_within_ms),
        )
        self.add_permit(record, state.ledger.use_within_ms + query.running_ms)
        state.hints_.put(query.conversation_key, upstream)
        state.actions_.append(Send(entry.session.router, record.grant))

    def refuse(self, entry, reason, retry_s):
        """Refuse a request.

        :param reason: the :class:`~sassafrashook.outcomes.RefusalReason`.
        :param retry_s: seconds after which the caller should retry, 0 if it should not.
        """
        self.state.count("permits_refused", reason.value)
        message = PermitRefused(entry.query.request_id, reason.value, int(retry_s * 1000))
        self.state.actions_.append(Send(entry.session.router, message))

    def add_permit(self, record, running_ms):
        """Count a permit as running.

        :param running_ms: how long its request may run from the grant on, in milliseconds.
        """
        record.session.permits_[record.request_id] = record
        record.upstream.permits_[record] = None
        running_s = min(running_ms, MAX_RUNNING_MS) / 1000
        self.deadlines_.add(record, record.granted + running_s + RUNNING_MARGIN_S)
        record.service.record_start(record)
        self.state.suspects_.record_start(record.fingerprint, record.upstream)
        self.state.upstreams_.refresh(record.upstream)

    def discard_permit(self, record):
        """Remove a permit from all running counts."""
        del record.session.permits_[record.request_id]
        del record.upstream.permits_[record]
        self.deadlines_.remove(record)
        record.service.record_end(record)
        self.state.suspects_.record_end(record.fingerprint, record.upstream)
        self.state.upstreams_.refresh(record.upstream)

    def transfer_permit(self, record, upstream):
        """Transfer a permit to another :class:`UpstreamState` of the same upstream."""
        service = self.state.get_service(upstream.announcement.service)
        self.state.suspects_.record_end(record.fingerprint, record.upstream)
        self.state.suspects_.record_start(record.fingerprint, upstream)
        record.service.record_end(record)
        service.record_start(record)
        del record.upstream.permits_[record]
        upstream.permits_[record] = None
        record.upstream = upstream
        record.service = service

    def release(self, record, outcome, first_token_ms, now):
        """Remove a permit from the running counts and process the outcome of its request."""
        upstream = record.upstream
        if outcome == PermitOutcome.CRASHED:
            self._record_reported_crash(record, now)
        self.discard_permit(record)
        if outcome == PermitOutcome.FINISHED:
            record.service.record_finished(now - record.granted, first_token_ms)
            self.state.suspects_.record_finished(record.fingerprint)
        if record.is_current_boot():
            self._apply_outcome(record, outcome, first_token_ms, now)
        self.state.upstreams_.refresh(upstream)

    def transfer_permits(self, old, new, since):
        """Transfer to a new boot the permits that may still be used on it.

        :param old: the :class:`UpstreamState` of the replaced boot.
        :param new: the :class:`UpstreamState` of the new boot.
        :param since: time in seconds; requests granted earlier cannot reach the new boot.
        """
        for record in [record for record in old.permits_ if record.granted >= since]:
            self.transfer_permit(record, new)
        self.state.upstreams_.refresh(new)

    def record_upstream_crash(self, upstream, now):
        """Process the crash of an upstream, which may be reported several times for one boot."""
        for fingerprint in self.state.suspects_.record_crash(upstream, now):
            self.state.actions_.append(Quarantine(fingerprint))
        if upstream.crashed_:
            return
        upstream.crashed_ = True
        upstream.warm_up_.reset()
        self.state.count("upstream_crashes", upstream.upstream_id)
        if self.state.upstreams_.get(upstream.upstream_id) is upstream:
            self.state.upstreams_.mark_departed(upstream.upstream_id)

    def _record_reported_crash(self, record, now):
        if record.is_current_boot():
            self.record_upstream_crash(record.upstream, now)
            return
        boot = f"{record.upstream.upstream_id}/{record.boot_id}"
        for fingerprint in self.state.suspects_.count_crash([record.fingerprint], boot, now):
            self.state.actions_.append(Quarantine(fingerprint))

    def expire(self, now):
        """Discard permits whose running deadline has passed by ``RUNNING_MARGIN_S``.

        They are counted as ``permits_expired``.

        :returns: the services that the discarded permits were counted for.
        """
        due = self.deadlines_.pop_due(now)
        for record in due:
            self.state.count("permits_expired", record.upstream.upstream_id)
            self.discard_permit(record)
        return {record.service.name: record.service for record in due}.values()

    def _list_hinted_upstreams(self, query):
        preferred = self.state.upstreams_.get(query.preferred)
        holder = self.state.hints_.get(query.conversation_key)
        return [upstream for upstream in (preferred, holder) if upstream is not None]

    def _make_grant(self, query, upstream, use_within_ms):
        announcement = upstream.announcement
        return PermitGranted(
            request_id=query.request_id,
            upstream_id=upstream.upstream_id,
            boot_id=announcement.boot_id,
            host=announcement.host,
            port=announcement.port,
            use_within_ms=use_within_ms,
            priority=self.state.get_priority(query.work_class),
            epoch=self.state.ledger.epoch,
        )

    def _apply_outcome(self, record, outcome, first_token_ms, now):
        """Adjust the limit and the health state of an upstream to the outcome of a request."""
        upstream = record.upstream
        if outcome == PermitOutcome.FINISHED:
            self.state.upstreams_.mark_reachable(upstream)
            upstream.warm_up_.record_finished(first_token_ms, record.reset_count)
            self.state.suspects_.clear_interrupted(upstream)
        elif outcome in INTERRUPTED_OUTCOMES:
            upstream.warm_up_.record_interrupted()
            if not upstream.crashed_:
                self.state.suspects_.retain_interrupted_run(record.fingerprint, upstream, now)
        elif outcome == PermitOutcome.BUSY:
            upstream.warm_up_.record_busy(upstream.load)
        elif outcome == PermitOutcome.CONNECT_FAILED:
            upstream.warm_up_.reset()
            self.state.upstreams_.mark_unreachable(upstream, now)
