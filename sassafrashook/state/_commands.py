"""Commands that the replicated log carries, and the replies to them.

All times are wall-clock milliseconds. A field may only be appended, with a default, together with
a new state version.
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
    """What every log entry holds, whatever command it carries.

    :param version: state version that the command needs.
    :param now_ms: the proposer's wall clock.
    :param body: the encoded command.
    """

    version: int
    now_ms: int
    body: bytes


class AdvanceClock(Message):
    """Let deadlines pass; changes nothing else."""


class AdoptVersion(Message):
    """Allow the commands of a further state version, once every replica's program knows it."""

    version: int


class ApplyConfiguration(Message):
    """Replace the configuration if no operator changed anything since ``expected_revision``.

    :param command_id: the same for each resend.
    :param document: the checked document, JSON.
    :param deadline_ms: until when the command may be applied; it is remembered for longer.
    """

    command_id: str
    expected_revision: int
    document: bytes
    deadline_ms: int

    def identify(self):
        """Return what the operator asked for, the same for each resend."""
        return ["configuration", self.expected_revision, self.document]


class SetZone(Message):
    """Take an availability zone out, or bring it back.

    :param expected_revision: as in :class:`ApplyConfiguration`, or -1 for any.
    """

    command_id: str
    zone: str
    drained: bool
    deadline_ms: int
    expected_revision: int = -1

    def identify(self):
        """Return what the operator asked for, the same for each resend."""
        return ["zone", self.expected_revision, self.zone, self.drained]


class Claim(Message):
    """Ask to run a call once; see :class:`~sassafrashook.messages.ClaimRequested`."""

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
    """What an upstream is ordered to do."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    CHANGE_ROLE = "change_role"
    EXPORT_CACHE = "export_cache"
    IMPORT_CACHE = "import_cache"


class OrderStatus(StrEnum):
    """What is known of an order.

    ``refused`` is certain: the upstream did not and will not carry it out.
    """

    ISSUED = "issued"
    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class ModelHolders(Message):
    """A model that an order drops, and the upstreams that hold it now."""

    model: str
    upstream_ids: list[str]


class IssueOrder(Message):
    """Agree on one order to one upstream.

    :param model: ``name@version`` of a model or adapter, or empty.
    :param checks_fencing: whether the upstream refuses an order with an old fencing number.
    :param deadline_ms: after this the order must not be sent.
    :param drops: every model that the upstream will no longer hold.
    :param peer: the other upstream of a cache export or import.
    :param issuer: the start of a controller process that alone sends the order.
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

    def identify(self):
        """Return what the operator asked for, the same for each resend."""
        place = [self.upstream_id, self.peer, self.conversation_key]
        return [str(self.kind), self.model, self.role, *place]


class CompleteOrder(Message):
    """Record what became of an order."""

    fencing: int
    status: OrderStatus


class QuarantineFingerprint(Message):
    """Refuse a request's content everywhere until a deadline."""

    fingerprint: int
    deadline_ms: int


class RegisterRouter(Message):
    """Note that a boot of a router may hold permits."""

    router: str
    boot_id: str


class ForgetRouter(Message):
    """Note that a boot of a router holds nothing any more."""

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
    """Whether a command changed the state."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REFUSED = "refused"


class CommandRefused(Message):
    """The command is unknown, malformed or of a version that is not adopted; nothing changed."""

    reason: str


class ConfigurationReply(Message):
    """Outcome of a change by an operator.

    :param revision: the new revision if accepted, else the one in force.
    :param winner: on a conflict, the command id of the change that won.
    :param reason: why it was refused.
    """

    outcome: CommandOutcome
    revision: int
    winner: str = ""
    reason: str = ""


class ClaimReply(Message):
    """Decision on one entry of a batch."""

    status: ClaimStatus
    answer: RecordedAnswer | None = None


class ClaimBatchReply(Message):
    """Decisions on a batch, in the order of its entries."""

    entries: list[ClaimReply]


class OrderReply(Message):
    """Outcome of issuing or completing an order.

    :param fencing: the order's fencing number if accepted, else 0.
    :param retry_at_ms: when the refusal may no longer hold, 0 if unknown.
    """

    outcome: CommandOutcome
    fencing: int = 0
    reason: str = ""
    retry_at_ms: int = 0


class RegistryReply(Message):
    """Outcome of a change to the quarantine, the routers or the clock."""

    outcome: CommandOutcome
    reason: str = ""


Reply = ClaimBatchReply | CommandRefused | ConfigurationReply | OrderReply | RegistryReply
