"""Replicated records of rollouts, and the commands that change them."""

from enum import IntEnum, StrEnum

import msgspec

__all__ = [
    "AdvanceRollout",
    "FinishRollout",
    "Rollout",
    "RolloutOutcome",
    "RolloutState",
    "RolloutStep",
    "RolloutTable",
    "StartRollout",
]

# An order is resent for 5 s at most; the rest covers the difference between two hosts' clocks.
RESEND_WINDOW_MS = 6_000


class RolloutState(StrEnum):
    """State of a rollout; the last two are final."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    REVERTED = "reverted"


class RolloutStep(IntEnum):
    """Step of a rollout in progress.

    :cvar WARMING: the new version gets nothing yet.
    :cvar TRIAL: it gets a small share.
    :cvar HALF_WAY: it gets a larger share for a short time.
    :cvar SWITCHED: it gets all requests from routers with a lease.
    :cvar SEALED: it gets all requests from all routers that know.
    """

    WARMING = 0
    TRIAL = 1
    HALF_WAY = 2
    SWITCHED = 3
    SEALED = 4


class RolloutOutcome(StrEnum):
    """Outcome of a command.

    :cvar CHANGED: the command took effect.
    :cvar REPEATED: the same order was accepted before.
    :cvar CONFLICT: another rollout of the service is in progress.
    :cvar OUTDATED: the rollout has ended or changed since the command was decided.
    """

    CHANGED = "changed"
    REPEATED = "repeated"
    CONFLICT = "conflict"
    OUTDATED = "outdated"


class Rollout(msgspec.Struct, frozen=True, array_like=True):
    """Latest rollout of one service.

    :param service: name of the service.
    :param to: software version that the traffic is moved to.
    :param old_versions: versions that the service's other upstreams ran at the order.
    :param order_index: log index of the order, which identifies the rollout.
    :param index: log index of the last change.
    :param state: a :class:`RolloutState`.
    :param ordered_ms: time of the order, Unix milliseconds.
    :param deadline_ms: time by which it must have ended, Unix milliseconds.
    :param changed_ms: time of the last change, Unix milliseconds.
    :param share: share of the requests that goes to the new version, 0 to 1.
    :param step: a :class:`RolloutStep`.
    :param reason: why it ended.
    """

    service: str
    to: str
    old_versions: list[str]
    order_index: int
    index: int
    state: RolloutState
    ordered_ms: int
    deadline_ms: int
    changed_ms: int
    share: float = 0.0
    step: RolloutStep = RolloutStep.WARMING
    reason: str = ""

    @property
    def is_sealed(self):
        """Whether the share holds without a lease."""
        return self.step is RolloutStep.SEALED

    @property
    def is_in_progress(self):
        """Whether it has not ended."""
        return self.state is RolloutState.IN_PROGRESS


class _Command(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of the commands in the consensus log."""


class StartRollout(_Command):
    """Order of an operator; the parameters are those of :class:`Rollout`."""

    service: str
    to: str
    old_versions: list[str]
    ordered_ms: int
    deadline_ms: int


class AdvanceRollout(_Command):
    """Change the share of a rollout.

    :param base_index: index of the record that the decision is based on.
    """

    service: str
    base_index: int
    changed_ms: int
    share: float
    step: RolloutStep


class FinishRollout(_Command):
    """End a rollout.

    :param order_index: log index of the order.
    :param base_index: index of the record that the decision is based on, 0 if it holds for any.
    """

    service: str
    order_index: int
    base_index: int
    changed_ms: int
    state: RolloutState
    reason: str = ""


class RolloutTable:
    """The latest rollout of each service, changed by committed commands only.

    :ivar rollouts_: :class:`Rollout` by service.
    :ivar index_: log index of the last change.

    >>> table = RolloutTable()
    >>> table.apply(4, StartRollout("s", "v2", ["v1"], 0, 12_000)).value
    'changed'
    >>> table.apply(5, FinishRollout("s", 4, 0, 1_000, RolloutState.REVERTED)).value
    'changed'
    >>> table.apply(6, FinishRollout("s", 4, 0, 1_000, RolloutState.COMPLETED)).value
    'outdated'
    """

    def __init__(self):
        self.rollouts_ = {}
        self.index_ = 0

    def apply(self, index, command):
        """Apply one committed command.

        :param index: its log index.
        :returns: a :class:`RolloutOutcome`.
        """
        known = self.rollouts_.get(command.service)
        if isinstance(command, StartRollout):
            outcome, changed = self._start(index, known, command)
        else:
            outcome, changed = self._change(index, known, command)
        if changed is not None:
            self.rollouts_[command.service] = changed
            self.index_ = index
        return outcome

    def _start(self, index, known, command):
        if known is not None:
            is_same = known.to == command.to
            is_resent = command.ordered_ms < known.ordered_ms + RESEND_WINDOW_MS
            is_done = known.state is RolloutState.COMPLETED and not command.old_versions
            if is_same and (known.is_in_progress or is_resent or is_done):
                return RolloutOutcome.REPEATED, None
            if known.is_in_progress:
                return RolloutOutcome.CONFLICT, None
        return RolloutOutcome.CHANGED, Rollout(
            command.service, command.to, command.old_versions, index, index,
            RolloutState.IN_PROGRESS, command.ordered_ms, command.deadline_ms, command.ordered_ms,
        )  # fmt: skip

    def _change(self, index, known, command):
        if known is None or not known.is_in_progress:
            return RolloutOutcome.OUTDATED, None
        if command.base_index not in (0, known.index):
            return RolloutOutcome.OUTDATED, None
        changes = {"index": index, "changed_ms": command.changed_ms}
        if isinstance(command, AdvanceRollout):
            changes |= {"share": command.share, "step": command.step}
        elif command.order_index == known.order_index:
            changes |= {"state": command.state, "reason": command.reason}
        else:
            return RolloutOutcome.OUTDATED, None
        return RolloutOutcome.CHANGED, msgspec.structs.replace(known, **changes)

    def list_all(self):
        """Return the records, sorted by service."""
        return [self.rollouts_[service] for service in sorted(self.rollouts_)]

    def restore(self, rollouts):
        """Replace the records by those of a snapshot."""
        self.rollouts_ = {rollout.service: rollout for rollout in rollouts}
        self.index_ = max((rollout.index for rollout in rollouts), default=0)
