"""Actions that the routing cores return to their drivers."""

from dataclasses import dataclass

from sassafrashook.base import Action
from sassafrashook.interfaces import Permit
from sassafrashook.outcomes import Refusal
from sassafrashook.routing._events import Suspect


@dataclass(slots=True, frozen=True)
class Quarantine(Action):
    """Add a fingerprint to the replicated quarantine list.

    The action is repeated until the committed list contains the fingerprint.

    :param fingerprint: fingerprint of a request's content.
    """

    fingerprint: int


@dataclass(slots=True, frozen=True)
class RecordSuspect(Action):
    """Store a suspect for later owners, which receive it in :class:`RecordedSuspectsLoaded`.

    Without the record, a later owner knows only the crashes that routers report again. A driver may
    ignore the action, as :class:`~sassafrashook.controller.PermitService` does.

    :param suspect: the suspect with all its crashes; if it has none, its record may be deleted.
    """

    suspect: Suspect


@dataclass(slots=True, frozen=True)
class Acquired(Action):
    """A waiting request received a permit.

    :param token: token of the :class:`AcquireRequested`.
    :param permit: the permit.
    """

    token: object
    permit: Permit


@dataclass(slots=True, frozen=True)
class Refused(Action):
    """A waiting request was refused a permit.

    :param token: token of the :class:`AcquireRequested`.
    :param refusal: the reason, with verdict ``not_run``.
    """

    token: object
    refusal: Refusal
