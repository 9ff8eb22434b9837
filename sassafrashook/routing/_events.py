"""What the routing cores are told."""

from dataclasses import dataclass

from sassafrashook.base import Event
from sassafrashook.configuration import FleetState
from sassafrashook.messages import (
    Message,
    PermitOutcome,
    PermitRequested,
    UpstreamAnnouncement,
)


@dataclass(slots=True, frozen=True)
class FromRouter(Event):
    """A router's message arrived at the owner.

    :param router: name of the router.
    :param message: a permit or session message, a load report or a cache event.
    """

    router: str
    message: Message


@dataclass(slots=True, frozen=True)
class UpstreamSeen(Event):
    """An announcement was heard, perhaps late or twice."""

    announcement: UpstreamAnnouncement


@dataclass(slots=True, frozen=True)
class UpstreamLeft(Event):
    """Membership holds an upstream for gone."""

    upstream_id: str


@dataclass(slots=True, frozen=True)
class FleetStateChanged(Event):
    """A newer configuration, zone state or quarantine list is committed."""

    fleet_state: FleetState


@dataclass(slots=True, frozen=True)
class KnownRouter:
    """A router that may hold permits of an earlier owner."""

    name: str
    boot_id: str


@dataclass(slots=True, frozen=True)
class RoutersKnown(Event):
    """All routers that were registered when the owner's term began; told once, perhaps empty.

    :param routers: :class:`KnownRouter` values.
    """

    routers: tuple[KnownRouter, ...]


@dataclass(slots=True, frozen=True)
class Suspect:
    """A request that ran when upstreams crashed.

    :param fingerprint: of its content.
    :param boots: names of the upstreams, each with its boot id.
    """

    fingerprint: int
    boots: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class SuspectsKnown(Event):
    """What earlier owners recorded of suspects; told before :class:`RoutersKnown`, if at all."""

    suspects: tuple[Suspect, ...]


@dataclass(slots=True, frozen=True)
class AcquireRequested(Event):
    """A request handler wants a permit.

    :param token: hashable name of the wait, unique while it lasts.
    :param query: ``request_id`` and ``waiting_ms`` are filled in by the client.
    :param deadline: seconds until which the request may wait.
    """

    token: object
    query: PermitRequested
    deadline: float


@dataclass(slots=True, frozen=True)
class WithdrawRequested(Event):
    """A request handler no longer wants the permit that it asked for."""

    token: object


@dataclass(slots=True, frozen=True)
class ReleaseRequested(Event):
    """A request handler gives a permit back."""

    request_id: int
    outcome: PermitOutcome
    first_token_ms: int = -1


@dataclass(slots=True, frozen=True)
class FromController(Event):
    """A controller's message arrived at the router."""

    name: str
    message: Message


@dataclass(slots=True, frozen=True)
class ControllerLost(Event):
    """The stream to a controller broke, or a message to it was not sent."""

    name: str


@dataclass(slots=True, frozen=True)
class StopRequested(Event):
    """The router takes no more work; its session closes when it holds nothing."""
