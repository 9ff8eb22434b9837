"""Commands in the replicated log, and the replies to them.

All times are wall-clock milliseconds. A field may only be appended, with a default value and a new
state version.
"""

from enum import StrEnum

from sassafrashook.messages import ClaimStatus, Message, RecordedAnswer

__all__ = [
    "AdoptVersion",
    "AdvanceClock",
    "ApplyConfiguration",
    "Claim",
    "ClaimBatch",
    "ClaimBatchReply",
    "ClaimReply",
    "Command",
    "CommandOutcome",
    "CommandRefused",
    "CompleteClaim",
    "CompleteOrder",
    "ConfigurationReply",
    "Envelope",
    "ForgetRouter",
    "IssueOrder",
    "ModelHolders",
    "OrderKind",
    "OrderReply",
    "OrderStatus",
    "QuarantineFingerprint",
    "RegisterRouter",
    "RegistryReply",
    "Reply",
    "SetZone",
]


class Envelope(Message):
    """Format of each log entry, independent of the command in it.

    :param version: state version that the command requires.
    :param now_ms: the proposer's wall clock.
    :param body: the encoded command.
    """

    version: int
    now_ms: int
    body: bytes


class AdvanceClock(Message):
    """Advance the replicated clock, so that deadlines pass without other commands."""


class AdoptVersion(Message):
    """Enable the commands of a state version; every replica's program must support it already."""

    version: int


class ApplyConfiguration(Message):
    """Replace the configuration if no operator changed anything since ``expected_revision``.

    :param command_id: unique for each command, the same for its resends.
    :param document: the validated document, JSON.
    :param deadline_ms: until when the command may be applied; its reply is recorded for longer.
    """

    command_id: str
    expected_revision: int
    document: bytes
    deadline_ms: int

    def list_identity_fields(self):
        """Return the fields that are the same in each resend of this command."""
        return ["configuration", self.expected_revision, self.document]


class SetZone(Message):
    """Drain an availability zone, or restore it.

    :param drained: whether to drain the zone.
    :param expected_revision: as in :class:`ApplyConfiguration`, or -1 for any revision.
    """

    command_id: str
    zone: str
    drained: bool
    deadline_ms: int
    expected_revision: int = -1

    def list_identity_fields(self):
        """Return the fields that are the same in each resend of this command."""
        return ["zone", self.expected_revision, self.zone, self.drained]


class Claim(Message):
    """Request to run a call once; see :class:`~sassafrashook.messages.ClaimRequested`."""

    attempt: str
    account: str
    service: str
    key: str
    digest: str
    deadline_ms: int


class CompleteClaim(Message):
    """Record the outcome of a claimed call."""

    attempt: str
    account: str
    service: str
    key: str
    answer: RecordedAnswer


class ClaimBatch(Message):
    """Claims and completions of many routers in one log entry, applied in order."""

    entries: list[Claim | CompleteClaim]


class OrderKind(StrEnum):
    """Operation that an order makes an upstream perform."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    CHANGE_ROLE = "change_role"
    EXPORT_CACHE = "export_cache"
    IMPORT_CACHE = "import_cache"


class OrderStatus(StrEnum):
    """Status of an order.

    ``refused`` means that the upstream certainly did not and will not carry out the order.
    """

    ISSUED = "issued"
    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class ModelHolders(Message):
    """A model that an order drops, and the upstreams that currently hold it."""

    model: str
    upstream_ids: list[str]


class IssueOrder(Message):
    """Commit one order to one upstream before it is sent.

    :param checks_fencing: whether the upstream refuses an order with an outdated fencing token.
    :param deadline_ms: when the order must no longer be sent.
    :param model: ``name@version`` of a model or adapter, or empty.
    :param role: new role of the upstream, or empty.
    :param drops: every model that the upstream will no longer hold.
    :param peer: the other upstream of a cache export or import, or empty.
    :param conversation_key: conversation whose cache is exported or imported, or 0.
    :param issuer: boot of the controller process that sends the order; no other may send it.
    """

    command_id: str
    kind: OrderKind
    upstream_id: str
    boot_id: str
    checks_fencing: bool
    deadline_ms: int
    model: str = ""
    role: str = ""
    drops: list[ModelHolders] = []
    peer: str = ""
    conversation_key: int = 0
    issuer: str = ""

    def list_identity_fields(self):
        """Return the fields that are the same in each resend of this command."""
        target = [self.upstream_id, self.peer, self.conversation_key]
        return [str(self.kind), self.model, self.role, *target]


class CompleteOrder(Message):
    """Record the outcome of an order."""

    fencing: int
    status: OrderStatus


class QuarantineFingerprint(Message):
    """Have all routers refuse requests with this fingerprint until a deadline."""

    fingerprint: int
    deadline_ms: int


class RegisterRouter(Message):
    """Register a boot of a router, which may hold permits from now on."""

    router: str
    boot_id: str


class ForgetRouter(Message):
    """Unregister a boot of a router, which holds no permits any more."""

    router: str
    boot_id: str


Command = (
    AdoptVersion
    | AdvanceClock
    | ApplyConfiguration
    | ClaimBatch
    | CompleteOrder
    | ForgetRouter
    | IssueOrder
    | QuarantineFingerprint
    | RegisterRouter
    | SetZone
)


class CommandOutcome(StrEnum):
    """Outcome of a command; only an accepted command changes the state."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REFUSED = "refused"


class CommandRefused(Message):
    """Reply to a command that is unknown, malformed or of a state version that is not adopted."""

    reason: str


class ConfigurationReply(Message):
    """Reply to a change by an operator.

    :param revision: the new revision if accepted, else the current one.
    :param winner: on a conflict, the command id of the last accepted change, else empty.
    :param reason: why the change was refused, or empty.
    """

    outcome: CommandOutcome
    revision: int
    winner: str = ""
    reason: str = ""


class ClaimReply(Message):
    """Reply to one entry of a batch.

    :param answer: the recorded outcome, if there is one.
    """

    status: ClaimStatus
    answer: RecordedAnswer | None = None


class ClaimBatchReply(Message):
    """Replies to a batch, in the order of its entries."""

    entries: list[ClaimReply]


class OrderReply(Message):
    """Reply to issuing or completing an order.

    :param fencing: the order's fencing token; 0 if it was not issued.
    :param reason: why the order was refused; if a completion was accepted, the recorded
        :class:`OrderStatus` instead.
    :param retry_at_unix_ms: earliest time at which a retry may be accepted, 0 if unknown.
    """

    outcome: CommandOutcome
    fencing: int = 0
    reason: str = ""
    retry_at_unix_ms: int = 0


class RegistryReply(Message):
    """Reply to a change of the quarantine, the router registry, the clock or the state version."""

    outcome: CommandOutcome
    reason: str = ""


Reply = ClaimBatchReply | CommandRefused | ConfigurationReply | OrderReply | RegistryReply
