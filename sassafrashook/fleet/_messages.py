"""Messages between controllers, and from and to routers."""

import msgspec

from sassafrashook.messages import Message
from sassafrashook.registry import Registration

__all__ = [
    "FLEET_MESSAGES",
    "Heartbeat",
    "HeartbeatsHeard",
    "LoadReported",
    "LoadShared",
    "OtherLoads",
    "PartPlaced",
    "ViewChanged",
    "ViewRequested",
]


class ViewRequested(Message):
    """A node follows a controller; sent at intervals, and at once as an acknowledgement.

    :param is_router: whether it is a router.
    :param publisher_boot: start of the controller that ``revision`` is of.
    :param revision: the controller's revision that the node holds.
    :param configuration_version: version of the configuration that it holds.
    :param drain_index: log index of the drained zones that it holds.
    """

    is_router: bool
    publisher_boot: str = ""
    revision: int = 0
    configuration_version: int = 0
    drain_index: int = 0


class ViewChanged(Message):
    """What changed at a controller since the revision that a node held.

    :param boot: start of the controller.
    :param revision: its revision with these changes.
    :param registrations: those that changed.
    :param controllers: names of all members of the group.
    :param routers: names of all routers heard of lately.
    :param drain_index: log index at which ``drained_zones`` was decided.
    :param drained_zones: availability zones that are out.
    :param configuration_version: version of ``configuration``, 0 if it is left out.
    :param configuration: the encoded configuration, compressed.
    """

    boot: str
    revision: int
    registrations: list[Registration]
    controllers: list[str]
    routers: list[str]
    drain_index: int
    drained_zones: list[str]
    configuration_version: int = 0
    configuration: bytes = b""


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """One heartbeat of an upstream."""

    upstream_id: str
    boot_ms: int
    sequence: int


class HeartbeatsHeard(Message):
    """Heartbeats that reached one controller, told to the others."""

    heartbeats: list[Heartbeat]


class PartPlaced(msgspec.Struct, frozen=True, array_like=True):
    """An upstream began to hold a part of prompts.

    :param part: 64-bit number of the part.
    """

    part: int
    upstream_id: str


class LoadReported(Message):
    """A router's part of the load, told to its nearest controller.

    :param loads: number of its requests that run, by upstream.
    :param placed: parts of prompts that upstreams began to hold.
    """

    loads: dict[str, int]
    placed: list[PartPlaced] = []


class LoadShared(Message):
    """The loads of a controller's routers, told to the other controllers."""

    loads: dict[str, int]
    placed: list[PartPlaced] = []


class OtherLoads(Message):
    """The loads of all other routers, told to a router."""

    loads: dict[str, int]
    placed: list[PartPlaced] = []


FLEET_MESSAGES = (
    ViewRequested,
    ViewChanged,
    HeartbeatsHeard,
    LoadReported,
    LoadShared,
    OtherLoads,
)
