"""Messages between controllers, and between controllers and routers."""

import msgspec

from sassafrashook.ejection import Ejection, UpstreamResults
from sassafrashook.messages import Message
from sassafrashook.quarantine import CrashRecord
from sassafrashook.registry import Registration
from sassafrashook.rollouts import AttemptTotals, Rollout

__all__ = [
    "FLEET_MESSAGES",
    "Heartbeat",
    "HeartbeatsHeard",
    "LoadReported",
    "LoadShared",
    "OtherLoads",
    "PartCached",
    "RateLimitStated",
    "RolloutPolled",
    "RolloutReported",
    "SlowdownStated",
    "StreamBegun",
    "StreamVersionReply",
    "StreamVersionRequested",
    "StreamsBegun",
    "ViewChanged",
    "ViewRequested",
]


class ViewRequested(Message):
    """Request of a subscriber for a controller's updates, which also acknowledges the last one.

    Sent at regular intervals, also as a heartbeat, and immediately after each update.

    :param is_router: whether the node is a router.
    :param publisher_boot_id: boot id of the controller that ``revision`` refers to.
    :param revision: latest revision of the controller that the node holds.
    :param configuration_version: version of the configuration that the node holds.
    :param drain_index: log index of the drained zones that the node holds.
    :param crash_revision: latest revision of the controller's crash ledger that the node holds.
    :param wants_crashes: whether the controller should send the node records of crashes.
    :param routers_revision: latest revision of the controller's list of routers that the node
        holds; -1 if the node needs the whole list in each update.
    :param rollout_index: log index of the last change of the rollouts that the node holds.
    :param sent_at_ms: when this was sent, in milliseconds on the node's clock; 0 from a build that
        does not state it.
    :param reads_changes: whether the node can be sent changes of the configuration.
    """

    is_router: bool
    publisher_boot_id: str = ""
    revision: int = 0
    configuration_version: int = 0
    drain_index: int = 0
    crash_revision: int = 0
    wants_crashes: bool = True
    routers_revision: int = -1
    rollout_index: int = 0
    sent_at_ms: int = 0
    reads_changes: bool = False


class ViewChanged(Message):
    """Update from a controller: its changes since the revision that the receiving node holds.

    Sent without changes too, as a keepalive.

    :param boot_id: identifies one run of the controller process.
    :param revision: revision of the controller that includes these changes.
    :param registrations: registrations that changed.
    :param controllers: names of all members of the consensus group.
    :param routers: names of all routers that were connected recently; empty if the node holds the
        list of ``base_routers_revision``.
    :param drain_index: log index of the last change of ``drained_zones``.
    :param drained_zones: availability zones that are drained.
    :param configuration_version: version of ``configuration``, 0 if it is omitted.
    :param configuration: the encoded configuration, or its changes, compressed with zlib.
    :param crash_revision: revision of the controller's crash ledger that includes ``crashes``.
    :param crashes: records of upstream crashes that changed.
    :param base_revision: revision since which ``registrations`` holds the changes. A node that does
        not hold it must not acknowledge ``revision``.
    :param base_crash_revision: the same for ``crashes``.
    :param newest_version: version of the configuration that the controller holds, also if it is
        omitted here.
    :param is_connected: whether the controller is connected to a majority; for older builds.
    :param routers_revision: revision of the controller's list of routers that includes these
        changes.
    :param base_routers_revision: revision of the list that ``joined_routers`` and ``left_routers``
        change.
    :param joined_routers: names of the routers that were added to the list.
    :param left_routers: names of the routers that were removed from it.
    :param rollout_index: log index of the last change of the controller's rollouts.
    :param rollouts: all rollouts; empty if the node holds those of ``rollout_index`` or later.
    :param confirmed_at_ms: a time, in milliseconds on the receiver's clock, at which no newer
        version than ``newest_version`` was acknowledged; 0 if none is known.
    :param base_version: version that ``configuration`` changes, 0 if it is whole; or the version
        that ``superseded`` refers to.
    :param superseded: hashes of the routes and API keys that a node with that version must not act
        on any more, because ``newest_version`` changes them; ``None`` if they are not stated.
    """

    boot_id: str
    revision: int
    registrations: list[Registration]
    controllers: list[str]
    routers: list[str]
    drain_index: int
    drained_zones: list[str]
    configuration_version: int = 0
    configuration: bytes = b""
    crash_revision: int = 0
    crashes: list[CrashRecord] = []
    base_revision: int = 0
    base_crash_revision: int = 0
    newest_version: int = 0
    is_connected: bool = True
    routers_revision: int = 0
    base_routers_revision: int = 0
    joined_routers: list[str] = []
    left_routers: list[str] = []
    rollout_index: int = 0
    rollouts: list[Rollout] = []
    confirmed_at_ms: int = 0
    base_version: int = 0
    superseded: list[int] | None = None

    @property
    def is_large(self):
        """Whether it may hold a configuration; all updates to one node keep their order."""
        return True


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """One heartbeat of an upstream."""

    upstream_id: str
    boot_ms: int
    sequence: int


class HeartbeatsHeard(Message):
    """Heartbeats received by one controller, forwarded to the other controllers."""

    heartbeats: list[Heartbeat]


class HeartbeatsRequested(Message):
    """Question of a router to a controller when it last heard upstreams itself."""

    upstreams: list[str]


class HeardUpstream(msgspec.Struct, frozen=True, array_like=True):
    """When a controller last received a heartbeat of an upstream.

    :param boot_ms: boot of the upstream, in Unix milliseconds.
    :param age_ms: time since then, in milliseconds.
    """

    upstream_id: str
    boot_ms: int
    age_ms: float


class HeartbeatsKnown(Message):
    """Reply of a controller to a :class:`HeartbeatsRequested`; unheard upstreams are left out."""

    heartbeats: list[HeardUpstream]


class PartCached(msgspec.Struct, frozen=True, array_like=True):
    """An upstream is assumed to cache a prompt part; repeated while the part is in use.

    :param part: 64-bit hash of the identifier of the prompt part.
    """

    part: int
    upstream_id: str


class RateLimitStated(msgspec.Struct, frozen=True, array_like=True):
    """Rate limit that a response of an upstream stated.

    :param boot_ms: boot of the upstream, in Unix milliseconds.
    :param per_second: requests per second from all routers, ``None`` if there was no limit.
    :param age_ms: time since a router received the response, in milliseconds.
    """

    upstream_id: str
    boot_ms: int
    per_second: float | None
    age_ms: float


class SlowdownStated(msgspec.Struct, frozen=True, array_like=True):
    """How long work takes at an upstream, as a response stated it.

    :param boot_ms: boot of the upstream, in Unix milliseconds.
    :param percent: time that work takes, in percent of the usual time.
    :param age_ms: time since a router received the response, in milliseconds.
    """

    upstream_id: str
    boot_ms: int
    percent: int
    age_ms: int


class LoadReported(Message):
    """Load of one router, reported to the controller that it is assigned to.

    :param loads: number of the router's running requests, by upstream.
    :param cached_parts: prompt parts that upstreams cache, due to be announced.
    :param crashes: records of upstream crashes that the router observed recently.
    :param rate_limits: rate limits that upstreams stated to the router since its last report.
    :param results: results of upstreams since its last report.
    :param slowdowns: slow upstreams that the router heard of since its last report.
    """

    loads: dict[str, int]
    cached_parts: list[PartCached] = []
    crashes: list[CrashRecord] = []
    rate_limits: list[RateLimitStated] = []
    results: list[UpstreamResults] = []
    slowdowns: list[SlowdownStated] = []


class LoadShared(Message):
    """Total load of the routers that report to one controller, sent to the other controllers.

    :param loads: number of running requests, by upstream.
    :param cached_parts: prompt parts that upstreams cache, due to be announced.
    :param rate_limits: rate limits that upstreams stated to these routers.
    :param results: results of upstreams at these routers.
    :param slowdowns: slow upstreams that these routers heard of.
    """

    loads: dict[str, int]
    cached_parts: list[PartCached] = []
    rate_limits: list[RateLimitStated] = []
    results: list[UpstreamResults] = []
    slowdowns: list[SlowdownStated] = []


class OtherLoads(Message):
    """Total load of all routers except the receiving one.

    :param loads: number of running requests, by upstream.
    :param cached_parts: prompt parts that upstreams cache, due to be announced.
    :param rate_limits: rate limits that upstreams stated to other routers.
    :param ejections: the upstreams that are ejected now.
    :param slowdowns: slow upstreams that any router heard of.
    """

    loads: dict[str, int]
    cached_parts: list[PartCached] = []
    rate_limits: list[RateLimitStated] = []
    ejections: list[Ejection] = []
    slowdowns: list[SlowdownStated] = []


class StreamBegun(msgspec.Struct, frozen=True, array_like=True):
    """Software version that began a stream.

    :param key: 64-bit hash of the id of the request that began it.
    :param remaining_ms: time for which the client may still resume it, in milliseconds.
    """

    key: int
    version: str
    remaining_ms: float


class StreamsBegun(Message):
    """Streams of a router, sent to the controllers that keep their records."""

    streams: list[StreamBegun]


class StreamVersionRequested(Message):
    """Question of a router to a controller which software version began a stream.

    :param lookup_id: number that the reply repeats.
    :param key: 64-bit hash of the id of the request that began the stream.
    :param service: name of the stream's service.
    """

    lookup_id: int
    key: int
    service: str


class StreamVersionReply(Message):
    """Reply of a controller to a :class:`StreamVersionRequested`.

    :param lookup_id: number of the question.
    :param recorded: version in the record of the stream, ``None`` if there is none.
    :param known_versions: software versions of all upstreams of the service that the controller
        knows, including those that have left.
    :param is_current: whether the controller is connected to a majority, and has run for long
        enough to have heard of all upstreams.
    """

    lookup_id: int
    recorded: str | None
    known_versions: list[str]
    is_current: bool


class RolloutPolled(Message):
    """Sent by the leader to each router while a rollout is in progress.

    :param rollout: the current record.
    :param lease_ms: time for which the share holds, in milliseconds.
    """

    rollout: Rollout
    lease_ms: float


class RolloutReported(Message):
    """Reply of a router to a :class:`RolloutPolled`.

    :param service: name of the service.
    :param order_index: log index of the order since which the totals count.
    :param index: index of the record that the router follows.
    :param boot: identifies one run of the router process.
    :param running_old: number of the router's requests that run at upstreams of other versions.
    :param longest_ms: longest of those that have ended since the order, in milliseconds.
    :param totals: what the router has counted since the order.
    """

    service: str
    order_index: int
    index: int
    boot: int
    running_old: int
    longest_ms: int
    totals: list[AttemptTotals]


FLEET_MESSAGES = (
    ViewRequested,
    ViewChanged,
    HeartbeatsHeard,
    LoadReported,
    LoadShared,
    OtherLoads,
    StreamsBegun,
    StreamVersionRequested,
    StreamVersionReply,
    HeartbeatsRequested,
    HeartbeatsKnown,
    RolloutPolled,
    RolloutReported,
)
