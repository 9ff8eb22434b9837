"""Events that the routing cores handle."""

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
class RouterMessageReceived(Event):
    """A message from a router arrived at the owner.

    :param router: name of the router.
    :param message: a permit message, session message, load report or cache event.
    """

    router: str
    message: Message


@dataclass(slots=True, frozen=True)
class UpstreamAnnounced(Event):
    """An upstream's announcement arrived, possibly late or more than once.

    :param announcement: the announcement.
    """

    announcement: UpstreamAnnouncement


@dataclass(slots=True, frozen=True)
class UpstreamLeft(Event):
    """The membership view no longer includes an upstream.

    :param upstream_id: id of the upstream.
    """

    upstream_id: str


@dataclass(slots=True, frozen=True)
class FleetStateChanged(Event):
    """A newer configuration, zone state or quarantine list was committed.

    :param fleet_state: the committed state.
    """

    fleet_state: FleetState


@dataclass(slots=True, frozen=True)
class RouterIdentity:
    """A router process that may hold permits of an earlier owner.

    :param name: name of the router.
    :param boot_id: boot id of its process.
    """

    name: str
    boot_id: str


@dataclass(slots=True, frozen=True)
class RegisteredRoutersLoaded(Event):
    """The list of routers that were registered when the owner's term began is available.

    The driver sends it once per term; the list may be empty.

    :param routers: :class:`RouterIdentity` values.
    """

    routers: tuple[RouterIdentity, ...]


@dataclass(slots=True, frozen=True)
class Suspect:
    """A request that was running when one or more upstreams crashed.

    :param fingerprint: fingerprint of its content.
    :param boots: the crashed upstream boots, each as upstream id and boot id joined by a slash.
    """

    fingerprint: int
    boots: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class RecordedSuspectsLoaded(Event):
    """The suspects that earlier owners recorded are available.

    The driver may omit it; if it sends it, then before :class:`RegisteredRoutersLoaded`.

    :param suspects: the recorded suspects.
    """

    suspects: tuple[Suspect, ...]


@dataclass(slots=True, frozen=True)
class AcquireRequested(Event):
    """A request handler needs a permit.

    :param token: the driver's hashable key of the request, unique while it waits.
    :param query: the permit request to send to the owner; the client fills in
        ``request_id`` and ``waiting_ms``.
    :param deadline: seconds until which the request may wait.
    """

    token: object
    query: PermitRequested
    deadline: float


@dataclass(slots=True, frozen=True)
class WithdrawRequested(Event):
    """A request handler no longer needs the permit that it requested.

    :param token: token of the :class:`AcquireRequested`.
    """

    token: object


@dataclass(slots=True, frozen=True)
class ReleaseRequested(Event):
    """A request handler releases a permit.

    :param request_id: id of the permit.
    :param outcome: how the request ended.
    :param first_token_ms: milliseconds from the first byte sent to the first event received, or -1
        if there is none.
    """

    request_id: int
    outcome: PermitOutcome
    first_token_ms: int = -1


@dataclass(slots=True, frozen=True)
class ControllerMessageReceived(Event):
    """A message from a controller arrived at the router.

    :param name: name of the controller.
    :param message: a permit or session message.
    """

    name: str
    message: Message


@dataclass(slots=True, frozen=True)
class ControllerDisconnected(Event):
    """The connection to a controller failed, or a message to it could not be sent.

    :param name: name of the controller.
    """

    name: str


@dataclass(slots=True, frozen=True)
class StopRequested(Event):
    """The router is stopping; its session closes once no request or permit is left."""
