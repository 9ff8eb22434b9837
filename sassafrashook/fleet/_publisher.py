"""Tracks the subscribers of a controller and schedules the updates sent to them."""

from dataclasses import dataclass

RESEND_DELAY_S = 0.4  # longer than a round trip on a busy link
FAILOVER_DELAY_S = 0.8  # lead of a router's primary controller before others send a configuration
MAX_UNCONFIRMED_BYTES = 65_536  # of configurations sent and not confirmed; 0.1 s of a small link
ROUTER_PRESENT_S = 0.8  # routers request each 0.5 s; a later one is sent no configuration
CONFIRM_TIMEOUT_S = 1.0  # an unconfirmed configuration is sent again after this time
KEEPALIVE_INTERVAL_S = 1.0  # longest time without a message to a subscriber
SUBSCRIBER_TIMEOUT_S = 3.0  # a subscriber without a request for this time is sent nothing
ROUTER_RETENTION_S = 10.0  # a router that is away briefly keeps its warm-up shares


@dataclass(slots=True)
class Subscriber:
    """State of one subscriber.

    :ivar held: the :class:`Position` that it last acknowledged.
    :ivar sent: the :class:`Position` that it was last sent.
    :ivar sent_at: when it was last sent an update, monotonic seconds.
    :ivar heard_at: when its last request arrived, monotonic seconds.
    :ivar configuration_sent_at: when it was sent a configuration that it has not confirmed yet,
        monotonic seconds; -inf if there is none.
    :ivar lagging_since: since when it has made no progress towards the current configuration,
        monotonic seconds; ``None`` if it holds that.
    """

    is_router: bool
    held: object
    sent: object
    sent_at: float
    heard_at: float
    configuration_sent_at: float = float("-inf")
    lagging_since: float | None = None

    def can_receive_configuration(self, now):
        """Return whether it is present and no configuration sent to it awaits confirmation."""
        return (
            now >= self.configuration_sent_at + CONFIRM_TIMEOUT_S
            and now < self.heard_at + ROUTER_PRESENT_S
        )

    def update_lag(self, version, now):
        """Update and return the time that it has lagged behind a version without progress.

        :returns: seconds, or ``None`` if it holds the version.
        """
        if self.held.configuration_version >= version:
            self.lagging_since = None
            return None
        if self.lagging_since is None:
            self.lagging_since = now
        return now - self.lagging_since


@dataclass(slots=True, frozen=True)
class Position:
    """Versions of the state that a node holds.

    :param revision: revision of the registrations, counted by one controller.
    :param configuration_version: version of the configuration.
    :param drain_index: log index of the drained zones.
    """

    revision: int
    configuration_version: int
    drain_index: int

    def with_configuration_of(self, other):
        """Return this position with the configuration version of another one."""
        return Position(self.revision, other.configuration_version, self.drain_index)

    def covers(self, other):
        """Return whether no version is older than that of another position."""
        return (
            self.revision >= other.revision
            and self.configuration_version >= other.configuration_version
            and self.drain_index >= other.drain_index
        )


class Publisher:
    """Decides which subscribers are sent an update, and when it is sent again.

    :param boot_id: identifies this run of the controller; revisions are comparable within it only.

    :ivar subscribers_: :class:`Subscriber` by node name.
    """

    def __init__(self, boot_id):
        self.boot_id = boot_id
        self.subscribers_ = {}
        self._recalled = {}

    def recall_routers(self, names, now):
        """Add routers known before a restart; each counts for ``ROUTER_RETENTION_S`` at least."""
        self._recalled = dict.fromkeys(names, now + ROUTER_RETENTION_S)

    def handle_request(self, name, request, now):
        """Record what a subscriber holds.

        :param request: a :class:`~sassafrashook.fleet._messages.ViewRequested`.
        :param now: monotonic seconds.
        """
        revision = request.revision if request.publisher_boot_id == self.boot_id else -1
        held = Position(revision, request.configuration_version, request.drain_index)
        subscriber = self.subscribers_.get(name)
        if subscriber is None:
            nothing = Position(-1, 0, 0)
            self.subscribers_[name] = Subscriber(
                request.is_router, held, nothing, float("-inf"), now
            )
            return
        if held.configuration_version > subscriber.held.configuration_version:
            subscriber.lagging_since = None
            subscriber.configuration_sent_at = float("-inf")
        subscriber.held = held
        subscriber.heard_at = now

    def schedule_updates(self, current, now, is_primary=lambda _name: True, configuration_bytes=1):
        """Return the subscribers to send an update to now, and mark them as sent ``current``.

        Controllers are never sent a configuration, because they have it from the log.

        :param current: the :class:`Position` of this controller.
        :param now: monotonic seconds.
        :param is_primary: called with a router's name; returns whether this controller is the one
            that sends it new configurations. The other controllers do so only if the router has
            made no progress for ``FAILOVER_DELAY_S``.
        :param configuration_bytes: size of the current configuration. It limits how many routers
            are sent the configuration at once, so that a small link is not congested.
        :returns: list of (name, held position, whether to include the configuration).
        """
        due = []
        max_unconfirmed = max(1, MAX_UNCONFIRMED_BYTES // max(1, configuration_bytes))
        available = max_unconfirmed - self._count_unconfirmed(now)
        for name, subscriber in self.subscribers_.items():
            if now >= subscriber.heard_at + SUBSCRIBER_TIMEOUT_S:
                continue
            lag_s = subscriber.update_lag(current.configuration_version, now)
            with_configuration = (
                lag_s is not None
                and available > 0
                and subscriber.is_router
                and subscriber.can_receive_configuration(now)
                and self._sends_configuration_to(name, subscriber, lag_s, is_primary)
            )
            if with_configuration:
                available -= 1
                subscriber.configuration_sent_at = now
            target = (
                current if with_configuration else current.with_configuration_of(subscriber.sent)
            )
            is_new = with_configuration or not subscriber.sent.covers(target)
            interval_s = KEEPALIVE_INTERVAL_S if subscriber.held.covers(target) else RESEND_DELAY_S
            if is_new or now >= subscriber.sent_at + interval_s:
                subscriber.sent = target
                subscriber.sent_at = now
                due.append((name, subscriber.held, with_configuration))
        return due

    def _count_unconfirmed(self, now):
        """Return the number of present subscribers with an unconfirmed configuration."""
        return sum(
            now < s.configuration_sent_at + CONFIRM_TIMEOUT_S
            and now < s.heard_at + ROUTER_PRESENT_S
            for s in self.subscribers_.values()
        )

    def _sends_configuration_to(self, name, subscriber, lag_s, is_primary):
        """Return whether this controller, rather than another one, sends a configuration."""
        is_unconfigured = subscriber.held.configuration_version == 0
        return is_unconfigured or lag_s >= FAILOVER_DELAY_S or is_primary(name)

    def list_heard(self, now, within_s):
        """Return the set of names of the subscribers heard within the last ``within_s`` seconds."""
        return {n for n, s in self.subscribers_.items() if now < s.heard_at + within_s}

    def list_controllers(self, now, within_s):
        """Return the controllers heard within the last ``within_s`` seconds.

        :returns: sorted list of names; not all of them are members of the consensus group yet.
        """
        heard = self.list_heard(now, within_s)
        return sorted(name for name in heard if not self.subscribers_[name].is_router)

    def list_routers(self, now):
        """Return the sorted names of the routers; subscribers not heard for long are removed.

        Routers that are away for less than ``ROUTER_RETENTION_S`` are included.
        """
        for name, subscriber in list(self.subscribers_.items()):
            if now >= subscriber.heard_at + ROUTER_RETENTION_S:
                del self.subscribers_[name]
        self._recalled = {n: until for n, until in self._recalled.items() if now < until}
        heard = {n for n, s in self.subscribers_.items() if s.is_router}
        return sorted(heard.union(self._recalled))

    def holds_revision(self, name, revision):
        """Return whether a subscriber has acknowledged a revision."""
        subscriber = self.subscribers_.get(name)
        return subscriber is not None and subscriber.held.revision >= revision

    def has_lagging_router(self, revision, now, within_s):
        """Return whether a router heard within ``within_s`` has not acknowledged a revision."""
        return any(
            subscriber.is_router and subscriber.held.revision < revision
            for subscriber in self.subscribers_.values()
            if now < subscriber.heard_at + within_s
        )
