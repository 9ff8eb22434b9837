"""Registration of one upstream."""

from enum import IntEnum

import msgspec


class RegistrationState(IntEnum):
    """Lifecycle state of an upstream.

    If two registrations have the same boot and sequence number, the higher state wins.

    :cvar RECALLED: it was ready when this node stopped; the registration was restored from the
        node's saved state, and no heartbeat has renewed it since. The upstream gets requests but
        counts as cold until the registration expires or is renewed.
    :cvar READY: it sends heartbeats and gets requests.
    :cvar SILENT: its last heartbeat is older than the silence timeout. It still gets requests.
    :cvar DRAINING: it gets no new requests but still runs.
    :cvar LEFT: it gets no new requests and is stopping or has stopped.
    """

    RECALLED = -1
    READY = 0
    SILENT = 1
    DRAINING = 2
    LEFT = 3


class Registration(msgspec.Struct, frozen=True, array_like=True):
    """State of one boot of an upstream.

    :param upstream_id: name of the upstream; a later boot may have the same one. The name and
        ``boot_ms`` together are the key of the boot.
    :param boot_ms: start time of the boot, in Unix milliseconds.
    :param sequence: heartbeat number within the boot, increasing.
    :param state: its :class:`RegistrationState`.
    :param service: name of its service.
    :param host: host name or IP address where it listens.
    :param port: TCP port where it listens.
    :param availability_zone: name of its availability zone.
    :param version: version of its software.
    :param slots: number of requests that it runs concurrently.
    :param cold_ms: remaining warm-up time when this was sent, in milliseconds; in the state
        ``RECALLED``, the time until the registration expires.
    """

    upstream_id: str
    boot_ms: int
    sequence: int
    state: RegistrationState
    service: str = ""
    host: str = ""
    port: int = 0
    availability_zone: str = ""
    version: str = ""
    slots: int = 0
    cold_ms: float = 0.0

    @property
    def precedence(self):
        """Sort key of the registrations of one name; the greatest is the newest."""
        return (self.boot_ms, self.sequence, self.state)

    @property
    def is_closed_to_requests(self):
        """Whether it takes no new requests because it is draining or has left."""
        return self.state in (RegistrationState.DRAINING, RegistrationState.LEFT)

    @property
    def address(self):
        """Pair of host and port."""
        return (self.host, self.port)
