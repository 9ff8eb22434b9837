"""One upstream's registration."""

from enum import IntEnum

import msgspec


class RegistrationState(IntEnum):
    """What an upstream is ready for; of two with the same sequence number the higher one holds.

    A recalled one was ready when this node stopped, and was not heard since. It counts as cold for
    as long as it counts at all.
    """

    RECALLED = -1
    READY = 0
    SILENT = 1
    DRAINING = 2
    LEFT = 3


class Registration(msgspec.Struct, frozen=True, array_like=True):
    """What is known of one boot of an upstream.

    :param upstream_id: its name; a later boot may have the same one.
    :param boot_ms: Unix milliseconds of its start.
    :param sequence: rises with each heartbeat of a boot.
    :param version: version of its software.
    :param slots: requests that run at once.
    :param cold_ms: how long it stays cold, milliseconds from when this was sent.
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
    def order(self):
        """What decides between two registrations of one name; the greater one is newer."""
        return (self.boot_ms, self.sequence, self.state)

    @property
    def is_leaving(self):
        """Whether it takes no new requests."""
        return self.state in (RegistrationState.DRAINING, RegistrationState.LEFT)

    @property
    def address(self):
        """The pair of host and port."""
        return (self.host, self.port)
