"""Reading of the settings file that the platform writes for each process."""

from typing import Annotated

import msgspec
from returns.result import Failure, Success

from sassafrashook.clients import compute_connection_limit, compute_memory_limit_bytes
from sassafrashook.daemons import NodeSettings, RouterAddresses
from sassafrashook.fleet import DEFAULT_APPLY_S
from sassafrashook.hedging import HedgingLimits
from sassafrashook.rollouts import RolloutBounds

DEFAULT_HEARTBEAT_MS = 1_000
DEFAULT_APPLY_MS = DEFAULT_APPLY_S * 1_000
UNLIMITED_MBPS = 1_000.0  # bandwidth that is assumed if none is stated
BYTES_PER_MBIT = 1_000_000 / 8
BYTES_PER_MB = 1_048_576
MAX_PORT_DIGITS = 5
METRICS_PORT = 9464  # as in deploy/system.toml; the settings file has no field for it


class _Addresses(msgspec.Struct, frozen=True):
    """Addresses to listen on, ``IP:PORT`` each.

    :param frontend: address for clients.
    :param readiness: address for the readiness probes of the load balancer.
    :param control_plane: address for operators and engines.
    """

    frontend: str | None = None
    readiness: str | None = None
    control_plane: str | None = None


class _Limits(msgspec.Struct, frozen=True):
    """Limits of the host.

    :param bandwidth_mbps: bandwidth of its link, in Mbit/s; ``None`` or 0 if it is not limited.
    :param memory_mb: memory of the process, in MiB; ``None`` or 0 if it is not limited.
    :param max_fds: descriptors of the process; ``None`` or 0 if they are not limited.
    :param client_memory_mb: part of the memory that connections of clients may hold, in MiB;
        ``None`` to derive it from ``memory_mb``.
    :param max_client_connections: number of connections of clients; ``None`` to derive it from
        ``max_fds``.
    """

    bandwidth_mbps: float | None = None
    memory_mb: float | None = None
    max_fds: float | None = None
    client_memory_mb: float | None = None
    max_client_connections: int | None = None


class _Tolerance(msgspec.Struct, frozen=True):
    machine_failures: int = 0


class _Bounds(msgspec.Struct, frozen=True):
    """Bounds that the platform checks; those of rollouts are absent where there are none.

    :param config_apply_ms: time after its acknowledgement within which a configuration is in force.
    :param canary_share: part of a service's requests that a bad version may get.
    :param canary_tolerance: number of requests that it may get in addition.
    """

    drain_timeout_ms: float
    grace_period_s: float
    retry_budget_ratio: float
    budget_window_s: float
    budget_slack: float
    warmup_factor: float
    warmup_tolerance: float
    config_apply_ms: float = DEFAULT_APPLY_MS
    canary_share: float | None = None
    canary_tolerance: float | None = None
    rollback_timeout_ms: float | None = None


class _Hedging(msgspec.Struct, frozen=True):
    """This system's own setting of second attempts; see ``HedgingLimits`` for the fields."""

    extra_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    quantile: Annotated[float, msgspec.Meta(ge=0.5, le=0.999)] = 0.95


class _NodeFile(msgspec.Struct, frozen=True):
    """Fields that are read; others are ignored.

    :param seed_nodes: control plane addresses of some controllers.
    :param bootstrap: whether an empty data folder initialises a new fleet; set for the first start
        of the whole system.
    """

    ip: str
    zone: str
    listen_addresses: _Addresses
    internal_port_range: tuple[int, int]
    seed_nodes: list[str]
    bounds: _Bounds
    bootstrap: bool = False
    data_dir: str | None = None
    heartbeat_interval_ms: float = DEFAULT_HEARTBEAT_MS
    fault_tolerance: _Tolerance = _Tolerance()
    limits: _Limits = _Limits()
    hedging: _Hedging = _Hedging()


def load_node_settings(path):
    """Read the settings file.

    :param path: path of the file.
    :returns: ``Success`` of :class:`~sassafrashook.daemons.NodeSettings` or ``Failure`` of an error
        message.
    """
    try:
        with open(path, "rb") as file:
            node = msgspec.json.decode(file.read(), type=_NodeFile)
        return Success(_convert_settings(node))
    except (OSError, msgspec.MsgspecError, ValueError) as error:
        return Failure(f"{path}: {error}")


def _convert_settings(node):
    addresses, bounds = node.listen_addresses, node.bounds
    router = None
    if addresses.frontend is not None:
        router = RouterAddresses(
            split_address(addresses.frontend), split_address(addresses.readiness or "")
        )
    control = addresses.control_plane
    return NodeSettings(
        name=node.ip,
        availability_zone=node.zone,
        stream_port=node.internal_port_range[0],
        peer_port=node.internal_port_range[0] + 1,
        seeds=tuple(split_address(seed)[0] for seed in node.seed_nodes),
        router=router,
        control=split_address(control) if control is not None else None,
        data_folder=node.data_dir,
        bootstrap=node.bootstrap,
        tolerated_losses=node.fault_tolerance.machine_failures,
        heartbeat_ms=node.heartbeat_interval_ms,
        departure_grace_ms=bounds.drain_timeout_ms,
        stop_grace_ms=bounds.grace_period_s * 1_000,
        retry_ratio=bounds.retry_budget_ratio,
        retry_slack=bounds.budget_slack,
        retry_window_s=bounds.budget_window_s,
        warmup_factor=bounds.warmup_factor,
        warmup_tolerance=bounds.warmup_tolerance,
        metrics=(node.ip, METRICS_PORT),
        link_bytes_per_s=(node.limits.bandwidth_mbps or UNLIMITED_MBPS) * BYTES_PER_MBIT,
        rollout_bounds=_convert_rollout_bounds(bounds),
        hedging=HedgingLimits(node.hedging.extra_share, node.hedging.quantile),
        client_memory_bytes=_compute_client_memory_bytes(node.limits),
        configuration_apply_ms=bounds.config_apply_ms,
        max_client_connections=(
            node.limits.max_client_connections or compute_connection_limit(node.limits.max_fds)
        ),
    )


def _convert_rollout_bounds(bounds):
    values = (bounds.canary_share, bounds.canary_tolerance, bounds.rollback_timeout_ms)
    return None if None in values else RolloutBounds(*values)


def _compute_client_memory_bytes(limits):
    if limits.client_memory_mb:
        return round(limits.client_memory_mb * BYTES_PER_MB)
    return compute_memory_limit_bytes(limits.memory_mb)


def split_address(text):
    """Parse an address of the form ``IP:PORT``.

    :param text: the address.
    :returns: host and port.
    :raises ValueError: if the text has another form or the port is out of range.
    """
    host, separator, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not separator or not is_number or not 0 < int(port) < 65_536 or not host:
        raise ValueError(f"{text!r} is not an address of the form IP:PORT")
    return host, int(port)
