"""Limits of the memory and of the descriptors that all clients of a process use together."""

from sassafrashook.clients._budget import (
    SCARCE_PAUSE_S,
    SHARE_KEY,
    ClientBudget,
    ClientPhase,
    ClientShare,
    EvictionReason,
    compute_connection_limit,
    compute_memory_limit_bytes,
)

__all__ = [
    "SCARCE_PAUSE_S",
    "SHARE_KEY",
    "ClientBudget",
    "ClientPhase",
    "ClientShare",
    "EvictionReason",
    "compute_connection_limit",
    "compute_memory_limit_bytes",
]
