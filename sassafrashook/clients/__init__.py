"""Limits of the memory and of the descriptors that all clients of a process use together."""

from sassafrashook.clients._budget import (
    SCARCE_PAUSE_S,
    ClientBudget,
    ClientPhase,
    ClientShare,
    EvictionReason,
    compute_connection_limit,
    compute_memory_limit_bytes,
)
from sassafrashook.clients._listener import (
    MAX_LARGE_UNREAD_BYTES,
    MAX_UNREAD_BYTES,
    RECEIVE_BUFFER_BYTES,
    make_stream_server,
    open_listener,
    resize_receive_buffer,
)

__all__ = [
    "MAX_LARGE_UNREAD_BYTES",
    "MAX_UNREAD_BYTES",
    "RECEIVE_BUFFER_BYTES",
    "SCARCE_PAUSE_S",
    "ClientBudget",
    "ClientPhase",
    "ClientShare",
    "EvictionReason",
    "compute_connection_limit",
    "compute_memory_limit_bytes",
    "make_stream_server",
    "open_listener",
    "resize_receive_buffer",
]
