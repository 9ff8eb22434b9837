"""Decoding of the heartbeats of engines, which the platform calls liveness reports."""

import ipaddress
import re
from typing import Annotated, Literal

import msgspec
from returns.result import Failure, Success

from sassafrashook.platform._settings import split_address
from sassafrashook.registry import Registration, RegistrationState

STATES = {"ready": RegistrationState.READY, "draining": RegistrationState.DRAINING}
MAX_SLOTS = 1_000_000
MAX_SEQUENCE = 2**53  # larger integers are not exact in all JSON implementations
MAX_WARMUP_MS = 86_400_000
# Largest difference between the clocks of an engine and of this process. A start further in the
# future would outrank the engine's next boots.
MAX_CLOCK_DIFFERENCE_MS = 60_000
# The name is sent in a header of each request.
UPSTREAM_ID_PATTERN = re.compile(r"[!-~]{1,256}", re.ASCII)

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class _Heartbeat(msgspec.Struct, frozen=True):
    """Body of a heartbeat.

    :param version: version of the engine's software.
    :param warmup_remaining_ms: remaining warm-up time, milliseconds.
    :param sequence: number of the heartbeat, which increases with each heartbeat of the engine.
    :param born: start time of the engine, Unix milliseconds.
    """

    service: _Name
    address: _Name
    zone: _Name
    version: _Name
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    warmup_remaining_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_WARMUP_MS)]
    sequence: Annotated[int, msgspec.Meta(ge=0, le=MAX_SEQUENCE)]
    born: Annotated[int, msgspec.Meta(ge=1)]


def is_upstream_id(text):
    """Return whether a text may be the id of an engine."""
    return UPSTREAM_ID_PATTERN.fullmatch(text) is not None


def decode_heartbeat(upstream_id, body, now_ms):
    """Decode a heartbeat.

    :param upstream_id: id of the engine, from the path of the request.
    :param body: the heartbeat as JSON, ``bytes``.
    :param now_ms: current time, Unix milliseconds.
    :returns: ``Success`` of a :class:`~sassafrashook.registry.Registration` or ``Failure`` of an
        error message.
    """
    if not is_upstream_id(upstream_id):
        return Failure("the id is empty, too long or has other than visible ASCII characters")
    try:
        heartbeat = msgspec.json.decode(body, type=_Heartbeat)
        host, port = split_address(heartbeat.address)
        ip = ipaddress.IPv4Address(host)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return Failure(str(error))
    if ip.is_unspecified or ip.is_multicast or ip.is_reserved:
        return Failure(f"{host} is not the address of a host")
    if heartbeat.born > now_ms + MAX_CLOCK_DIFFERENCE_MS:
        return Failure("born is in the future")
    return Success(
        Registration(
            upstream_id, heartbeat.born, heartbeat.sequence, STATES[heartbeat.state],
            heartbeat.service, host, port, heartbeat.zone, heartbeat.version, heartbeat.slots,
            heartbeat.warmup_remaining_ms,
        )  # fmt: skip
    )
