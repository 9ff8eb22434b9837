"""Records of calls that run at most once."""

from heapq import heapify, heappop, heappush

import msgspec

from sassafrashook.messages import ClaimStatus, RecordedAnswer
from sassafrashook.outcomes import Verdict
from sassafrashook.state._commands import ClaimReply

__all__ = ["ClaimRecord", "ClaimTable"]

_ENCODER = msgspec.msgpack.Encoder()
REFUSED = ClaimReply(ClaimStatus.UNAVAILABLE)


class ClaimRecord(msgspec.Struct, array_like=True, gc=False):
    """What is known of one key of an account and service.

    :param keep_ms: before this the record is never forgotten.
    :param forget_ms: from then on the record is forgotten.
    :param retired: whether ``keep_ms`` has passed, so that the record goes when room is short.
    :param released: attempts that recorded, before a byte was sent, that they will never run.
    :param refused: attempts, latest last, that were told that another one runs.
    """

    account: str
    service: str
    key: str
    attempt: str
    digest: str
    deadline_ms: int
    keep_ms: int
    forget_ms: int
    answer: RecordedAnswer | None = None
    retired: bool = False
    released: list[str] = []
    refused: list[str] = []

    @property
    def name(self):
        """What the record is found by."""
        return (self.account, self.service, self.key)


_RECORDS_DECODER = msgspec.msgpack.Decoder(list[ClaimRecord])


class ClaimTable:
    """The once-records, with state bounded by deadlines and counts.

    A record is kept whole until its deadline and the skew margin have passed. Then its body is
    dropped, and the verdict stays for as long as there is room, so that a repeat that carries a
    later deadline still meets it. A call whose own deadline has passed is always refused, so
    forgetting a record never lets the same call run again.

    An attempt that recorded ``not_run`` will never run; another attempt may then be granted the
    key, and the released one never again. An attempt that was refused because another one ran is
    not granted later either: a late copy of its message would take the key for nobody.

    :param limits: a :class:`~sassafrashook.state.StateLimits`.
    """

    def __init__(self, limits):
        self.limits = limits
        self._reset()

    def _reset(self):
        self.records_ = {}
        self.answer_bytes_ = 0
        self.account_counts_ = {}
        self._kept = []
        self._retired = []

    def claim(self, command, now_ms):
        """Decide on a claim.

        :param command: a :class:`~sassafrashook.state.Claim`.
        :returns: a :class:`~sassafrashook.state.ClaimReply`.
        """
        if not self._is_well_formed(command):
            return REFUSED
        record = self.records_.get(_key(command))
        if record is not None:
            return self._repeat(record, command, now_ms)
        if command.deadline_ms <= now_ms:
            return ClaimReply(ClaimStatus.EXPIRED)
        if not self._has_room(command, now_ms):
            return REFUSED
        self._insert(command, now_ms)
        return ClaimReply(ClaimStatus.GRANTED)

    def complete(self, command, now_ms):
        """Record the outcome of a call.

        :param command: a :class:`~sassafrashook.state.CompleteClaim`.
        :returns: a :class:`~sassafrashook.state.ClaimReply`; ``recorded`` if the record holds it.
        """
        record = self.records_.get(_key(command))
        if record is None:
            return ClaimReply(ClaimStatus.EXPIRED)
        if record.attempt != command.attempt:
            return _repeat_release(record, command)
        if record.answer is None and command.answer.verdict == Verdict.NOT_RUN:
            record.released = [*record.released, record.attempt]
        if record.answer is None or _refines(record.answer, command.answer):
            self._store_answer(record, command.answer)
        return ClaimReply(ClaimStatus.RECORDED, record.answer)

    def expire(self, now_ms):
        """Drop bodies and records whose stored deadlines have passed."""
        while self._kept and self._kept[0][0] <= now_ms:
            _, key = heappop(self._kept)
            self._retire(key, now_ms)
        while self._retired and self._retired[0][0] <= now_ms:
            self._pop_retired()

    def save(self):
        """Return the records encoded, in the order of their claims, which all replicas share."""
        return _ENCODER.encode(list(self.records_.values()))

    def restore(self, data):
        """Replace all records by what :meth:`save` returned."""
        self._reset()
        for record in _RECORDS_DECODER.decode(data):
            self.records_[record.name] = record
            self._count_record(record)
        self._kept = [(r.keep_ms, k) for k, r in self.records_.items() if not r.retired]
        self._retired = [(r.forget_ms, k) for k, r in self.records_.items() if r.retired]
        heapify(self._kept)
        heapify(self._retired)

    def _is_well_formed(self, command):
        longest = self.limits.max_key_chars
        texts = (command.attempt, command.account, command.service, command.key, command.digest)
        return all(0 < len(text) <= longest for text in texts)

    def _repeat(self, record, command, now_ms):
        if not self._matches_digest(record, command):
            return ClaimReply(ClaimStatus.CONFLICT)
        self._extend(record, command, now_ms)
        if command.attempt in record.refused:
            return ClaimReply(ClaimStatus.RUNNING)
        if self._may_grant_again(record, command, now_ms):
            self._grant_again(record, command)
        if record.answer is not None:
            return ClaimReply(ClaimStatus.RECORDED, record.answer)
        if record.attempt != command.attempt:
            return self._refuse_attempt(record, command, now_ms)
        if record.deadline_ms <= now_ms:
            return ClaimReply(ClaimStatus.EXPIRED)
        return ClaimReply(ClaimStatus.GRANTED)

    def _refuse_attempt(self, record, command, now_ms):
        """Refuse an attempt for good; one past its deadline needs no memory, as with questions."""
        if command.deadline_ms <= now_ms:
            return ClaimReply(ClaimStatus.RUNNING)
        latest = [*record.refused, command.attempt]
        record.refused = latest[-self.limits.max_refused_attempts :]
        return ClaimReply(ClaimStatus.RUNNING)

    def _may_grant_again(self, record, command, now_ms):
        if record.answer is None or record.attempt not in record.released:
            return False
        if command.attempt in record.released or command.deadline_ms <= now_ms:
            return False
        return not record.retired and len(record.released) < self.limits.max_released_attempts

    def _grant_again(self, record, command):
        self.answer_bytes_ -= _body_bytes(record.answer)
        record.answer = None
        record.attempt = command.attempt
        record.deadline_ms = min(command.deadline_ms, record.keep_ms)

    def _matches_digest(self, record, command):
        return record.digest == command.digest

    def _extend(self, record, command, now_ms):
        """Keep a record for a repeat's later deadline; the grant itself is not extended."""
        latest_ms = now_ms + self.limits.claim_horizon_ms
        keep_ms = min(command.deadline_ms, latest_ms) + self.limits.skew_margin_ms
        if keep_ms <= record.keep_ms:
            return
        record.keep_ms = keep_ms
        record.forget_ms = max(record.forget_ms, keep_ms)
        if record.retired:
            record.retired = False
            self._add_account(command.account, 1)
            heappush(self._kept, (keep_ms, _key(command)))

    def _has_room(self, command, now_ms):
        if command.deadline_ms > now_ms + self.limits.claim_horizon_ms:
            return False
        if self.account_counts_.get(command.account, 0) >= self.limits.max_account_claims:
            return False
        if len(self.records_) < self.limits.max_claims:
            return True
        return self._evict()

    def _evict(self):
        while self._retired and len(self.records_) >= self.limits.max_claims:
            self._pop_retired()
        return len(self.records_) < self.limits.max_claims

    def _insert(self, command, now_ms):
        keep_ms = command.deadline_ms + self.limits.skew_margin_ms
        forget_ms = max(keep_ms, now_ms + self.limits.claim_retention_ms)
        key = _key(command)
        record = ClaimRecord(
            *key, command.attempt, command.digest, command.deadline_ms, keep_ms, forget_ms
        )
        assert key not in self.records_, "a claim was granted twice"
        self.records_[key] = record
        self._add_account(command.account, 1)
        heappush(self._kept, (keep_ms, key))

    def _store_answer(self, record, answer):
        self.answer_bytes_ -= _body_bytes(record.answer)
        room = self.limits.max_answers_bytes - self.answer_bytes_
        if record.retired or len(answer.body) > min(room, self.limits.max_answer_bytes):
            answer = _drop_body(answer)
        record.answer = answer
        self.answer_bytes_ += _body_bytes(answer)

    def _retire(self, key, now_ms):
        record = self.records_.get(key)
        if record is None or record.retired:
            return
        if record.keep_ms > now_ms:
            heappush(self._kept, (record.keep_ms, key))
            return
        record.retired = True
        self._add_account(key[0], -1)
        if record.answer is not None:
            self.answer_bytes_ -= _body_bytes(record.answer)
            record.answer = _drop_body(record.answer)
        heappush(self._retired, (record.forget_ms, key))

    def _pop_retired(self):
        due_ms, key = heappop(self._retired)
        record = self.records_.get(key)
        if record is None or not record.retired or record.forget_ms != due_ms:
            return
        del self.records_[key]

    def _count_record(self, record):
        if not record.retired:
            self._add_account(record.account, 1)
        self.answer_bytes_ += _body_bytes(record.answer)

    def _add_account(self, account, change):
        count = self.account_counts_.get(account, 0) + change
        assert count >= 0, "an account holds fewer than no records"
        if count:
            self.account_counts_[account] = count
        else:
            del self.account_counts_[account]


def _key(command):
    return (command.account, command.service, command.key)


def _repeat_release(record, command):
    """Decide on the completion of an attempt that does not hold the key, or no longer does."""
    was_released = command.attempt in record.released
    if was_released and command.answer.verdict == Verdict.NOT_RUN:
        return ClaimReply(ClaimStatus.RECORDED, command.answer)
    return ClaimReply(ClaimStatus.CONFLICT)


def _body_bytes(answer):
    return len(answer.body) if answer is not None else 0


def _drop_body(answer):
    return RecordedAnswer(answer.verdict, answer.status, answer.content_type, b"", True)


def _refines(old, new):
    return old.verdict == Verdict.MAY_HAVE_RUN and new.verdict != Verdict.MAY_HAVE_RUN
