"""Bounds of the replicated state; every replica of one group must use the same."""

from dataclasses import dataclass

__all__ = ["StateLimits"]


@dataclass(slots=True, frozen=True)
class StateLimits:
    """Bounds that keep the state small and its deadlines safe.

    :param skew_margin_ms: by how much two hosts' wall clocks may differ.
    :param claim_horizon_ms: how far ahead a call's deadline may lie.
    :param claim_retention_ms: how long after its grant a record is kept if there is room.
    :param max_claims: records of calls that run at most once.
    :param max_account_claims: records within their deadlines that one client account may hold.
    :param max_key_chars: longest idempotency key, attempt or digest.
    :param max_released_attempts: attempts at one key that may end unsent before it stays refused.
    :param max_refused_attempts: attempts at one key that are remembered as refused.
    :param max_answer_bytes: longest recorded body; a longer one is recorded without its body.
    :param max_answers_bytes: all recorded bodies together.
    :param command_horizon_ms: how far ahead an operator command's deadline may lie.
    :param max_commands: operator commands remembered.
    :param max_document_bytes: largest configuration document.
    :param max_zones: availability zones taken out at once.
    :param max_quarantined: fingerprints in quarantine at once.
    :param max_routers: boots of routers registered.
    :param max_orders: orders in the journal.
    :param max_loads: loads from the weight store under way at once.
    :param order_horizon_ms: how far ahead an order's deadline may lie; it keeps others waiting.
    :param order_settle_ms: how long past its deadline an order may still reach an upstream.
    :param holders_lag_ms: how long announcements may still list a model that was dropped.
    """

    skew_margin_ms: int = 2_000
    claim_horizon_ms: int = 86_400_000
    claim_retention_ms: int = 86_400_000
    max_claims: int = 100_000
    max_account_claims: int = 50_000
    max_key_chars: int = 256
    max_released_attempts: int = 32
    max_refused_attempts: int = 32
    max_answer_bytes: int = 65_536
    max_answers_bytes: int = 16_777_216
    command_horizon_ms: int = 86_400_000
    max_commands: int = 10_000
    max_document_bytes: int = 1_048_576
    max_zones: int = 256
    max_quarantined: int = 1_000
    max_routers: int = 10_000
    max_orders: int = 10_000
    max_loads: int = 4
    order_horizon_ms: int = 600_000
    order_settle_ms: int = 5_000
    holders_lag_ms: int = 60_000
