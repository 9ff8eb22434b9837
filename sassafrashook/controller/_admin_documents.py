"""Request and response bodies of the operator interface."""

from typing import Annotated

import msgspec
from msgspec import Meta

from sassafrashook.controller._configuration import Rollout
from sassafrashook.outcomes import Verdict

__all__ = ["ApplyRequest", "ChangeResponse", "ErrorResponse", "ZoneRequest"]

MAX_ROLLOUT_WAIT_MS = 600_000
CommandId = Annotated[str, Meta(min_length=1, max_length=256)]
WaitMs = Annotated[int, Meta(ge=0, le=MAX_ROLLOUT_WAIT_MS)]
Revision = Annotated[int, Meta(ge=0)]
WallClockMs = Annotated[int, Meta(ge=0)]


class _ChangeRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of requests that change the state.

    :param wait_ms: maximum time to wait until the change is in force on all routers, milliseconds.
    :param valid_until_unix_ms: wall-clock time in milliseconds after which the command must not be
        applied; 0 for the default validity, ``command_validity_ms``
        of :class:`AdminApplication` from now.
    """

    command_id: CommandId
    wait_ms: WaitMs = 0
    valid_until_unix_ms: WallClockMs = 0


class ApplyRequest(_ChangeRequest, frozen=True, kw_only=True):
    """Request to replace the configuration."""

    expected_revision: Revision
    document: dict


class ZoneRequest(_ChangeRequest, frozen=True, kw_only=True):
    """Request to drain or restore a zone.

    :param expected_revision: revision that the change is based on; ``None`` to change the zone at
        any revision.
    """

    expected_revision: Revision | None = None


class ChangeResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """The outcome of a change.

    :param outcome: ``committed`` if the command was accepted, else ``conflict`` or ``refused``.
    :param revision: the new revision if committed, else the current one.
    :param winner: on a conflict, the command id of the change that was committed instead.
    :param rollout: progress of the new revision, if the command waited for it.
    """

    outcome: str
    revision: int
    winner: str = ""
    reason: str = ""
    verdict: str = ""
    rollout: Rollout | None = None


class ErrorResponse(msgspec.Struct, frozen=True):
    """The body of an error response.

    :param verdict: whether the command may have been committed.
    :param leader: name of the presumed leader, or empty.
    """

    reason: str
    verdict: str = str(Verdict.NOT_RUN)
    outcome: str = "not_accepted"
    detail: str = ""
    leader: str = ""
    path: str = ""
    value: str = ""
    allowed: str = ""
