"""JSON bodies of the operators' interface."""

from typing import Annotated

import msgspec
from msgspec import Meta

from sassafrashook.controller._configuration import Rollout
from sassafrashook.outcomes import Verdict

__all__ = ["ApplyRequest", "ChangeAnswer", "ErrorAnswer", "ZoneRequest"]

MAX_WAIT_MS = 600_000
CommandId = Annotated[str, Meta(min_length=1, max_length=256)]
WaitMs = Annotated[int, Meta(ge=0, le=MAX_WAIT_MS)]
Revision = Annotated[int, Meta(ge=0)]
WallClockMs = Annotated[int, Meta(ge=0)]


class _Request(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A command that changes something.

    :param wait_ms: how long to wait until the change is in force everywhere.
    :param valid_until_unix_ms: after this it must not be applied; 0 for an hour from now.
    """

    command_id: CommandId
    wait_ms: WaitMs = 0
    valid_until_unix_ms: WallClockMs = 0


class ApplyRequest(_Request, frozen=True, kw_only=True):
    """Replace the configuration."""

    expected_revision: Revision
    document: dict


class ZoneRequest(_Request, frozen=True, kw_only=True):
    """Take a zone out or bring it back; without a revision, whatever was changed before."""

    expected_revision: Revision | None = None


class ChangeAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """The outcome of a change.

    :param outcome: ``committed``, ``conflict`` or ``refused``.
    :param revision: the new revision if committed, else the one in force.
    :param winner: on a conflict, the command id of the change that won.
    :param rollout: how far it has come, if the command waited.
    """

    outcome: str
    revision: int
    winner: str = ""
    reason: str = ""
    verdict: str = ""
    rollout: Rollout | None = None


class ErrorAnswer(msgspec.Struct, frozen=True):
    """Why there is no other answer.

    :param verdict: whether the command may have been committed.
    :param leader: name of the controller believed to lead.
    """

    reason: str
    verdict: str = str(Verdict.NOT_RUN)
    outcome: str = "not_accepted"
    detail: str = ""
    leader: str = ""
    path: str = ""
    value: str = ""
    allowed: str = ""
