"""What the routing cores ask their drivers to do."""

from dataclasses import dataclass

from sassafrashook.base import Action
from sassafrashook.gateways import Permit
from sassafrashook.outcomes import Refusal
from sassafrashook.routing._events import Suspect


@dataclass(slots=True, frozen=True)
class Quarantine(Action):
    """Have a fingerprint added to the replicated quarantine list; repeated until it is there."""

    fingerprint: int


@dataclass(slots=True, frozen=True)
class RecordSuspect(Action):
    """Have a suspect recorded for later owners, which are told by :class:`SuspectsKnown`.

    Without it a later owner knows only what the routers retell.

    :param suspect: with all its crashes; without any, its record may be deleted.
    """

    suspect: Suspect


@dataclass(slots=True, frozen=True)
class Acquired(Action):
    """A wait ended with a permit."""

    token: object
    permit: Permit


@dataclass(slots=True, frozen=True)
class Refused(Action):
    """A wait ended without a permit; the verdict is ``not_run``."""

    token: object
    refusal: Refusal
