"""Routers' sessions with the owner during one term, and records of the permits in use."""

from dataclasses import dataclass

from sassafrashook.routing._events import RouterIdentity
from sassafrashook.routing._services import ServiceState
from sassafrashook.routing._upstream import UpstreamState

MAX_CONFIRMATIONS_PER_REPLY = 2_000
REPLACED_BOOTS_MAX = 8


@dataclass(slots=True, eq=False)
class PermitRecord:
    """A permit in use.

    :param session: the :class:`Session` of the router that holds it.
    :param request_id: id of the request, unique within the session.
    :param upstream: the :class:`UpstreamState` whose running count includes it.
    :param boot_id: boot id of the upstream that it was granted for.
    :param reset_count: ``reset_count_`` of the upstream's :class:`WarmUp` when it was granted.
    :param service: the :class:`ServiceState` whose running count includes it.
    :param account: name of the client account.
    :param fingerprint: fingerprint of the request's content.
    :param granted: seconds when it was granted, or taken over from an earlier owner.
    :param isolated: whether no other request may run at its upstream.
    :param is_ended: whether its request had already ended when it was taken over.
    :param grant: the message that granted it, or ``None`` if an earlier owner granted it.
    """

    session: object
    request_id: int
    upstream: UpstreamState
    boot_id: str
    reset_count: int
    service: ServiceState
    account: str
    fingerprint: int
    granted: float
    isolated: bool = False
    is_ended: bool = False
    grant: object = None

    def is_current_boot(self):
        """Return whether its upstream has not restarted since it was granted."""
        return self.boot_id == self.upstream.announcement.boot_id


class Session:
    """Session of one router process in one term.

    :param router: name of the router.
    :param boot_id: boot id of the router's process.
    :ivar lease_until_: seconds until which the session is valid.
    :ivar sequence_: highest sequence number received.
    :ivar holdings_known_: whether the router has reported its permits of earlier terms.
    :ivar permits_: :class:`PermitRecord` of each permit in use, by request id.
    :ivar waiting_: queue entries, by request id.
    :ivar releases_to_confirm_: ids released or withdrawn that the next replies confirm to the
        router.
    :ivar early_releases_: ids released or withdrawn before the router reported its permits.
    """

    __slots__ = (
        "router",
        "boot_id",
        "lease_until_",
        "sequence_",
        "holdings_known_",
        "permits_",
        "waiting_",
        "releases_to_confirm_",
        "early_releases_",
    )

    def __init__(self, router, boot_id):
        self.router = router
        self.boot_id = boot_id
        self.lease_until_ = 0.0
        self.sequence_ = -1
        self.holdings_known_ = False
        self.permits_ = {}
        self.waiting_ = {}
        self.releases_to_confirm_ = []
        self.early_releases_ = set()

    def identity(self):
        """Return name and boot id of the router as a :class:`RouterIdentity`."""
        return RouterIdentity(self.router, self.boot_id)

    def pop_ends_to_confirm(self):
        """Remove and return ids of ended requests to confirm, a bounded number at a time."""
        request_ids = self.releases_to_confirm_[:MAX_CONFIRMATIONS_PER_REPLY]
        del self.releases_to_confirm_[:MAX_CONFIRMATIONS_PER_REPLY]
        return request_ids

    def record_early_end(self, request_id):
        """Record the end of a permit that the router has not yet reported in this term.

        :param request_id: id of the released or withdrawn request.
        """
        if not self.holdings_known_:
            self.early_releases_.add(request_id)


class SessionTable:
    """All sessions of one term.

    :param epoch: number of the term.
    :param lease_ms: milliseconds until a session expires unless renewed.
    :ivar sessions_: sessions by router name.
    :ivar replaced_boots_: boot ids of router processes that were closed or replaced by a newer
        process, latest last, by router name; their messages are ignored.
    """

    def __init__(self, epoch, lease_ms):
        self.epoch = epoch
        self.lease_ms = lease_ms
        self.sessions_ = {}
        self.replaced_boots_ = {}

    def get(self, router):
        """Return a router's session, or ``None``."""
        return self.sessions_.get(router)

    def get_active(self, router, now):
        """Return a router's session if its lease is valid and it has reported its permits.

        :param router: name of the router.
        :param now: the current time, seconds.
        :returns: the :class:`Session`, or ``None``.
        """
        session = self.sessions_.get(router)
        if session is None or not session.holdings_known_ or now > session.lease_until_:
            return None
        return session

    def open(self, router, message, now):
        """Open or renew a session.

        :param router: name of the router.
        :param message: a :class:`~sassafrashook.messages.SessionOpened`.
        :param now: the current time, seconds.
        :returns: the session, or ``None`` if the message is outdated or comes from a replaced
            process; and the router's holdings if this message is the first to report them, else
            ``None``.
        """
        session = self.sessions_.get(router)
        if message.boot_id in self.replaced_boots_.get(router, ()):
            return None, None
        if session is None or session.boot_id != message.boot_id:
            if session is not None:
                self._record_replaced_boot(session)
            session = self.sessions_[router] = Session(router, message.boot_id)
        if message.sequence <= session.sequence_:
            return None, None
        session.sequence_ = message.sequence
        session.lease_until_ = now + self.lease_ms / 1000
        if message.epoch != self.epoch:
            session.holdings_known_ = False
        if session.holdings_known_ or message.epoch != self.epoch:
            return session, None
        session.holdings_known_ = True
        return session, message.holdings

    def close(self, router):
        """Remove a session and ignore further messages of its process."""
        self._record_replaced_boot(self.sessions_.pop(router))

    def _record_replaced_boot(self, session):
        session.lease_until_ = float("-inf")
        boots = self.replaced_boots_.setdefault(session.router, [])
        boots.append(session.boot_id)
        del boots[:-REPLACED_BOOTS_MAX]
