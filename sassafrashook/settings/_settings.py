"""Settings of one process: addresses, availability zone, files and keys."""

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
    """Base class of the sections of the settings; unknown keys are rejected."""


class ListenAddress(Settings):
    """Address that a process listens on.

    :param host: IP address.
    :param port: TCP port; 0 selects a free port.
    """

    host: str
    port: Port

    def __post_init__(self):
        ipaddress.ip_address(self.host)


class Peer(Settings):
    """Address of another process of the system.

    :param name: name of the process.
    :param host: IP address.
    :param port: TCP port on which it accepts connections from its peers.
    """

    name: Name
    host: str
    port: Annotated[int, Meta(ge=1, le=65_535)]

    def __post_init__(self):
        ipaddress.ip_address(self.host)


class KeyFiles(Settings):
    """Paths of the files with the keys that clients of this process must present.

    :param callers: YAML mapping from client account to key.
    :param upstreams: file with the key that all upstreams share.
    :param operators: YAML mapping from operator to key.
    """

    callers: FilePath | None = None
    upstreams: FilePath | None = None
    operators: FilePath | None = None


class TlsFiles(Settings):
    """Paths of the PEM files for mutual TLS between this process and its peers.

    :param certificate: certificate of this process.
    :param key: private key of the certificate.
    :param authority: certificate of the authority that signs the certificates of all processes.
    """

    certificate: FilePath
    key: FilePath
    authority: FilePath


class Limits(Settings):
    """Limits of what a process uses.

    :param memory_mb: memory of the process, MiB.
    :param max_fds: descriptors of the process; ``None`` for the limit that the system sets.
    """

    memory_mb: Annotated[int, Meta(ge=96, le=1_048_576)] = 512
    max_fds: Annotated[int, Meta(ge=160, le=10_000_000)] | None = None


class ProcessSettings(Settings, kw_only=True):
    """Settings that all roles share.

    :param name: unique name of the process.
    :param availability_zone: availability zone of the process.
    :param region: region of the process.
    :param peer_endpoint: address that accepts connections from peers.
    :param metrics_endpoint: address of the metrics page; ``None`` for no page.
    :param controllers: all controllers.
    :param routers: initially known routers; others are discovered.
    :param tls: files for mutual TLS between peers; ``None`` for unencrypted connections.
    :param keys: files with the keys of clients.
    :param limits: limits of what the process uses.
    :param control_bytes_per_s: bandwidth limit for membership messages, bytes per second.
    :param log_level: ``debug``, ``info``, ``warning`` or ``error``.
    """

    name: Name
    availability_zone: Name
    region: Name = "region"
    peer_endpoint: ListenAddress
    metrics_endpoint: ListenAddress | None = None
    controllers: Annotated[list[Peer], Meta(min_length=1)]
    routers: list[Peer] = []
    tls: TlsFiles | None = None
    keys: KeyFiles = KeyFiles()
    limits: Limits = Limits()
    control_bytes_per_s: Annotated[int, Meta(ge=2_048, le=1_000_000)] = 4_096
    log_level: LogLevel = "info"


class RouterSettings(ProcessSettings, kw_only=True):
    """Settings of a router.

    :param caller_endpoint: address that accepts requests from clients and upstreams.
    :param balancer_interval_ms: time until the load balancer notices a change of the health check,
        milliseconds.
    :param max_body_bytes: maximum size of a request body, bytes.
    """

    caller_endpoint: ListenAddress
    balancer_interval_ms: Annotated[int, Meta(ge=0, le=600_000)] = 5_000
    max_body_bytes: Annotated[int, Meta(ge=1_024, le=268_435_456)] = 8_388_608


class ControllerSettings(ProcessSettings, kw_only=True):
    """Settings of a controller.

    :param operator_endpoint: address that accepts requests from operators.
    :param data_folder: directory of the replicated log and its snapshots.
    :param bootstrap: whether an empty data directory initialises a new fleet; must be removed once
        the fleet has started, so that a replaced disk never initialises a second fleet.
    """

    operator_endpoint: ListenAddress
    data_folder: FilePath
    bootstrap: bool = False


def check_unsecured_endpoints(settings):
    """Check that only loopback addresses are used without keys or certificates.

    :param settings: a :class:`ProcessSettings`.
    :returns: ``Success`` of the settings or ``Failure`` of an error message.
    """
    requirements = [
        (settings.peer_endpoint, settings.tls is not None, "peer_endpoint", "tls"),
        *_list_role_requirements(settings),
    ]
    for endpoint, is_secured, name, required_setting in requirements:
        if not is_secured and not ipaddress.ip_address(endpoint.host).is_loopback:
            return Failure(
                f"{name} is {endpoint.host}; without {required_setting} only loopback is allowed"
            )
    return Success(settings)


def _list_role_requirements(settings):
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
