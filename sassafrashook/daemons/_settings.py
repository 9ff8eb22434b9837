"""Settings of one node, whatever file they came from."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RouterEndpoints:
    """Where a router listens.

    :param clients: pair of host and port for clients.
    :param readiness: pair of host and port for the balancer's question.
    """

    clients: tuple
    readiness: tuple


@dataclass(slots=True, frozen=True)
class NodeSettings:
    """What a node is told at its start.

    :param name: its IP number, which is also its name among the nodes.
    :param availability_zone: where it runs.
    :param stream_port: port of the streams between nodes, the same on all of them.
    :param seeds: IP numbers of some controllers.
    :param router: a :class:`RouterEndpoints`, ``None`` on a controller.
    :param control: pair of host and port for operators and upstreams, ``None`` on a router.
    :param data_folder: folder of the log, ``None`` on a router.
    :param founds: whether the fleet starts for the first time.
    :param tolerated_losses: controllers that may be lost at once, with their disks.
    :param heartbeat_ms: time between two heartbeats of an upstream.
    :param drain_ms: how long an upstream that leaves serves on, at least.
    :param stop_ms: time from a request to stop until the process is killed.
    :param retry_ratio: retries for each request of a service, over the fleet.
    :param retry_slack: retries beyond that in one window, over the fleet.
    :param retry_window_s: length of the window.
    :param warmup_factor: a cold upstream takes this times what it bears in a second ...
    :param warmup_tolerance: ... and this many requests more, over the fleet.
    :param metrics: pair of host and port of the page of metrics, ``None`` if it is not served.
    """

    name: str
    availability_zone: str
    stream_port: int
    seeds: tuple
    router: RouterEndpoints | None
    control: tuple | None
    data_folder: str | None
    founds: bool
    tolerated_losses: int
    heartbeat_ms: float
    drain_ms: float
    stop_ms: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    warmup_factor: float
    warmup_tolerance: float
    metrics: tuple | None = None
