"""Events and actions of the membership core."""

from dataclasses import dataclass
from enum import StrEnum

from sassafrashook.base import Action, Event
from sassafrashook.membership._messages import PeerRecord
from sassafrashook.messages import Message, UpstreamAnnouncement


class RemovalReason(StrEnum):
    """Why an upstream or a node is no longer listed."""

    LEFT = "left"
    EXPIRED = "expired"
    DISPLACED = "displaced"
    LOST = "lost"


@dataclass(slots=True, frozen=True)
class AnnouncementReceived(Event):
    """An upstream announced itself to this node."""

    announcement: UpstreamAnnouncement


@dataclass(slots=True, frozen=True)
class DepartureReceived(Event):
    """An upstream told this node that one of its boots is leaving."""

    upstream_id: str
    boot_id: str


@dataclass(slots=True, frozen=True)
class MessageReceived(Event):
    """A message arrived from another node."""

    peer: str
    message: Message


@dataclass(slots=True, frozen=True)
class SeedsChanged(Event):
    """The settings list these seed nodes, which are contacted even if they aren't listed."""

    seeds: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class ProbeCompleted(Event):
    """Result of a :class:`ProbePeer`.

    :param alive: whether the node answered on a new connection.
    """

    peer: str
    alive: bool


@dataclass(slots=True, frozen=True)
class StopRequested(Event):
    """This node is shutting down gracefully."""


@dataclass(slots=True, frozen=True)
class ProbePeer(Action):
    """Probe a silent node on a new connection; the result is a :class:`ProbeCompleted`."""

    peer: str


@dataclass(slots=True, frozen=True)
class UpstreamAnnounced(Action):
    """An upstream was added, refreshed or changed.

    :param deadline: when the announcement expires, seconds of this node's clock.
    :param changed: whether any field other than the sequence and the validity changed.
    """

    announcement: UpstreamAnnouncement
    deadline: float
    changed: bool


@dataclass(slots=True, frozen=True)
class UpstreamRemoved(Action):
    """An upstream is no longer listed."""

    upstream_id: str
    boot_id: str
    reason: RemovalReason


@dataclass(slots=True, frozen=True)
class PeerSeen(Action):
    """A node was added, or its record changed."""

    record: PeerRecord


@dataclass(slots=True, frozen=True)
class PeerRemoved(Action):
    """A node is no longer listed."""

    name: str
    boot_id: str
    reason: RemovalReason
