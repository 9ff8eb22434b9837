"""Messages about calls that must run at most once.

A router sends the first byte of such a call only after a quorum of controllers has committed its
claim. A granted claim whose call may have run is never granted to another attempt.
"""

from enum import StrEnum

from sassafrashook.messages._message import Message


class ClaimStatus(StrEnum):
    """Decision on a claim, according to the replicated record of its key."""

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
