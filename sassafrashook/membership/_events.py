"""What the membership core is told, and what it asks its driver to do."""

from dataclasses import dataclass
from enum import StrEnum

from sassafrashook.base import Action, Event
from sassafrashook.membership._messages import PeerRecord
from sassafrashook.messages import Message, UpstreamAnnouncement


class DepartureReason(StrEnum):
    """Why an upstream or a node is no longer listed."""

    LEFT = "left"
    EXPIRED = "expired"
    DISPLACED = "displaced"
    LOST = "lost"


@dataclass(slots=True, frozen=True)
class AnnouncementHeard(Event):
    """An upstream announced itself at this node."""

    announcement: UpstreamAnnouncement


@dataclass(slots=True, frozen=True)
class LeaveHeard(Event):
    """An upstream said at this node that one of its boots leaves."""

    upstream_id: str
    boot_id: str


@dataclass(slots=True, frozen=True)
class FromPeer(Event):
    """A message came from another node."""

    peer: str
    message: Message


@dataclass(slots=True, frozen=True)
class PeersChanged(Event):
    """The settings name these nodes; they are tried even when nothing was heard of them."""

    peers: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class PeerProbed(Event):
    """The outcome of a :class:`ProbePeer`: whether the node answered on a new connection."""

    peer: str
    alive: bool


@dataclass(slots=True, frozen=True)
class StopRequested(Event):
    """This node stops gracefully."""


@dataclass(slots=True, frozen=True)
class ProbePeer(Action):
    """Find out on a new connection whether a silent node is alive; answer by a PeerProbed."""

    peer: str


@dataclass(slots=True, frozen=True)
class UpstreamSeen(Action):
    """An upstream is listed, was refreshed or changed.

    :param deadline: until when the announcement holds, seconds on this node's clock.
    :param changed: whether anything but sequence and deadline is new.
    """

    announcement: UpstreamAnnouncement
    deadline: float
    changed: bool


@dataclass(slots=True, frozen=True)
class UpstreamLeft(Action):
    """An upstream is no longer listed."""

    upstream_id: str
    boot_id: str
    reason: DepartureReason


@dataclass(slots=True, frozen=True)
class PeerSeen(Action):
    """A node is listed, or its record changed."""

    record: PeerRecord


@dataclass(slots=True, frozen=True)
class PeerGone(Action):
    """A node is no longer listed."""

    name: str
    boot_id: str
    reason: DepartureReason
