"""Messages between a router and the owner of the running counts, a controller.

The owner keeps an exact count of the running requests of each upstream. A router sends a request
to an upstream only with a permit. Times in messages are remaining milliseconds, because the hosts'
clocks are not synchronized; the receiver converts them to deadlines on its own clock immediately.
"""

from enum import StrEnum

from sassafrashook.messages._message import Message


class PermitOutcome(StrEnum):
    """How the request that used a permit ended.

    :cvar FINISHED: a complete response was received.
    :cvar UNUSED: no request was sent with the permit, for example because it expired.
    :cvar BUSY: the upstream refused the request because it was busy.
    :cvar CONNECT_FAILED: no connection to the upstream could be opened.
    :cvar BROKE: the response had an error status or was too large, or the connection failed while
        the upstream keeps running.
    :cvar CRASHED: the connection failed, and the upstream refuses connections or was restarted.
    :cvar SILENT: the connection failed, and a new connection to the upstream times out too.
    :cvar CANCELLED: the caller disconnected, the deadline passed, or the router had an internal
        error.
    """

    FINISHED = "finished"
    UNUSED = "unused"
    BUSY = "busy"
    CONNECT_FAILED = "connect_failed"
    BROKE = "broke"
    CRASHED = "crashed"
    SILENT = "silent"
    CANCELLED = "cancelled"


class PermitRequested(Message):
    """A router requests a permit to send one request to an upstream.

    :param request_id: unique within the router's boot; each attempt has its own.
    :param service: name of the service.
    :param conversation_key: 64-bit number, the same for all requests of one conversation.
    :param account: name of the client account.
    :param work_class: name of the work class.
    :param waiting_ms: how much longer the request may wait for a permit, milliseconds.
    :param running_ms: how long the request may run once it was sent, milliseconds.
    :param fingerprint: 64-bit hash of the request's content, the same for resends.
    :param tried: ids of upstreams that must not be selected again.
    :param preferred: id of the upstream to select if it has capacity, or empty; set for a resumed
        stream.
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
    """The owner permits the request and counts it as running at one upstream.

    :param boot_id: boot of the upstream that the permit is for.
    :param host: IP address of the upstream.
    :param use_within_ms: time within which the first byte must be sent, milliseconds since the
        router requested the permit.
    :param priority: priority to pass to the upstream; a smaller number is more urgent.
    :param epoch: the owner's epoch; each new owner has a higher one.
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
    """The owner refuses a permit; the request was not counted as running.

    :param reason: a :class:`~sassafrashook.outcomes.RefusalReason`.
    :param retry_after_ms: after what time the caller should retry, milliseconds.
    """

    request_id: int
    reason: str
    retry_after_ms: int


class PermitWithdrawn(Message):
    """The router cancels a permit request; a permit already granted is released."""

    request_id: int


class PermitReleased(Message):
    """The router releases a permit.

    :param outcome: how the request ended.
    :param first_token_ms: time from the first byte sent to the first event received,
        milliseconds, or -1 if unknown.
    """

    request_id: int
    outcome: PermitOutcome
    first_token_ms: int = -1


class Holding(Message):
    """A permit that a router holds, as reported to a new owner.

    :param running_ms: how much longer the request may run, milliseconds.
    """

    request_id: int
    upstream_id: str
    boot_id: str
    account: str
    work_class: str
    fingerprint: int
    running_ms: int


class SessionOpened(Message):
    """A router opens a session with the owner, or renews it.

    :param router: name of the router.
    :param boot_id: unique for each start of the process.
    :param sequence: increases with each renewal; repeated in :class:`SessionAccepted`.
    :param epoch: the owner's epoch that the router knows, 0 if none.
    :param holdings: all permits that the router holds, if the session is new in this owner's epoch.
    """

    router: str
    boot_id: str
    sequence: int
    epoch: int
    holdings: list[Holding] = []


class SessionAccepted(Message):
    """The owner confirms a session, as of the time when the router sent the renewal.

    :param sequence: sequence number of the renewal.
    :param epoch: the owner's epoch; a router reports the permits that it holds once in each epoch.
    :param lease_ms: length of the lease, milliseconds from when the router sent the renewal.
    :param revision: revision of the committed configuration.
    :param needs_holdings: whether the router must immediately renew with the permits that it
        holds.
    :param released: ids of the requests whose release or withdrawal the owner has received since
        its last confirmation.
    """

    sequence: int
    epoch: int
    lease_ms: int
    revision: int
    needs_holdings: bool = False
    released: list[int] = []


class SessionRedirected(Message):
    """A controller that is not the owner, or has just become the owner, names the owner.

    :param sequence: sequence number of the renewal; 0 from a controller that became the owner.
    :param owner: name of the presumed owner, or empty; the sender itself if it became the owner.
    """

    sequence: int
    owner: str = ""


class SessionClosed(Message):
    """A router closes its session at a graceful stop; it holds no permits any more."""

    router: str
    boot_id: str
