"""Messages of upstreams about themselves, which routers forward."""

from enum import StrEnum

from sassafrashook.messages._message import Message


class UpstreamKind(StrEnum):
    """Kind of an upstream: an inference engine, or a plain HTTP service without a model."""

    ENGINE = "engine"
    PLAIN = "plain"


class UpstreamAnnouncement(Message):
    """An upstream announces itself, periodically.

    :param upstream_id: stable name of the upstream.
    :param service: name of the service that it belongs to.
    :param host: IP address.
    :param availability_zone: availability zone in which it runs.
    :param boot_id: unique for each start.
    :param sequence: increases with each announcement of one boot.
    :param incarnation: start time, wall-clock milliseconds; orders the boots of one upstream.
    :param capacity: how many requests it can run concurrently when warm.
    :param cold_capacity: how many requests it can run concurrently when cold.
    :param valid_ms: how long the announcement is valid unless it is renewed, milliseconds.
    :param checks_fencing: whether it refuses an order with an outdated fencing token.
    :param leaving: whether it accepts no new requests.
    :param cold: whether it reports that it is cold; when this becomes true, its owner's limit on
        concurrent requests is reset to ``cold_capacity``.
    :param models: models and adapters that it holds, ``name@version``.
    :param role: role of the upstream, such as ``prefill``, or empty.
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
    """An upstream reports its load; the report may be delayed.

    :param sequence: increases with each report of one boot.
    :param running: number of requests running at the time of the report.
    :param waiting: number of requests queued in the upstream.
    :param cold: whether it reports that it is cold; see :class:`UpstreamAnnouncement`.
    """

    upstream_id: str
    boot_id: str
    sequence: int
    running: int
    waiting: int
    cold: bool = False


class CacheEventKind(StrEnum):
    """Change of an engine's prefix cache."""

    STORED = "stored"
    EVICTED = "evicted"
    CLEARED = "cleared"


class CacheEvent(Message):
    """An engine reports a change of its prefix cache; the event may be late or lost.

    :param conversation_key: 64-bit number of the conversation; 0 for ``cleared``.
    """

    upstream_id: str
    boot_id: str
    sequence: int
    kind: CacheEventKind
    conversation_key: int
