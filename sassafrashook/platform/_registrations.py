"""Decoding of the heartbeats of engines, which the platform calls liveness reports."""

import ipaddress
from typing import Literal

import msgspec
from returns.result import Failure, Success

from sassafrashook.platform._settings import split_address
from sassafrashook.registry import Registration, RegistrationState

STATES = {"ready": RegistrationState.READY, "draining": RegistrationState.DRAINING}


class _Heartbeat(msgspec.Struct, frozen=True):
    """Body of a heartbeat.

    :param version: version of the engine's software.
    :param warmup_remaining_ms: remaining warm-up time, milliseconds.
    :param sequence: number of the heartbeat, which increases with each heartbeat of the engine.
    :param born: start time of the engine, Unix milliseconds.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: Literal["ready", "draining"]
    warmup_remaining_ms: float
    sequence: int
    born: int


def decode_heartbeat(upstream_id, body):
    """Decode a heartbeat.

    :param upstream_id: id of the engine, from the path of the request.
    :param body: the heartbeat as JSON, ``bytes``.
    :returns: ``Success`` of a :class:`~sassafrashook.registry.Registration` or ``Failure`` of an
        error message.
    """
    try:
        heartbeat = msgspec.json.decode(body, type=_Heartbeat)
        host, port = split_address(heartbeat.address)
        ipaddress.IPv4Address(host)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return Failure(str(error))
    if (
        heartbeat.slots <= 0
        or heartbeat.warmup_remaining_ms < 0
        or heartbeat.sequence < 0
        or heartbeat.born <= 0
    ):
        return Failure("slots, warmup_remaining_ms, sequence or born is out of range")
    return Success(
        Registration(
            upstream_id, heartbeat.born, heartbeat.sequence, STATES[heartbeat.state],
            heartbeat.service, host, port, heartbeat.zone, heartbeat.version, heartbeat.slots,
            heartbeat.warmup_remaining_ms,
        )  # fmt: skip
    )
