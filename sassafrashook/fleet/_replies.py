"""Replies to operators' commands."""

from dataclasses import dataclass
from enum import StrEnum


class OperatorCommandOutcome(StrEnum):
    """Outcome of an operator's command.

    ``DONE``: it was committed, or the current configuration is of the same or a higher version;
    ``NOT_LEADER``: this controller is not the leader; ``UNKNOWN``: it was not confirmed in time and
    may or may not be applied.
    """

    DONE = "done"
    NOT_LEADER = "elsewhere"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class OperatorCommandReply:
    """Reply to an operator's command.

    :param leader: name of the leader, to which the command must be sent instead if the outcome is
        ``NOT_LEADER``.
    :param refusal: why it is refused for good, ``None`` if it isn't.
    :param is_conflict: whether it is refused because of an earlier command.
    """

    outcome: OperatorCommandOutcome
    leader: str = ""
    refusal: str | None = None
    is_conflict: bool = False
