"""The limits of a process's clients, with their counters, gauges and log lines."""

import ctypes

from sassafrashook.clients import ClientBudget
from sassafrashook.telemetry import log_event

MS_PER_S = 1_000
# glibc raises its threshold for separate mappings when a large buffer is freed. Bodies then grow
# within the heap, where they are copied and leave gaps: a controller with a budget of 24 MB reached
# 172 MB. A fixed threshold keeps large buffers in mappings of their own. With many clients a body
# is small when it is evicted, so that the threshold has to be small, too.
M_MMAP_THRESHOLD = -3
MMAP_THRESHOLD_BYTES = 32_768


def make_client_budget(max_bytes, max_connections, metrics):
    """Return the :class:`~sassafrashook.clients.ClientBudget` of a process, ``None`` if unlimited.

    :param max_bytes: memory that all connections of clients may hold, in bytes, ``None`` for no
        limit.
    :param max_connections: number of connections of clients, ``None`` for no limit.
    :param metrics: the :class:`~sassafrashook.telemetry.Metrics` that count evictions.
    """
    if max_bytes is None and max_connections is None:
        return None

    def record_eviction(reason, share, now):
        metrics.count("clients_evicted", reason)
        log_event(
            "client_evicted", level="warning", reason=reason,
            phase=share.phase_ if share is not None else "new",
            phase_ms=round((now - share.since_) * MS_PER_S) if share is not None else 0,
            held_bytes=share.held_bytes_ if share is not None else 0,
            used_bytes=budget.used_bytes_, connections=len(budget.shares_),
        )  # fmt: skip

    if max_bytes is not None:
        _fix_mmap_threshold()
    budget = ClientBudget(max_bytes, max_connections, record_eviction)
    metrics.register_gauge("client_memory_bytes", lambda: budget.used_bytes_)
    metrics.register_gauge("client_connections", lambda: len(budget.shares_))
    return budget


def _fix_mmap_threshold():
    """Have each large buffer allocated in a mapping of its own, if the C library allows it."""
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
