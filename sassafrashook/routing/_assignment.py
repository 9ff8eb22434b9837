"""Grants and releases of permits: the running counts of one owner."""

from sassafrashook.base import Send
from sassafrashook.messages import PermitGranted, PermitOutcome, PermitRefused
from sassafrashook.outcomes import RefusalReason
from sassafrashook.routing._actions import Quarantine
from sassafrashook.routing._deadlines import DeadlineTable
from sassafrashook.routing._invariants import InvariantError, check_grant
from sassafrashook.routing._sessions import PermitRecord

RUNNING_MARGIN_S = 2.0
RUNNING_MAX_MS = 600_000
ABSENT_RETRY_S = 1.0

BROKEN_OUTCOMES = frozenset({PermitOutcome.BROKE, PermitOutcome.SILENT})


class Assigner:
    """Places requests at upstreams and counts what runs there.

    :param state: the :class:`OwnerState`.
    """

    def __init__(self, state):
        self.state = state
        self.deadlines_ = DeadlineTable()

    def place(self, query):
        """Return the upstream where a request should run, or ``None`` if none has room."""
        group = self.state.find_group(query)
        if group is None or not group.has_room():
            return None
        bound = group.bound()
        for upstream in self._list_wanted(query):
            is_member = group.upstreams_.get(upstream.point) is upstream
            has_room = 0 <= upstream.room < bound
            if is_member and has_room and upstream.upstream_id not in query.tried:
                return upstream
        return group.find(query.conversation_key, query.tried)

    def try_grant(self, entry, now):
        """Grant a permit if an upstream has room.

        :returns: whether the entry is settled, granted or refused.
        """
        upstream = self.place(entry.query)
        if upstream is None:
            return False
        if not self.state.suspects_.may_run(entry.query.fingerprint, upstream):
            return False
        self.grant(entry, upstream, False, now)
        return True

    def grant(self, entry, upstream, isolated, now):
        """Count a permit and send it, unless that would break an invariant.

        :param isolated: whether nothing else may run beside it.
        """
        state, query = self.state, entry.query
        try:
            check_grant(upstream, state.find_group(query), state, query.fingerprint)
        except InvariantError as error:
            state.count("invariant_violations", error.invariant.value)
            self.refuse(entry, RefusalReason.NO_CAPACITY, ABSENT_RETRY_S)
            return
        waited_s = now - entry.arrived
        use_within_ms = int(waited_s * 1000) + state.rules.use_within_ms
        record = PermitRecord(
            session=entry.session,
            request_id=query.request_id,
            upstream=upstream,
            boot_id=upstream.announcement.boot_id,
            ramp=upstream.warm_up_.ramp_,
            service=entry.service,
            account=query.account,
            fingerprint=query.fingerprint,
            granted=now,
            isolated=isolated,
            grant=self._make_grant(query, upstream, use_within_ms),
        )
        self.count_permit(record, state.rules.use_within_ms + query.running_ms)
        state.hints_.put(query.conversation_key, upstream)
        state.actions_.append(Send(entry.session.router, record.grant))

    def refuse(self, entry, reason, retry_s):
        """Give a request up.

        :param retry_s: seconds after which the caller should come back; 0 if never.
        """
        self.state.count("permits_refused", reason.value)
        message = PermitRefused(entry.query.request_id, reason.value, int(retry_s * 1000))
        self.state.actions_.append(Send(entry.session.router, message))

    def count_permit(self, record, running_ms):
        """Count a permit as running.

        :param running_ms: how long its request may run, from when it was granted.
        """
        record.session.permits_[record.request_id] = record
        record.upstream.permits_[record] = None
        running_s = min(running_ms, RUNNING_MAX_MS) / 1000
        self.deadlines_.add(record, record.granted + running_s + RUNNING_MARGIN_S)
        record.service.note_started(record)
        self.state.suspects_.note_started(record.fingerprint, record.upstream)
        self.state.upstreams_.refresh(record.upstream)

    def forget(self, record):
        """Stop counting a permit."""
        del record.session.permits_[record.request_id]
        del record.upstream.permits_[record]
        self.deadlines_.remove(record)
        record.service.note_ended(record)
        self.state.suspects_.note_ended(record.fingerprint, record.upstream)
        self.state.upstreams_.refresh(record.upstream)

    def move(self, record, upstream):
        """Count a permit at another state of its upstream."""
        service = self.state.get_service(upstream.announcement.service)
        self.state.suspects_.note_ended(record.fingerprint, record.upstream)
        self.state.suspects_.note_started(record.fingerprint, upstream)
        record.service.note_ended(record)
        service.note_started(record)
        del record.upstream.permits_[record]
        upstream.permits_[record] = None
        record.upstream = upstream
        record.service = service

    def release(self, record, outcome, first_token_ms, now):
        """Stop counting a permit and act on how its use ended."""
        upstream = record.upstream
        if outcome == PermitOutcome.CRASHED:
            self._note_crashed(record, now)
        self.forget(record)
        if outcome == PermitOutcome.FINISHED:
            record.service.note_finished(now - record.granted, first_token_ms)
            self.state.suspects_.note_finished(record.fingerprint)
        if record.is_of_this_boot():
            self._judge(record, outcome, first_token_ms, now)
        self.state.upstreams_.refresh(upstream)

    def carry_over(self, old, new, since):
        """Count at a new boot the permits that may yet be used there.

        :param since: seconds; what was granted before can't reach the new boot.
        """
        for record in [record for record in old.permits_ if record.granted >= since]:
            self.move(record, new)
        self.state.upstreams_.refresh(new)

    def note_crash(self, upstream, now):
        """Act on the crash of an upstream; it may be told several times for each boot."""
        for fingerprint in self.state.suspects_.note_crash(upstream, now):
            self.state.actions_.append(Quarantine(fingerprint))
        if upstream.crashed_:
            return
        upstream.crashed_ = True
        upstream.warm_up_.restart()
        self.state.count("upstream_crashes", upstream.upstream_id)
        if self.state.upstreams_.get(upstream.upstream_id) is upstream:
            self.state.upstreams_.leave(upstream.upstream_id)

    def _note_crashed(self, record, now):
        if record.is_of_this_boot():
            self.note_crash(record.upstream, now)
            return
        boot = f"{record.upstream.upstream_id}/{record.boot_id}"
        for fingerprint in self.state.suspects_.count_crash([record.fingerprint], boot, now):
            self.state.actions_.append(Quarantine(fingerprint))

    def expire(self, now):
        """Drop permits whose running deadline and margin have passed.

        :returns: the services that they were counted for.
        """
        due = self.deadlines_.pop_due(now)
        for record in due:
            self.state.count("permits_expired", record.upstream.upstream_id)
            self.forget(record)
        return {record.service.name: record.service for record in due}.values()

    def _list_wanted(self, query):
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
            priority=self.state.rank(query.work_class),
            epoch=self.state.rules.epoch,
        )

    def _judge(self, record, outcome, first_token_ms, now):
        """Let the limit of an upstream follow from how a permit's use ended there."""
        upstream = record.upstream
        if outcome == PermitOutcome.FINISHED:
            self.state.upstreams_.reach(upstream)
            upstream.warm_up_.note_finished(first_token_ms, record.ramp)
            self.state.suspects_.note_alive(upstream)
        elif outcome in BROKEN_OUTCOMES:
            upstream.warm_up_.note_failed()
            if not upstream.crashed_:
                self.state.suspects_.note_broken(record.fingerprint, upstream, now)
        elif outcome == PermitOutcome.BUSY:
            upstream.warm_up_.note_busy(upstream.load)
        elif outcome == PermitOutcome.CONNECT_FAILED:
            upstream.warm_up_.restart()
            self.state.upstreams_.hold_back(upstream, now)
