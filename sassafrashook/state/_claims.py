"""Idempotency records for calls that must run at most once."""

from heapq import heapify, heappop, heappush

import msgspec

from sassafrashook.messages import ClaimStatus, RecordedAnswer
from sassafrashook.outcomes import Verdict
from sassafrashook.state._commands import ClaimReply

__all__ = ["ClaimRecord", "ClaimTable"]

_ENCODER = msgspec.msgpack.Encoder()
UNAVAILABLE_REPLY = ClaimReply(ClaimStatus.UNAVAILABLE)


class ClaimRecord(msgspec.Struct, array_like=True, gc=False):
    """State of one idempotency key, which belongs to one account and service.

    All times are wall-clock milliseconds.

    :param attempt: the attempt that was granted the key last.
    :param digest: digest of the call's method, path and body, hexadecimal.
    :param deadline_ms: when the grant expires.
    :param retain_until_ms: until when the record must be kept.
    :param expires_at_ms: when the record is removed.
    :param answer: the recorded outcome, or ``None`` while the call may still be running.
    :param retired: whether ``retain_until_ms`` has passed; a retired record has no body and may
        be evicted to make space.
    :param released_attempts: attempts that reported ``not_run``: they sent nothing and will never
        run.
    :param refused_attempts: attempts, oldest first, that were refused because another one held
        the key.
    """

    account: str
    service: str
    key: str
    attempt: str
    digest: str
    deadline_ms: int
    retain_until_ms: int
    expires_at_ms: int
    answer: RecordedAnswer | None = None
    retired: bool = False
    released_attempts: list[str] = []
    refused_attempts: list[str] = []

    @property
    def lookup_key(self):
        """Key of the record in the table: account, service and idempotency key."""
        return (self.account, self.service, self.key)


_RECORDS_DECODER = msgspec.msgpack.Decoder(list[ClaimRecord])


class ClaimTable:
    """Claims on idempotency keys; deadlines and limits bound its size.

    A record keeps the body of its outcome until its deadline plus the clock skew margin. After that
    the body is dropped, but the verdict is kept while there is space, so that a repeat with a later
    deadline still finds it. A call whose own deadline has passed is never granted, so removing a
    record never allows the same call to run again.

    An attempt that reported ``not_run`` will never run, so the key may be granted to another
    attempt, but never again to the same one. An attempt that was refused because another one held
    the key is not granted it later either: a delayed duplicate of its message would reserve the
    key although its router no longer waits for the decision.

    :param limits: a :class:`~sassafrashook.state.StateLimits`.
    :ivar records_: :class:`ClaimRecord` by account, service and key, in the order of the claims.
    :ivar total_answer_bytes_: total size of the recorded bodies, in bytes.
    :ivar active_counts_by_account_: number of records that are not retired, by account.
    """

    def __init__(self, limits):
        self.limits = limits
        self._reset()

    def _reset(self):
        self.records_ = {}
        self.total_answer_bytes_ = 0
        self.active_counts_by_account_ = {}
        self._active_queue = []
        self._retired_queue = []

    def claim(self, command, now_ms):
        """Grant or refuse a claim.

        :param command: a :class:`~sassafrashook.state.Claim`.
        :param now_ms: replicated clock, in wall-clock milliseconds.
        :returns: a :class:`~sassafrashook.state.ClaimReply`.
        """
        if not self._is_well_formed(command):
            return UNAVAILABLE_REPLY
        record = self.records_.get(_get_key(command))
        if record is not None:
            return self._handle_repeat(record, command, now_ms)
        if command.deadline_ms <= now_ms:
            return ClaimReply(ClaimStatus.EXPIRED)
        if not self._has_capacity(command, now_ms):
            return UNAVAILABLE_REPLY
        self._insert_record(command, now_ms)
        return ClaimReply(ClaimStatus.GRANTED)

    def complete(self, command, now_ms):
        """Record the outcome of a call.

        :param command: a :class:`~sassafrashook.state.CompleteClaim`.
        :param now_ms: replicated clock, in wall-clock milliseconds.
        :returns: a :class:`~sassafrashook.state.ClaimReply`, with status ``recorded`` and the
            recorded outcome if the attempt held the key.
        """
        record = self.records_.get(_get_key(command))
        if record is None:
            return ClaimReply(ClaimStatus.EXPIRED)
        if record.attempt != command.attempt:
            return _complete_without_grant(record, command)
        if record.answer is None and command.answer.verdict == Verdict.NOT_RUN:
            record.released_attempts = [*record.released_attempts, record.attempt]
        if record.answer is None or _resolves_uncertainty(record.answer, command.answer):
            self._store_answer(record, command.answer)
        return ClaimReply(ClaimStatus.RECORDED, record.answer)

    def expire(self, now_ms):
        """Retire and remove the records whose stored deadlines have passed.

        :param now_ms: replicated clock, in wall-clock milliseconds.
        """
        while self._active_queue and self._active_queue[0][0] <= now_ms:
            _, key = heappop(self._active_queue)
            self._retire_record(key, now_ms)
        while self._retired_queue and self._retired_queue[0][0] <= now_ms:
            self._remove_next_retired()

    def save(self):
        """Return the encoded records in the order of their claims, the same on all replicas."""
        return _ENCODER.encode(list(self.records_.values()))

    def restore(self, data):
        """Replace all records with the output of :meth:`save`."""
        self._reset()
        for record in _RECORDS_DECODER.decode(data):
            self.records_[record.lookup_key] = record
            self._add_to_totals(record)
        self._active_queue = [
            (r.retain_until_ms, k) for k, r in self.records_.items() if not r.retired
        ]
        self._retired_queue = [(r.expires_at_ms, k) for k, r in self.records_.items() if r.retired]
        heapify(self._active_queue)
        heapify(self._retired_queue)

    def _is_well_formed(self, command):
        max_chars = self.limits.max_key_chars
        texts = (command.attempt, command.account, command.service, command.key, command.digest)
        return all(0 < len(text) <= max_chars for text in texts)

    def _handle_repeat(self, record, command, now_ms):
        if not self._matches_digest(record, command):
            return ClaimReply(ClaimStatus.CONFLICT)
        self._extend_retention(record, command, now_ms)
        if command.attempt in record.refused_attempts:
            return ClaimReply(ClaimStatus.RUNNING)
        if self._can_regrant(record, command, now_ms):
            self._regrant(record, command)
        if record.answer is not None:
            return ClaimReply(ClaimStatus.RECORDED, record.answer)
        if record.attempt != command.attempt:
            return self._record_refused_attempt(record, command, now_ms)
        if record.deadline_ms <= now_ms:
            return ClaimReply(ClaimStatus.EXPIRED)
        return ClaimReply(ClaimStatus.GRANTED)

    def _record_refused_attempt(self, record, command, now_ms):
        """Refuse an attempt permanently, by adding it to the record's refused attempts.

        A claim past its own deadline is a query, which a router sends to read the record without
        being granted anything. Its attempt is not added and may still be granted the key later.
        """
        if command.deadline_ms <= now_ms:
            return ClaimReply(ClaimStatus.RUNNING)
        attempts = [*record.refused_attempts, command.attempt]
        record.refused_attempts = attempts[-self.limits.max_refused_attempts :]
        return ClaimReply(ClaimStatus.RUNNING)

    def _can_regrant(self, record, command, now_ms):
        if record.answer is None or record.attempt not in record.released_attempts:
            return False
        if command.attempt in record.released_attempts or command.deadline_ms <= now_ms:
            return False
        return (
            not record.retired and len(record.released_attempts) < self.limits.max_released_attempts
        )

    def _regrant(self, record, command):
        self.total_answer_bytes_ -= _count_body_bytes(record.answer)
        record.answer = None
        record.attempt = command.attempt
        record.deadline_ms = min(command.deadline_ms, record.retain_until_ms)

    def _matches_digest(self, record, command):
        return record.digest == command.digest

    def _extend_retention(self, record, command, now_ms):
        """Retain a record until a repeat's later deadline, without extending the grant itself."""
        max_deadline_ms = now_ms + self.limits.max_claim_deadline_ahead_ms
        retain_until_ms = min(command.deadline_ms, max_deadline_ms) + self.limits.skew_margin_ms
        if retain_until_ms <= record.retain_until_ms:
            return
        record.retain_until_ms = retain_until_ms
        record.expires_at_ms = max(record.expires_at_ms, retain_until_ms)
        if record.retired:
            record.retired = False
            self._adjust_account_count(command.account, 1)
            heappush(self._active_queue, (retain_until_ms, _get_key(command)))

    def _has_capacity(self, command, now_ms):
        if command.deadline_ms > now_ms + self.limits.max_claim_deadline_ahead_ms:
            return False
        if self.active_counts_by_account_.get(command.account, 0) >= self.limits.max_account_claims:
            return False
        if len(self.records_) < self.limits.max_claims:
            return True
        return self._evict_retired()

    def _evict_retired(self):
        while self._retired_queue and len(self.records_) >= self.limits.max_claims:
            self._remove_next_retired()
        return len(self.records_) < self.limits.max_claims

    def _insert_record(self, command, now_ms):
        retain_until_ms = command.deadline_ms + self.limits.skew_margin_ms
        expires_at_ms = max(retain_until_ms, now_ms + self.limits.claim_retention_ms)
        key = _get_key(command)
        record = ClaimRecord(
            *key,
            command.attempt,
            command.digest,
            command.deadline_ms,
            retain_until_ms,
            expires_at_ms,
        )
        assert key not in self.records_, "a claim was granted on a key that has a record"
        self.records_[key] = record
        self._adjust_account_count(command.account, 1)
        heappush(self._active_queue, (retain_until_ms, key))

    def _store_answer(self, record, answer):
        self.total_answer_bytes_ -= _count_body_bytes(record.answer)
        available_bytes = self.limits.max_total_answer_bytes - self.total_answer_bytes_
        if record.retired or len(answer.body) > min(available_bytes, self.limits.max_answer_bytes):
            answer = _strip_body(answer)
        record.answer = answer
        self.total_answer_bytes_ += _count_body_bytes(answer)

    def _retire_record(self, key, now_ms):
        record = self.records_.get(key)
        if record is None or record.retired:
            return
        if record.retain_until_ms > now_ms:
            heappush(self._active_queue, (record.retain_until_ms, key))
            return
        record.retired = True
        self._adjust_account_count(key[0], -1)
        if record.answer is not None:
            self.total_answer_bytes_ -= _count_body_bytes(record.answer)
            record.answer = _strip_body(record.answer)
        heappush(self._retired_queue, (record.expires_at_ms, key))

    def _remove_next_retired(self):
        expires_at_ms, key = heappop(self._retired_queue)
        record = self.records_.get(key)
        if record is None or not record.retired or record.expires_at_ms != expires_at_ms:
            return
        del self.records_[key]

    def _add_to_totals(self, record):
        if not record.retired:
            self._adjust_account_count(record.account, 1)
        self.total_answer_bytes_ += _count_body_bytes(record.answer)

    def _adjust_account_count(self, account, delta):
        count = self.active_counts_by_account_.get(account, 0) + delta
        assert count >= 0, "negative number of active records of an account"
        if count:
            self.active_counts_by_account_[account] = count
        else:
            del self.active_counts_by_account_[account]


def _get_key(command):
    return (command.account, command.service, command.key)


def _complete_without_grant(record, command):
    """Reply to the completion of an attempt that was never granted the key or has released it."""
    was_released = command.attempt in record.released_attempts
    if was_released and command.answer.verdict == Verdict.NOT_RUN:
        return ClaimReply(ClaimStatus.RECORDED, command.answer)
    return ClaimReply(ClaimStatus.CONFLICT)


def _count_body_bytes(answer):
    return len(answer.body) if answer is not None else 0


def _strip_body(answer):
    return RecordedAnswer(answer.verdict, answer.status, answer.content_type, b"", True)


def _resolves_uncertainty(recorded, answer):
    return recorded.verdict == Verdict.MAY_HAVE_RUN and answer.verdict != Verdict.MAY_HAVE_RUN
