"""Admission of requests at the owner: each one is granted a permit, queued or refused."""

from sassafrashook.outcomes import RefusalReason
from sassafrashook.routing._admission_queue import QueueEntry
from sassafrashook.routing._assignment import UNAVAILABLE_RETRY_S
from sassafrashook.routing._deadlines import DeadlineTable

DEFERRED_MAX = 8  # entries that could not be placed, per pass over a queue


class AdmissionScheduler:
    """Admits requests and keeps the waiting ones of all services.

    :param state: the :class:`OwnerState`.
    :param assigner: the :class:`Assigner`.
    :param isolation: the :class:`IsolationScheduler`.
    :ivar deadlines_: waiting entries by deadline.
    :ivar sequence_: sequence number of the last entry.
    """

    def __init__(self, state, assigner, isolation):
        self.state = state
        self.assigner = assigner
        self.isolation = isolation
        self.deadlines_ = DeadlineTable()
        self.sequence_ = 0

    def admit(self, session, query, now):
        """Grant, queue or refuse one request.

        Before the owner may grant, requests are queued. A suspect request, one that ran when an
        upstream crashed, is queued to run alone.

        :param session: the router's :class:`Session`.
        :param query: a :class:`~sassafrashook.messages.PermitRequested`.
        :param now: the current time, seconds.
        """
        state, entry = self.state, self._make_entry(session, query, now)
        if state.suspects_.is_quarantined(query.fingerprint):
            self.assigner.refuse(entry, RefusalReason.QUARANTINED, 0)
        elif not state.may_grant():
            self._enqueue_or_refuse(entry, 0.0, now)
        elif not self._has_untried_upstream(query):
            self.assigner.refuse(
                entry, RefusalReason.NO_UPSTREAM, self._add_jitter(UNAVAILABLE_RETRY_S)
            )
        elif state.suspects_.is_suspect(query.fingerprint):
            self._enqueue_suspect(entry)
            self.grant_waiting(entry.service, now)
        elif self._must_queue(entry) or not self.assigner.try_grant(entry, now):
            wait_s = entry.service.queue_.estimate_wait(entry, entry.service.running_)
            self._enqueue_or_refuse(entry, wait_s, now)

    def withdraw(self, entry):
        """Remove a waiting entry without an answer."""
        self._unregister(entry)
        if entry in entry.service.suspect_queue_:
            entry.service.suspect_queue_.remove(entry)
        else:
            entry.service.queue_.remove(entry)

    def grant_waiting(self, service, now):
        """Grant permits to waiting entries of a service while upstreams have capacity.

        Suspects come first. Entries that cannot be placed return to the queue.

        :param service: the :class:`ServiceState`.
        :param now: the current time, seconds.
        """
        if not self.state.may_grant():
            return
        if service.suspect_queue_ or service.reserved_:
            for entry in self.isolation.serve_suspects(service, now):
                self._unregister(entry)
        deferred = []
        while len(service.queue_) and len(deferred) < DEFERRED_MAX:
            entry = self._pop_next(service)
            if entry is None:
                break
            if not self._process_entry(entry, now):
                deferred.append(entry)
        for entry in deferred:
            service.queue_.push(entry)

    def expire(self, now):
        """Refuse the entries whose deadline has passed.

        :param now: the current time, seconds.
        """
        for entry in self.deadlines_.pop_due(now):
            self.withdraw(entry)
            self._refuse_with_retry(entry, 0.0, now)

    def _process_entry(self, entry, now):
        """Grant, refuse or drop an entry taken from its queue, or move it to the suspect queue.

        :returns: ``False`` if no upstream can take it now and it must be queued again; a moved
            entry counts as processed although it still waits.
        """
        if now > entry.session.lease_until_:
            self._unregister(entry)
            return True
        if self.state.suspects_.is_suspect(entry.query.fingerprint):
            self.isolation.add(entry)
            return True
        if self.state.suspects_.is_quarantined(entry.query.fingerprint):
            self.assigner.refuse(entry, RefusalReason.QUARANTINED, 0)
        elif self.assigner.try_grant(entry, now):
            entry.service.queue_.charge(entry)
        else:
            return False
        self._unregister(entry)
        return True

    def _pop_next(self, service):
        group = self.state.upstreams_.find_group(service.name, "")
        if group is None or not group.has_capacity():
            return None
        return service.queue_.pop(
            lambda account: self._has_account_reached_limit(service, account, group)
        )

    def _must_queue(self, entry):
        group = self.state.find_group(entry.query)
        service = entry.service
        return len(service.queue_) > 0 or self._has_account_reached_limit(
            service, entry.query.account, group
        )

    def _has_account_reached_limit(self, service, account, group):
        is_shared = len(self.state.shares_) > 1
        return service.has_reached_limit(account, group, self.state.ledger, is_shared)

    def _enqueue_or_refuse(self, entry, wait_s, now):
        service, ledger = entry.service, self.state.ledger
        if len(service.queue_) >= ledger.max_queue_size:
            self._refuse_with_retry(entry, wait_s, now, RefusalReason.QUEUE_FULL)
        elif service.queue_.count_waiting(entry.query.account) >= ledger.max_account_queue_size:
            self._refuse_with_retry(entry, wait_s, now, RefusalReason.ACCOUNT_SHARE)
        elif now + wait_s > entry.deadline:
            self._refuse_with_retry(entry, now + wait_s - entry.deadline, now)
        else:
            self._enqueue(entry)
            self.grant_waiting(service, now)

    def _refuse_with_retry(self, entry, excess_s, now, reason=RefusalReason.WAITING_TARGET):
        service = entry.service
        retry_after_s = service.queue_.next_retry_delay_s(
            entry, excess_s, service.running_, now, self.state.ledger.rng
        )
        self.assigner.refuse(entry, reason, retry_after_s)

    def _enqueue(self, entry):
        self._register(entry)
        entry.service.queue_.push(entry)

    def _enqueue_suspect(self, entry):
        self._register(entry)
        self.isolation.add(entry)

    def _register(self, entry):
        entry.session.waiting_[entry.query.request_id] = entry
        self.deadlines_.add(entry, entry.deadline)

    def _unregister(self, entry):
        del entry.session.waiting_[entry.query.request_id]
        self.deadlines_.remove(entry)

    def _has_untried_upstream(self, query):
        """Return whether the group of a request has an upstream that it has not tried."""
        group = self.state.find_group(query)
        if group is None or not group.points_:
            return False
        if len(group.points_) > len(query.tried):
            return True
        upstream_ids = {upstream.upstream_id for upstream in group.upstreams_.values()}
        return not upstream_ids.issubset(query.tried)

    def _add_jitter(self, seconds):
        return seconds * self.state.ledger.rng.uniform(1, 2)

    def _make_entry(self, session, query, now):
        state = self.state
        service = state.get_service(query.service)
        self.sequence_ += 1
        return QueueEntry(
            session=session,
            service=service,
            query=query,
            arrived=now,
            deadline=service.compute_grant_deadline(now, state.compute_waiting_target_s(query)),
            priority=state.get_priority(query.work_class),
            sequence=self.sequence_,
            share=state.shares_.get(query.account, 1.0),
            completion_s=state.get_completion_target_s(query),
        )
