"""Settings of one node, independent of the file format that they are loaded from."""

from dataclasses import dataclass

from sassafrashook.fleet import DEFAULT_APPLY_S, DEFAULT_LINK_BYTES_PER_S
from sassafrashook.hedging import HedgingLimits

DEFAULT_APPLY_MS = DEFAULT_APPLY_S * 1_000


@dataclass(slots=True, frozen=True)
class RouterAddresses:
    """Addresses that a router listens on.

    :param clients: pair of host and port for clients.
    :param readiness: pair of host and port for the load balancer's readiness probes.
    """

    clients: tuple
    readiness: tuple


@dataclass(slots=True, frozen=True)
class NodeSettings:
    """Settings of a router or controller.

    :param name: IP address of the node, which is its node name.
    :param availability_zone: availability zone that it runs in.
    :param stream_port: port of the streams between nodes, the same on every node.
    :param peer_port: port on which a router accepts requests that other routers forward, the same
        on every router.
    :param seeds: IP addresses of some controllers.
    :param router: a :class:`RouterAddresses`, ``None`` on a controller.
    :param control: pair of host and port for operators and upstreams, ``None`` on a router.
    :param data_folder: folder of the replicated log, ``None`` on a router.
    :param bootstrap: whether an empty data folder initialises a new fleet.
    :param tolerated_losses: number of controllers that may be lost at once, including their disks.
    :param heartbeat_ms: interval between two heartbeats of an upstream.
    :param departure_grace_ms: time for which an upstream that left without draining first keeps
        running.
    :param stop_grace_ms: time from SIGTERM until the process is killed.
    :param retry_ratio: retries allowed per request, for each service over the whole fleet.
    :param retry_slack: additional retries allowed per window, for each service over the whole
        fleet.
    :param retry_window_s: length of the retry window, the same for each service.
    :param warmup_factor: a cold upstream is sent at most this multiple of its service's
        ``cold_rate_per_s``, over the whole fleet.
    :param warmup_tolerance: requests that it may be sent in addition in any second, over the whole
        fleet.
    :param metrics: pair of host and port of the metrics endpoint, ``None`` to disable it.
    :param link_bytes_per_s: bandwidth of the host's link, in bytes per second.
    :param rollout_bounds: a :class:`~sassafrashook.rollouts.RolloutBounds`, ``None`` in a
        deployment without rollouts.
    :param hedging: the :class:`~sassafrashook.hedging.HedgingLimits` of second attempts.
    :param client_memory_bytes: memory that all connections of clients may hold, in bytes, ``None``
        for no limit.
    :param max_client_connections: number of connections of clients, ``None`` for no limit.
    :param configuration_apply_ms: time after its acknowledgement within which a configuration is in
        force at every router.
    """

    name: str
    availability_zone: str
    stream_port: int
    peer_port: int
    seeds: tuple
    router: RouterAddresses | None
    control: tuple | None
    data_folder: str | None
    bootstrap: bool
    tolerated_losses: int
    heartbeat_ms: float
    departure_grace_ms: float
    stop_grace_ms: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    warmup_factor: float
    warmup_tolerance: float
    metrics: tuple | None = None
    link_bytes_per_s: float = DEFAULT_LINK_BYTES_PER_S
    rollout_bounds: object = None
    hedging: HedgingLimits = HedgingLimits()
    client_memory_bytes: int | None = None
    max_client_connections: int | None = None
    configuration_apply_ms: float = DEFAULT_APPLY_MS
