"""Tracks the subscribers of a controller and schedules the updates sent to them."""

import math
from dataclasses import dataclass, field, replace

from sassafrashook.fleet._freshness import RequestTimes
from sassafrashook.fleet._link import DEFAULT_LINK_BYTES_PER_S
from sassafrashook.fleet._router_names import RouterNameHistory

RESEND_DELAY_S = 0.4  # longer than a round trip on a busy link
# A router is sent a configuration by its primary controller, and by the others too once it has made
# no progress for this time, and for a multiple of the time that the primary controller's link needs
# for all of its routers.
FAILOVER_DELAY_S = 0.8
TRANSMISSION_MARGIN = 1.5
# Limit of configurations sent and not acknowledged: about 0.17 s of transmission on a slow link.
MAX_UNACKNOWLEDGED_BYTES = 131_072
# A router without a request for this time is sent no configuration; routers send one every 0.5 s.
ROUTER_CONNECTED_S = 0.8
ACKNOWLEDGE_TIMEOUT_S = 1.0  # an unacknowledged configuration is sent again after this time
# Crashes of many upstreams at once change the records of crashes continually. The limits leave most
# of the link to the log and the configurations.
CRASH_INTERVAL_S = 0.2  # between two updates with records of crashes to one subscriber
MAX_CRASH_BYTES_PER_S = 125_000  # to all routers
MAX_CRASH_BURST_BYTES = 62_500
# Share of a controller's link for updates to routers, without configurations. The rest is left to
# the log, the configurations, loads and heartbeats.
UPDATE_LINK_SHARE = 0.5
MAX_UPDATE_BURST_S = 0.1  # the updates sent at once take the link at most for this time
KEEPALIVE_INTERVAL_S = 1.0  # longest time without a message to a subscriber
SUBSCRIBER_TIMEOUT_S = 3.0  # a subscriber without a request for this time is sent nothing
# Disconnected routers are listed for this time, so that their shares of the warm-up rate are not
# redistributed when they are away only briefly.
ROUTER_RETENTION_S = 10.0


@dataclass(slots=True)
class Subscriber:
    """State of one subscriber.

    :ivar held: the :class:`StateVersions` that it last acknowledged.
    :ivar sent: the :class:`StateVersions` that it was last sent.
    :ivar sent_at: when it was last sent an update, monotonic seconds.
    :ivar last_request_at: when its last request arrived, monotonic seconds.
    :ivar configuration_sent_at: when it was sent a configuration that it has not acknowledged yet,
        monotonic seconds; -inf if there is none.
    :ivar configuration_bytes: size of that configuration, in bytes.
    :ivar reads_changes: whether it can be sent changes of the configuration.
    :ivar named_version: version of which it was told what its own must not be used for.
    :ivar lagging_since: since when it has made no progress towards the current configuration,
        monotonic seconds; ``None`` if it holds that.
    :ivar wants_crashes: whether this controller sends it records of crashes.
    :ivar crashes_sent_at: when it was last sent records of crashes, monotonic seconds.
    :ivar routers_revision: revision of the list of routers that it holds; -1 if it needs the whole
        list in each update.
    """

    is_router: bool
    held: object
    sent: object
    sent_at: float
    last_request_at: float
    configuration_sent_at: float = float("-inf")
    lagging_since: float | None = None
    wants_crashes: bool = True
    crashes_sent_at: float = float("-inf")
    routers_revision: int = -1
    configuration_bytes: int = 0
    reads_changes: bool = False
    named_version: int = 0
    request_times: RequestTimes = field(default_factory=RequestTimes)

    def is_awaited(self, now):
        """Return whether it may still acknowledge the last update, which then need not be resent.

        :param now: monotonic seconds.
        """
        return now < self.sent_at + RESEND_DELAY_S and not self.held.covers(self.sent)

    def can_receive_configuration(self, now):
        """Return whether it is connected and has no unacknowledged configuration.

        An unacknowledged configuration counts for ``ACKNOWLEDGE_TIMEOUT_S`` after it was sent.
        """
        return (
            now >= self.configuration_sent_at + ACKNOWLEDGE_TIMEOUT_S
            and now < self.last_request_at + ROUTER_CONNECTED_S
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
class StateVersions:
    """Versions of the state that a node holds.

    :param revision: revision of the registrations, counted by one controller.
    :param configuration_version: version of the configuration.
    :param drain_index: log index of the drained zones.
    :param crash_revision: revision of the crash ledger, counted by one controller.
    :param rollout_index: log index of the rollouts.
    """

    revision: int
    configuration_version: int
    drain_index: int
    crash_revision: int = 0
    rollout_index: int = 0

    def with_configuration_of(self, other):
        """Return these versions with the configuration version of others."""
        return replace(self, configuration_version=other.configuration_version)

    def with_crashes_of(self, other):
        """Return these versions with the crash revision of others."""
        return replace(self, crash_revision=other.crash_revision)

    def covers(self, other):
        """Return whether no version is older than the corresponding one of others."""
        return (
            self.revision >= other.revision
            and self.configuration_version >= other.configuration_version
            and self.drain_index >= other.drain_index
            and self.crash_revision >= other.crash_revision
            and self.rollout_index >= other.rollout_index
        )


@dataclass(slots=True, frozen=True)
class DueUpdate:
    """An update that is due to a subscriber.

    :param name: name of the subscriber.
    :param held: the :class:`StateVersions` that it holds.
    :param with_configuration: whether to include the configuration.
    :param with_crashes: whether to include records of crashes.
    :param routers_revision: revision of the list of routers that it holds, -1 for none.
    """

    name: str
    held: StateVersions
    with_configuration: bool
    with_crashes: bool
    routers_revision: int = -1


class ByteBudget:
    """Limits the bytes sent over time; one message may exceed the limit, and delays the next ones.

    :param bytes_per_s: the rate.
    :param max_burst_bytes: bytes that may be sent at once.

    >>> budget = ByteBudget(1_000.0, 500.0)
    >>> budget.charge(600, now=0.0)
    >>> budget.is_available(now=0.05), budget.is_available(now=0.2)
    (False, True)
    """

    def __init__(self, bytes_per_s, max_burst_bytes):
        self.bytes_per_s = bytes_per_s
        self.max_burst_bytes = max_burst_bytes
        self._backlog_bytes = 0.0
        self._backlog_at = 0.0

    def is_available(self, now):
        """Return whether a message may be sent.

        :param now: monotonic seconds.
        """
        elapsed_s, self._backlog_at = now - self._backlog_at, now
        self._backlog_bytes = max(0.0, self._backlog_bytes - elapsed_s * self.bytes_per_s)
        return self._backlog_bytes < self.max_burst_bytes

    def charge(self, size, now):
        """Record a message that is sent.

        :param size: its size, in bytes.
        :param now: monotonic seconds.
        """
        self.is_available(now)
        self._backlog_bytes += size


class Publisher:
    """Decides which subscribers are sent an update, and when it is sent again.

    :param boot_id: identifies this run of the controller; revisions are comparable within it only.
    :param link_bytes_per_s: bandwidth of the controller's link, in bytes per second.

    :ivar subscribers_: :class:`Subscriber` by node name.
    :ivar router_names_: the :class:`~sassafrashook.fleet._router_names.RouterNameHistory`.
    :ivar postponed_: number of updates that were due and had to wait for the link.
    """

    def __init__(self, boot_id, link_bytes_per_s=DEFAULT_LINK_BYTES_PER_S):
        self.boot_id = boot_id
        self.link_bytes_per_s = link_bytes_per_s
        self.subscribers_ = {}
        self.router_names_ = RouterNameHistory()
        self.postponed_ = 0
        self._restored_routers = {}
        self._crash_budget = ByteBudget(MAX_CRASH_BYTES_PER_S, MAX_CRASH_BURST_BYTES)
        rate = UPDATE_LINK_SHARE * link_bytes_per_s
        self._update_budget = ByteBudget(rate, MAX_UPDATE_BURST_S * link_bytes_per_s)

    def restore_routers(self, names, now):
        """Add routers known before a restart; each counts for ``ROUTER_RETENTION_S`` at least."""
        self._restored_routers = dict.fromkeys(names, now + ROUTER_RETENTION_S)

    def handle_request(self, name, request, now):
        """Record what a subscriber holds.

        :param request: a :class:`~sassafrashook.fleet._messages.ViewRequested`.
        :param now: monotonic seconds.
        """
        is_same_boot = request.publisher_boot_id == self.boot_id
        held = StateVersions(
            request.revision if is_same_boot else -1,
            request.configuration_version,
            request.drain_index,
            request.crash_revision if is_same_boot else -1,
            request.rollout_index,
        )
        subscriber = self.subscribers_.get(name)
        if subscriber is None:
            nothing = StateVersions(-1, 0, 0, -1)
            subscriber = self.subscribers_[name] = Subscriber(
                request.is_router,
                held,
                nothing,
                float("-inf"),
                now,
                wants_crashes=request.wants_crashes,
                routers_revision=request.routers_revision if is_same_boot else 0,
            )
            subscriber.request_times.add(request.sent_at_ms, now)
            subscriber.reads_changes = request.reads_changes
            return
        if held.configuration_version > subscriber.held.configuration_version:
            subscriber.lagging_since = None
            subscriber.configuration_sent_at = float("-inf")
        subscriber.wants_crashes = request.wants_crashes
        subscriber.routers_revision = request.routers_revision if is_same_boot else 0
        subscriber.held = held
        subscriber.reads_changes = request.reads_changes
        subscriber.last_request_at = now
        subscriber.request_times.add(request.sent_at_ms, now)

    def schedule_updates(
        self,
        current,
        now,
        is_primary=lambda _name: True,
        measure_configuration=lambda _version, _reads_changes: 0,
        measure_crashes=lambda _revision: 0,
        measure_update=lambda _revision, _routers_revision: 0,
    ):
        """Return the subscribers to send an update to now, and mark them as sent ``current``.

        Controllers are never sent a configuration, because they have it from the log.

        A router is sent further changes once it has acknowledged the last update, or after
        ``RESEND_DELAY_S``. On a busy link, where acknowledgements come late, it is thus sent fewer
        and larger updates instead of the same changes again and again. Those that have waited the
        longest come first when the link does not suffice for all. There are few controllers, so
        what is sent to them is not limited.

        :param current: the :class:`StateVersions` of this controller.
        :param now: monotonic seconds.
        :param is_primary: called with a router's name; returns whether this controller is the one
            that sends it new configurations. The other controllers do so only if the router has
            made no progress for ``FAILOVER_DELAY_S``.
        :param measure_configuration: called with the version that a router holds and whether it
            can be sent changes; returns the size of what it is sent, in bytes. It limits how many
            routers are sent the configuration at once, so that a small link is not congested.
        :param measure_crashes: called with the crash revision that a router holds; returns the size
            of the records that it lacks, in bytes. It limits how many routers are sent these.
        :param measure_update: called with the revisions of the registrations and of the list of
            routers that a router holds; returns the size of an update without crashes and
            configuration, in bytes.
        :returns: list of :class:`DueUpdate`.
        """
        due = []
        unacknowledged = self._sum_unacknowledged(now)
        for name, subscriber in self._list_by_wait(is_primary):
            if now >= subscriber.last_request_at + SUBSCRIBER_TIMEOUT_S:
                continue
            lag_s = subscriber.update_lag(current.configuration_version, now)
            is_sender = with_configuration = False
            if lag_s is not None and subscriber.is_router:
                size = measure_configuration(
                    subscriber.held.configuration_version, subscriber.reads_changes
                )
                is_sender = self._sends_configuration_to(name, subscriber, size, lag_s, is_primary)
                with_configuration = (
                    is_sender
                    and subscriber.can_receive_configuration(now)
                    and (not unacknowledged or unacknowledged + size <= MAX_UNACKNOWLEDGED_BYTES)
                )
            if with_configuration:
                unacknowledged += size
                subscriber.configuration_sent_at = now
                subscriber.configuration_bytes = size
            elif subscriber.is_router and subscriber.is_awaited(now):
                continue
            is_limited = subscriber.is_router and not with_configuration
            if is_limited and not self._update_budget.is_available(now):
                self.postponed_ += self._is_due(subscriber, current, now)
                continue
            with_crashes = self._try_schedule_crashes(subscriber, current, now, measure_crashes)
            target = current
            if not with_configuration:
                target = target.with_configuration_of(subscriber.sent)
            if not with_crashes:
                target = target.with_crashes_of(subscriber.held)
            is_new = with_configuration or with_crashes
            if is_sender and not with_configuration and subscriber.reads_changes:
                is_new = is_new or subscriber.named_version < current.configuration_version
                subscriber.named_version = current.configuration_version
            if is_new or self._is_due(subscriber, target, now):
                if subscriber.is_router:
                    size = measure_update(subscriber.held.revision, subscriber.routers_revision)
                    self._update_budget.charge(size, now)
                subscriber.sent = target
                subscriber.sent_at = now
                due.append(
                    DueUpdate(
                        name,
                        subscriber.held,
                        with_configuration,
                        with_crashes,
                        subscriber.routers_revision,
                    )
                )
        return due

    def _list_by_wait(self, is_primary):
        """Return pairs of name and subscriber, those that have waited the longest first.

        Of the nodes that were sent nothing yet, each controller begins with those whose primary it
        is. A node that has started thus learns of all upstreams from one controller early.
        """
        return sorted(
            self.subscribers_.items(),
            key=lambda pair: (
                pair[1].is_router,
                pair[1].sent_at,
                math.isinf(pair[1].sent_at) and not is_primary(pair[0]),
            ),
        )

    def _is_due(self, subscriber, target, now):
        """Return whether a subscriber lacks changes, or needs a keepalive.

        :param target: the :class:`StateVersions` that it may be sent now.
        """
        interval_s = KEEPALIVE_INTERVAL_S if subscriber.held.covers(target) else RESEND_DELAY_S
        return not subscriber.sent.covers(target) or now >= subscriber.sent_at + interval_s

    def _try_schedule_crashes(self, subscriber, current, now, measure_crashes):
        """Mark records of crashes as sent to a subscriber, if it lacks some and they are allowed.

        There are few controllers, so what is sent to them is not limited.

        :returns: whether it is sent records of crashes now.
        """
        if (
            subscriber.held.crash_revision >= current.crash_revision
            or not subscriber.wants_crashes
            or now < subscriber.crashes_sent_at + CRASH_INTERVAL_S
        ):
            return False
        if subscriber.is_router and not self._crash_budget.is_available(now):
            return False
        if subscriber.is_router:
            self._crash_budget.charge(measure_crashes(subscriber.held.crash_revision), now)
        subscriber.crashes_sent_at = now
        return True

    def _sum_unacknowledged(self, now):
        """Return the size of the configurations that connected subscribers may still receive."""
        return sum(
            s.configuration_bytes
            for s in self.subscribers_.values()
            if now < s.configuration_sent_at + ACKNOWLEDGE_TIMEOUT_S
            and now < s.last_request_at + ROUTER_CONNECTED_S
        )

    def _sends_configuration_to(self, name, subscriber, size, lag_s, is_primary):
        """Return whether this controller may send a subscriber the configuration.

        It may if the subscriber has none, lags behind for long or has this controller as its
        primary.

        :param size: size of what the subscriber lacks, in bytes.
        :param lag_s: time without progress, in seconds.
        """
        if subscriber.held.configuration_version == 0 or is_primary(name):
            return True
        if lag_s < FAILOVER_DELAY_S:
            return False
        routers = sum(other.is_router for other in self.subscribers_.values())
        controllers = len(self.subscribers_) - routers + 1
        transmission_s = size * routers / controllers / self.link_bytes_per_s
        return lag_s >= FAILOVER_DELAY_S + TRANSMISSION_MARGIN * transmission_s

    def list_connected(self, now, within_s):
        """Return the set of names of subscribers with a request in the last ``within_s``."""
        return {n for n, s in self.subscribers_.items() if now < s.last_request_at + within_s}

    def list_controllers(self, now, within_s):
        """Return the controllers with a request in the last ``within_s`` seconds.

        :returns: sorted list of names; not all of them are members of the consensus group yet.
        """
        connected = self.list_connected(now, within_s)
        return sorted(name for name in connected if not self.subscribers_[name].is_router)

    def list_routers(self, now):
        """Return the sorted names of the routers, and remove expired subscribers.

        A subscriber expires ``ROUTER_RETENTION_S`` after its last request.
        """
        for name, subscriber in list(self.subscribers_.items()):
            if now >= subscriber.last_request_at + ROUTER_RETENTION_S:
                del self.subscribers_[name]
        self._restored_routers = {
            n: until for n, until in self._restored_routers.items() if now < until
        }
        routers = {n for n, s in self.subscribers_.items() if s.is_router}
        return sorted(routers.union(self._restored_routers))

    def find_confirmed_ms(self, name, read_began_at):
        """Return a time on a subscriber's clock at which what a read has shown was true.

        :param read_began_at: when the read began, in monotonic seconds.
        :returns: milliseconds, 0 if none is known.
        """
        return self.subscribers_[name].request_times.find_latest(read_began_at)

    def holds_revision(self, name, revision):
        """Return whether a subscriber has acknowledged a revision."""
        subscriber = self.subscribers_.get(name)
        return subscriber is not None and subscriber.held.revision >= revision

    def has_lagging_router(self, revision, now, within_s):
        """Return whether a router connected within ``within_s`` has not acknowledged a revision."""
        return any(
            subscriber.is_router and subscriber.held.revision < revision
            for subscriber in self.subscribers_.values()
            if now < subscriber.last_request_at + within_s
        )
