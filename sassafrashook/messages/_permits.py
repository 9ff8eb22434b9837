"""Messages between a router and the owner of the running counts.

The owner holds one exact count of running requests for each upstream. A router sends no request
to an upstream without a permit. Times on the wire are milliseconds that remain, since two hosts
share no clock; each side turns them into a deadline on its own clock at once.
"""

from enum import StrEnum

from sassafrashook.messages._message import Message


class PermitOutcome(StrEnum):
    """How the use of a permit ended."""

    FINISHED = "finished"
    UNUSED = "unused"
    BUSY = "busy"
    CONNECT_FAILED = "connect_failed"
    BROKE = "broke"
    CRASHED = "crashed"
    SILENT = "silent"
    CANCELLED = "cancelled"


class PermitRequested(Message):
    """A router asks where one request may go.

    :param request_id: unique within the router's boot; a further attempt takes a new one.
    :param service: name of the service.
    :param conversation_key: 64-bit number that is the same for every return of the chat.
    :param account: name of the client account.
    :param work_class: name of the class of work.
    :param waiting_ms: how much longer the request may wait for a permit.
    :param running_ms: how long it may run once it was sent.
    :param fingerprint: 64-bit number of the request's content, the same for resends.
    :param tried: upstreams that must not be chosen again.
    :param preferred: upstream to be chosen if it has room, or empty (a resumed stream).
    :param model: model that the upstream must hold, or empty.
    """

    request_id: int
    service: str
    conversation_key: int
    account: str
    work_class: str
    waiting_ms: int
    running_ms: int
    fingerprint: int
    tried: list[str] = []
    preferred: str = ""
    model: str = ""


class PermitGranted(Message):
    """The owner counts the request as running at one upstream.

    :param use_within_ms: first byte must leave before this has passed since the router *asked*.
    :param priority: what to tell the upstream; a smaller number is more urgent.
    :param epoch: number of the owner's term.
    """

    request_id: int
    upstream_id: str
    boot_id: str
    host: str
    port: int
    use_within_ms: int
    priority: int
    epoch: int


class PermitRefused(Message):
    """The owner gives the request up; it was never counted.

    :param reason: a :class:`~sassafrashook.outcomes.RefusalReason`.
    :param retry_after_ms: when the caller should come back.
    """

    request_id: int
    reason: str
    retry_after_ms: int


class PermitWithdrawn(Message):
    """The router no longer wants a permit that it asked for; one already granted is released."""

    request_id: int


class PermitReleased(Message):
    """The router no longer uses a permit.

    :param outcome: how its use ended.
    :param first_token_ms: time from the first byte sent to the first event received, or -1.
    """

    request_id: int
    outcome: PermitOutcome
    first_token_ms: int = -1


class Holding(Message):
    """One permit that a router holds, told to a new owner.

    :param running_ms: how much longer the request may run.
    """

    request_id: int
    upstream_id: str
    boot_id: str
    account: str
    work_class: str
    fingerprint: int
    running_ms: int


class SessionOpened(Message):
    """A router registers with the owner, or renews its session.

    :param router: the router's name.
    :param boot_id: new for each start of the process.
    :param sequence: grows with each renewal; echoed in :class:`SessionAccepted`.
    :param holdings: every permit in use, when the session is new to this owner's epoch.
    :param epoch: the owner's epoch that the router knows, 0 if none.
    """

    router: str
    boot_id: str
    sequence: int
    epoch: int
    holdings: list[Holding] = []


class SessionAccepted(Message):
    """The owner confirms a session; the view is fresh as of when the renewal was sent.

    :param epoch: the owner's epoch; a router that did not send its holdings in it does so now.
    :param lease_ms: lease length, counted by the router from when it sent the renewal.
    :param revision: committed configuration revision.
    :param needs_holdings: whether the router must renew at once with its holdings.
    :param released: ids of the permits and waits whose end the owner learnt since the last answer.
    """

    sequence: int
    epoch: int
    lease_ms: int
    revision: int
    needs_holdings: bool = False
    released: list[int] = []


class SessionRedirected(Message):
    """The controller is not the owner, or has just become it.

    :param sequence: of the renewal that is answered; 0 from a controller that became the owner.
    :param owner: name of the controller believed to be, or empty.
    """

    sequence: int
    owner: str = ""


class SessionClosed(Message):
    """A router stops gracefully; it holds nothing any more."""

    router: str
    boot_id: str
