"""Settings of one process: its addresses, availability zone, files and keys."""

import ipaddress
from typing import Annotated

import msgspec
from msgspec import Meta
from returns.result import Failure, Success

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
Port = Annotated[int, Meta(ge=0, le=65_535)]
Milliseconds = Annotated[int, Meta(ge=1, le=86_400_000)]
FilePath = Annotated[str, Meta(min_length=1)]
LogLevel = Annotated[str, Meta(pattern=r"^(debug|info|warning|error)$")]


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the parts of the settings: unknown keys are refused."""


class Endpoint(Settings):
    """An address to listen on.

    :param host: IP number.
    :param port: TCP port; 0 takes any free one.
    """

    host: str
    port: Port

    def __post_init__(self):
        ipaddress.ip_address(self.host)


class Peer(Settings):
    """Another process of the system.

    :param host: IP number.
    :param port: TCP port of its peer streams.
    """

    name: Name
    host: str
    port: Annotated[int, Meta(ge=1, le=65_535)]

    def __post_init__(self):
        ipaddress.ip_address(self.host)


class KeyFiles(Settings):
    """Files that hold the keys of those who call this process.

    :param callers: YAML mapping from client account to key.
    :param upstreams: file that holds the upstreams' one key.
    :param operators: YAML mapping from operator to key.
    """

    callers: FilePath | None = None
    upstreams: FilePath | None = None
    operators: FilePath | None = None


class TlsFiles(Settings):
    """Files of this process's identity towards its peers (PEM)."""

    certificate: FilePath
    key: FilePath
    authority: FilePath


class ProcessSettings(Settings, kw_only=True):
    """What every role needs.

    :param name: unique name of the process.
    :param availability_zone: where it runs.
    :param peer_endpoint: where it listens for its peers.
    :param metrics_endpoint: where it serves its counters.
    :param controllers: all controllers.
    :param routers: routers that are known beforehand; others are learnt.
    :param control_bytes_per_s: budget for membership messages.
    """

    name: Name
    availability_zone: Name
    region: Name = "region"
    peer_endpoint: Endpoint
    metrics_endpoint: Endpoint | None = None
    controllers: Annotated[list[Peer], Meta(min_length=1)]
    routers: list[Peer] = []
    tls: TlsFiles | None = None
    keys: KeyFiles = KeyFiles()
    control_bytes_per_s: Annotated[int, Meta(ge=2_048, le=1_000_000)] = 4_096
    log_level: LogLevel = "info"


class RouterSettings(ProcessSettings, kw_only=True):
    """Settings of a router.

    :param caller_endpoint: where it listens for callers and upstreams.
    :param balancer_interval_ms: how long the platform's balancer takes to notice the health page.
    :param max_body_bytes: largest request body.
    """

    caller_endpoint: Endpoint
    balancer_interval_ms: Annotated[int, Meta(ge=0, le=600_000)] = 5_000
    max_body_bytes: Annotated[int, Meta(ge=1_024, le=268_435_456)] = 8_388_608


class ControllerSettings(ProcessSettings, kw_only=True):
    """Settings of a controller.

    :param operator_endpoint: where it listens for operators.
    :param data_folder: folder of its log and snapshots.
    :param bootstrap: whether an empty data folder founds the first fleet; to be left out
        once the fleet has started, so that a lost disk is never taken for a new fleet.
    """

    operator_endpoint: Endpoint
    data_folder: FilePath
    bootstrap: bool = False


def check_exposure(settings):
    """Refuse addresses beyond loopback for which no keys or certificates are set.

    :param settings: a :class:`ProcessSettings`.
    :returns: ``Success`` of the settings or ``Failure`` of the reason.
    """
    demands = [
        (settings.peer_endpoint, settings.tls is not None, "peer_endpoint", "tls"),
        *_list_role_demands(settings),
    ]
    for endpoint, secured, name, needed in demands:
        if not secured and not ipaddress.ip_address(endpoint.host).is_loopback:
            return Failure(f"{name} is {endpoint.host}; without {needed} only loopback is allowed")
    return Success(settings)


def _list_role_demands(settings):
    keys = settings.keys
    if isinstance(settings, RouterSettings):
        yield settings.caller_endpoint, keys.callers is not None, "caller_endpoint", "keys.callers"
        yield settings.caller_endpoint, keys.upstreams is not None, "caller_endpoint", (
            "keys.upstreams"
        )
    if isinstance(settings, ControllerSettings):
        yield settings.operator_endpoint, keys.operators is not None, "operator_endpoint", (
            "keys.operators"
        )
