"""What upstreams tell of themselves; routers pass it on."""

from enum import StrEnum

from sassafrashook.messages._message import Message


class UpstreamKind(StrEnum):
    """Whether an upstream runs a model."""

    ENGINE = "engine"
    PLAIN = "plain"


class UpstreamAnnouncement(Message):
    """One announcement of an upstream about itself.

    :param upstream_id: stable name.
    :param service: name of the service that it belongs to.
    :param host: IP number.
    :param availability_zone: where it runs.
    :param boot_id: new for each start.
    :param sequence: grows with each announcement of one boot.
    :param incarnation: wall-clock milliseconds of the start; orders two boots of one upstream.
    :param capacity: requests that it bears at once when warm.
    :param cold_capacity: requests that it bears at once when cold.
    :param checks_fencing: whether it refuses an order with an old fencing number.
    :param leaving: whether it takes no more new work.
    :param valid_ms: how long the announcement holds unless it is renewed.
    :param models: models and adapters held, ``name@version``.
    :param cold: whether it says of itself that it is cold.
    """

    upstream_id: str
    kind: UpstreamKind
    service: str
    host: str
    port: int
    availability_zone: str
    boot_id: str
    sequence: int
    incarnation: int
    capacity: int
    cold_capacity: int
    valid_ms: int
    checks_fencing: bool = False
    leaving: bool = False
    cold: bool = False
    models: list[str] = []
    role: str = ""


class LoadReport(Message):
    """A lagging report of an upstream's load.

    :param running: requests running when the report was made.
    :param waiting: requests queued inside the upstream.
    :param cold: whether it says of itself that it is cold.
    """

    upstream_id: str
    boot_id: str
    sequence: int
    running: int
    waiting: int
    cold: bool = False


class CacheEventKind(StrEnum):
    """What happened to a cached prefix."""

    STORED = "stored"
    EVICTED = "evicted"
    CLEARED = "cleared"


class CacheEvent(Message):
    """A late, possibly lost hint about an engine's prefix cache.

    :param conversation_key: 64-bit number; 0 for ``cleared``.
    """

    upstream_id: str
    boot_id: str
    sequence: int
    kind: CacheEventKind
    conversation_key: int
