"""Replicated state: configuration, claims, orders, quarantine and router registry."""

from sassafrashook.state._claims import ClaimTable
from sassafrashook.state._codec import decode_reply, encode_command
from sassafrashook.state._commands import (
    AdoptVersion,
    AdvanceClock,
    ApplyConfiguration,
    Claim,
    ClaimBatch,
    ClaimBatchReply,
    ClaimReply,
    CommandOutcome,
    CommandRefused,
    CompleteClaim,
    CompleteOrder,
    ConfigurationReply,
    ForgetRouter,
    IssueOrder,
    ModelHolders,
    OrderKind,
    OrderReply,
    OrderStatus,
    QuarantineFingerprint,
    RegisterRouter,
    RegistryReply,
    SetZone,
)
from sassafrashook.state._deduplication import CommandDeduplicator
from sassafrashook.state._limits import StateLimits
from sassafrashook.state._machine import FleetStateMachine, UnsupportedVersionError
from sassafrashook.state._orders import OrderJournal, OrderRecord
from sassafrashook.state._revisions import RevisionRegister, digest_document

__all__ = [
    "AdoptVersion",
    "AdvanceClock",
    "ApplyConfiguration",
    "Claim",
    "ClaimBatch",
    "ClaimBatchReply",
    "ClaimReply",
    "ClaimTable",
    "CommandDeduplicator",
    "CommandOutcome",
    "CommandRefused",
    "CompleteClaim",
    "CompleteOrder",
    "ConfigurationReply",
    "FleetStateMachine",
    "ForgetRouter",
    "IssueOrder",
    "ModelHolders",
    "OrderJournal",
    "OrderKind",
    "OrderRecord",
    "OrderReply",
    "OrderStatus",
    "QuarantineFingerprint",
    "RegisterRouter",
    "RegistryReply",
    "RevisionRegister",
    "SetZone",
    "StateLimits",
    "UnsupportedVersionError",
    "decode_reply",
    "digest_document",
    "encode_command",
]
