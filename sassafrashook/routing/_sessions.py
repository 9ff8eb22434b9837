"""Sessions between routers and one owner's term, and the permits in use."""

from dataclasses import dataclass

from sassafrashook.routing._events import KnownRouter
from sassafrashook.routing._services import ServiceState
from sassafrashook.routing._upstream import UpstreamState

CONFIRMED_MAX = 2_000
RETIRED_BOOTS_MAX = 8


@dataclass(slots=True, eq=False)
class PermitRecord:
    """One permit in use.

    :param upstream: the state under which it is counted.
    :param boot_id: boot of the upstream that it was granted for.
    :param ramp: ``ramp_`` of the upstream's :class:`WarmUp` at that time.
    :param service: the :class:`ServiceState` that it is counted for.
    :param granted: seconds when it was granted or taken over.
    :param isolated: whether nothing else may run beside it.
    :param is_ended: whether its request had ended when it was taken over.
    :param grant: the message that granted it, ``None`` if an earlier owner did.
    """

    session: object
    request_id: int
    upstream: UpstreamState
    boot_id: str
    ramp: int
    service: ServiceState
    account: str
    fingerprint: int
    granted: float
    isolated: bool = False
    is_ended: bool = False
    grant: object = None

    def is_of_this_boot(self):
        """Return whether its upstream has not started anew since it was granted."""
        return self.boot_id == self.upstream.announcement.boot_id


class Session:
    """One router's session in one term.

    :param router: the router's name.
    :param boot_id: of the router's process.

    Attributes
    ----------
    reported_ : whether its permits of earlier terms are known.
    permits_ : permits in use, by request id.
    waiting_ : queue entries, by request id.
    confirmed_ : request ids whose end is to be confirmed with the next answer.
    ended_ : request ids that were released or withdrawn before they were known.
    """

    __slots__ = (
        "router",
        "boot_id",
        "lease_until_",
        "sequence_",
        "reported_",
        "permits_",
        "waiting_",
        "confirmed_",
        "ended_",
    )

    def __init__(self, router, boot_id):
        self.router = router
        self.boot_id = boot_id
        self.lease_until_ = 0.0
        self.sequence_ = -1
        self.reported_ = False
        self.permits_ = {}
        self.waiting_ = {}
        self.confirmed_ = []
        self.ended_ = set()

    def identity(self):
        """Return the router's process as a :class:`KnownRouter`."""
        return KnownRouter(self.router, self.boot_id)

    def take_confirmed(self):
        """Return the ids whose end is to be confirmed, a bounded number at once."""
        taken = self.confirmed_[:CONFIRMED_MAX]
        del self.confirmed_[:CONFIRMED_MAX]
        return taken

    def note_ended(self, request_id):
        """Remember a release that came before the permit was known to this term."""
        if not self.reported_:
            self.ended_.add(request_id)


class SessionTable:
    """All sessions of one term.

    :param epoch: number of the term.
    :param lease_ms: length of a session unless renewed.

    Attributes
    ----------
    sessions_ : the sessions, by router name.
    retired_ : boot ids of routers' processes that were replaced, by router name.
    """

    def __init__(self, epoch, lease_ms):
        self.epoch = epoch
        self.lease_ms = lease_ms
        self.sessions_ = {}
        self.retired_ = {}

    def get(self, router):
        """Return a router's session, or ``None``."""
        return self.sessions_.get(router)

    def get_active(self, router, now):
        """Return a router's session if its lease runs and its holdings are known."""
        session = self.sessions_.get(router)
        if session is None or not session.reported_ or now > session.lease_until_:
            return None
        return session

    def open(self, router, message, now):
        """Open or renew a session.

        :param message: a :class:`~sassafrashook.messages.SessionOpened`.
        :returns: the session, or ``None`` if the message is of a replaced process or late; and the
            holdings if they were not known, else
            ``None``.
        """
        session = self.sessions_.get(router)
        if message.boot_id in self.retired_.get(router, ()):
            return None, None
        if session is None or session.boot_id != message.boot_id:
            if session is not None:
                self._retire(session)
            session = self.sessions_[router] = Session(router, message.boot_id)
        if message.sequence <= session.sequence_:
            return None, None
        session.sequence_ = message.sequence
        session.lease_until_ = now + self.lease_ms / 1000
        if message.epoch != self.epoch:
            session.reported_ = False
        if session.reported_ or message.epoch != self.epoch:
            return session, None
        session.reported_ = True
        return session, message.holdings

    def close(self, router):
        """Forget a session."""
        self._retire(self.sessions_.pop(router))

    def _retire(self, session):
        session.lease_until_ = float("-inf")
        boots = self.retired_.setdefault(session.router, [])
        boots.append(session.boot_id)
        del boots[:-RETIRED_BOOTS_MAX]
