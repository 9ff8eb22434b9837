"""Messages about calls that run at most once.

A claim is committed by a quorum before the first byte of the call leaves the router. A claim that
was granted never turns back into permission to run.
"""

from enum import StrEnum

from sassafrashook.messages._message import Message


class ClaimStatus(StrEnum):
    """What the replicated state says of a key."""

    GRANTED = "granted"
    RUNNING = "running"
    RECORDED = "recorded"
    CONFLICT = "conflict"
    EXPIRED = "expired"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class RecordedAnswer(Message):
    """The outcome of a call, kept for repeats.

    :param verdict: a :class:`~sassafrashook.outcomes.Verdict`.
    :param status: HTTP status, 0 if no answer came.
    :param truncated: whether the body was too large, or is too old, to be kept.
    """

    verdict: str
    status: int
    content_type: str
    body: bytes
    truncated: bool = False


class ClaimRequested(Message):
    """A router asks to run a call once.

    :param claim_id: unique within the router's boot; matches the decision to the request.
    :param attempt: unique for each execution that a router intends; a resend of this message after
        a lost answer carries the same, and only it may learn ``granted`` again.
    :param key: the caller's idempotency key.
    :param digest: digest of method, path and body, hexadecimal.
    :param deadline_unix_ms: the caller's deadline, wall clock.
    """

    claim_id: int
    attempt: str
    account: str
    service: str
    key: str
    digest: str
    deadline_unix_ms: int


class ClaimDecided(Message):
    """What was decided on a claim.

    :param status: only ``granted`` permits to run; ``unavailable`` means that nothing was decided
        and nothing was granted; ``unknown`` means that it may have been.
    :param answer: the recorded answer if there is one.
    """

    claim_id: int
    status: ClaimStatus
    answer: RecordedAnswer | None = None


class ClaimCompleted(Message):
    """A router hands in the outcome of a call whose claim it was granted.

    :param claim_id: echoed in a :class:`ClaimDecided` with status ``recorded``.
    """

    claim_id: int
    attempt: str
    account: str
    service: str
    key: str
    answer: RecordedAnswer
