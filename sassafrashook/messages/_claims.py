"""Messages about calls that must run at most once.

A router sends the first byte of such a call only after a quorum of controllers has committed its
claim. Once a call may have run, its key is never granted to another attempt.
"""

from enum import StrEnum

from sassafrashook.messages._message import Message


class ClaimStatus(StrEnum):
    """Reply to a claim or to a completion.

    :cvar GRANTED: the attempt holds the key, so the call may run.
    :cvar RUNNING: not granted, because another attempt held the key; the call may have ended since.
    :cvar RECORDED: the outcome of the call, or of the completed attempt, is recorded.
    :cvar CONFLICT: the key was claimed with another digest, or a completion came from an attempt
        that does not hold the key.
    :cvar EXPIRED: not granted, because the deadline has passed; or the record to complete is gone.
    :cvar UNAVAILABLE: certainly not granted, for example because no leader was reachable or the
        table of records is full.
    :cvar UNKNOWN: the claim may have been granted, or the completion recorded.
    """

    GRANTED = "granted"
    RUNNING = "running"
    RECORDED = "recorded"
    CONFLICT = "conflict"
    EXPIRED = "expired"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class RecordedAnswer(Message):
    """Recorded outcome of a call, which is returned to repeats of it.

    :param verdict: a :class:`~sassafrashook.outcomes.Verdict`.
    :param status: HTTP status, 0 if there was no response.
    :param truncated: whether the body is missing because it was too large or its retention time
        has passed.
    """

    verdict: str
    status: int
    content_type: str
    body: bytes
    truncated: bool = False


class ClaimRequested(Message):
    """A router requests to run a call once.

    :param claim_id: unique within the router's boot; the decision repeats it.
    :param attempt: unique for each intended execution; a resend of this message has the same
        value, and only a resend may get ``granted`` again.
    :param account: name of the client account.
    :param service: name of the service.
    :param key: the caller's idempotency key.
    :param digest: digest of method, path and body, hexadecimal.
    :param deadline_unix_ms: the caller's deadline, wall-clock milliseconds.
    """

    claim_id: int
    attempt: str
    account: str
    service: str
    key: str
    digest: str
    deadline_unix_ms: int


class ClaimDecided(Message):
    """A controller replies to a claim or a completion.

    :param status: only ``granted`` permits the call to run; ``unavailable`` means that the claim
        was certainly not granted, ``unknown`` that it may have been.
    :param answer: the recorded outcome, if there is one.
    """

    claim_id: int
    status: ClaimStatus
    answer: RecordedAnswer | None = None


class ClaimCompleted(Message):
    """A router reports the outcome of a call whose claim was granted.

    :param claim_id: repeated in the reply, a :class:`ClaimDecided` with status ``recorded``.
    """

    claim_id: int
    attempt: str
    account: str
    service: str
    key: str
    answer: RecordedAnswer
