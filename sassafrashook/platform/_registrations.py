"""What engines tell of themselves."""

import ipaddress
from typing import Literal

import msgspec
from returns.result import Failure, Success

from sassafrashook.platform._settings import split_address
from sassafrashook.registry import Registration, RegistrationState

STATES = {"ready": RegistrationState.READY, "draining": RegistrationState.DRAINING}


class _Beat(msgspec.Struct, frozen=True):
    """Body of a liveness report.

    ``version`` is that of the engine's software, ``sequence`` counts its reports, and ``born`` is
    the Unix millisecond of its start.
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


def decode_registration(upstream_id, body):
    """Decode a liveness report.

    :param upstream_id: the id in the path of the call.
    :param body: ``bytes``.
    :returns: ``Success`` of a :class:`~sassafrashook.registry.Registration` or ``Failure`` of a
        text.
    """
    try:
        beat = msgspec.json.decode(body, type=_Beat)
        host, port = split_address(beat.address)
        ipaddress.IPv4Address(host)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return Failure(str(error))
    if beat.slots <= 0 or beat.warmup_remaining_ms < 0 or beat.sequence < 0 or beat.born <= 0:
        return Failure("a number is out of range")
    return Success(
        Registration(
            upstream_id, beat.born, beat.sequence, STATES[beat.state], beat.service, host, port,
            beat.zone, beat.version, beat.slots, beat.warmup_remaining_ms,
        )  # fmt: skip
    )
