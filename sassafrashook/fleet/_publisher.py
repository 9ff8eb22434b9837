"""Who follows a controller, and what each follower still has to be told."""

from dataclasses import dataclass

RESEND_S = 0.4  # longer than a round trip on a busy link
STAND_IN_S = 0.8  # a router's first controller has this long to send a configuration alone
WINDOW_BYTES = 65_536  # of configurations that are not confirmed yet; 0.1 s of a small link
PRESENT_S = 0.8  # a router asks each half second; one that did not is sent no configuration
CONFIRM_S = 1.0  # a configuration that is not confirmed after this time is sent again
KEEPALIVE_S = 1.0  # a follower hears at least this often that the controller is there
FORGET_S = 3.0  # a follower that asks for nothing this long is gone
ROUTER_MEMORY_S = 10.0  # a router that is away for a moment keeps its shares


@dataclass(slots=True)
class Follower:
    """One follower.

    :param held: what it holds, a :class:`Position`.
    :param sent: what it was sent last.
    :param configured_at: when it was sent a configuration that it has not confirmed, else -inf.
    :param lags_since: since when it has made no progress to the present configuration, ``None`` if
        it has that.
    """

    is_router: bool
    held: object
    sent: object
    sent_at: float
    heard_at: float
    configured_at: float = float("-inf")
    lags_since: float | None = None

    def may_be_configured(self, now):
        """Return whether it is there, and was not sent a configuration just now."""
        return now >= self.configured_at + CONFIRM_S and now < self.heard_at + PRESENT_S

    def lags_for(self, version, now):
        """Return since how many seconds it lags without progress, ``None`` if it does not."""
        if self.held.configuration_version >= version:
            self.lags_since = None
            return None
        if self.lags_since is None:
            self.lags_since = now
        return now - self.lags_since


@dataclass(slots=True, frozen=True)
class Position:
    """How far a node is: its revision of a controller, configuration and drained zones."""

    revision: int
    configuration_version: int
    drain_index: int

    def without_news_of(self, sent):
        """Return this position with the configuration of another one."""
        return Position(self.revision, sent.configuration_version, self.drain_index)

    def reaches(self, other):
        """Return whether this is as far as another position in every respect."""
        return (
            self.revision >= other.revision
            and self.configuration_version >= other.configuration_version
            and self.drain_index >= other.drain_index
        )


class Publisher:
    """Decides what is sent to which follower, and when it is sent again.

    :param boot: identifies this start of the controller; revisions count from it.

    :ivar followers_: :class:`Follower` by name.
    """

    def __init__(self, boot):
        self.boot = boot
        self.followers_ = {}
        self._recalled = {}

    def recall_routers(self, names, now):
        """Take the routers that were known before this start; they count until they are heard."""
        self._recalled = dict.fromkeys(names, now + ROUTER_MEMORY_S)

    def note_request(self, name, request, now):
        """Take a follower's :class:`~sassafrashook.fleet._messages.ViewRequested`."""
        revision = request.revision if request.publisher_boot == self.boot else -1
        held = Position(revision, request.configuration_version, request.drain_index)
        known = self.followers_.get(name)
        if known is None:
            nothing = Position(-1, 0, 0)
            self.followers_[name] = Follower(request.is_router, held, nothing, float("-inf"), now)
            return
        if held.configuration_version > known.held.configuration_version:
            known.lags_since = None
            known.configured_at = float("-inf")
        known.held = held
        known.heard_at = now

    def list_due(self, current, now, is_first=lambda _name: True, configuration_bytes=1):
        """Return the followers to send to now, and note that they were sent ``current``.

        :param current: the :class:`Position` of this controller.
        :param is_first: tells whether this controller is the first one of a router; the others
            send it a new configuration only if it does not have it after a while. Controllers
            have the configuration from the log.
        :param configuration_bytes: size of the present configuration; only so many routers are
            sent it at once that a small link is not held up.
        :returns: list of (name, held position, whether to send the configuration).
        """
        due = []
        window = max(1, WINDOW_BYTES // max(1, configuration_bytes))
        room = window - self._count_unconfirmed(now)
        for name, follower in self.followers_.items():
            if now >= follower.heard_at + FORGET_S:
                continue
            lag_s = follower.lags_for(current.configuration_version, now)
            with_configuration = (
                lag_s is not None
                and room > 0
                and follower.is_router
                and follower.may_be_configured(now)
                and self._is_in_charge(name, follower, lag_s, is_first)
            )
            if with_configuration:
                room -= 1
                follower.configured_at = now
            goal = current if with_configuration else current.without_news_of(follower.sent)
            is_new = with_configuration or not follower.sent.reaches(goal)
            pause = KEEPALIVE_S if follower.held.reaches(goal) else RESEND_S
            if is_new or now >= follower.sent_at + pause:
                follower.sent = goal
                follower.sent_at = now
                due.append((name, follower.held, with_configuration))
        return due

    def _count_unconfirmed(self, now):
        return sum(
            now < f.configured_at + CONFIRM_S and now < f.heard_at + PRESENT_S
            for f in self.followers_.values()
        )

    def _is_in_charge(self, name, follower, lag_s, is_first):
        """Return whether a router is sent a configuration from here."""
        is_bare = follower.held.configuration_version == 0
        return is_bare or lag_s >= STAND_IN_S or is_first(name)

    def list_heard(self, now, within_s):
        """Return the names of the followers heard within a time."""
        return {n for n, f in self.followers_.items() if now < f.heard_at + within_s}

    def list_controllers(self, now, within_s):
        """Return the names of the controllers heard within a time, members or not."""
        heard = self.list_heard(now, within_s)
        return sorted(name for name in heard if not self.followers_[name].is_router)

    def list_routers(self, now):
        """Return the names of the routers, those that are away for a moment too."""
        for name, follower in list(self.followers_.items()):
            if now >= follower.heard_at + ROUTER_MEMORY_S:
                del self.followers_[name]
        self._recalled = {n: until for n, until in self._recalled.items() if now < until}
        heard = {n for n, f in self.followers_.items() if f.is_router}
        return sorted(heard.union(self._recalled))

    def has_reached(self, name, revision):
        """Return whether a follower holds a revision."""
        follower = self.followers_.get(name)
        return follower is not None and follower.held.revision >= revision

    def lags(self, revision, now, within_s):
        """Return whether a router heard within a time does not hold a revision."""
        return any(
            follower.is_router and follower.held.revision < revision
            for follower in self.followers_.values()
            if now < follower.heard_at + within_s
        )
