"""Limits of the replicated state; all replicas of a group must use the same values."""

from dataclasses import dataclass

__all__ = ["StateLimits"]


@dataclass(slots=True, frozen=True)
class StateLimits:
    """Limits on the size of the state and on the deadlines in it.

    :param skew_margin_ms: largest difference between the wall clocks of two hosts, milliseconds.
    :param max_claim_deadline_ahead_ms: how far in the future a call's deadline may be,
        milliseconds.
    :param claim_retention_ms: how long after its grant a record is kept, milliseconds; retired
        records are removed earlier when the table is full.
    :param max_claims: largest number of records of calls that run at most once.
    :param max_account_claims: largest number of active (not retired) records of one client
        account.
    :param max_key_chars: longest idempotency key, attempt, digest, command id, boot id or name,
        such as that of an availability zone or a router, characters.
    :param max_released_attempts: how many attempts at one key may report ``not_run``; after that
        many the key is not granted again.
    :param max_refused_attempts: how many refused attempts are recorded for one key.
    :param max_answer_bytes: largest recorded body, bytes; a larger one is not stored, only the
        verdict and status.
    :param max_total_answer_bytes: largest total size of the recorded bodies, bytes.
    :param max_command_deadline_ahead_ms: how far in the future an operator command's deadline
        may be, milliseconds.
    :param max_commands: largest number of recorded operator commands.
    :param max_document_bytes: largest configuration document, bytes.
    :param max_drained_zones: largest number of drained availability zones.
    :param max_quarantined: largest number of quarantined fingerprints.
    :param max_routers: largest number of registered router boots.
    :param max_orders: largest number of orders in the journal.
    :param max_concurrent_loads: largest number of concurrent loads from the weight store.
    :param max_order_deadline_ahead_ms: how far in the future an order's deadline may be,
        milliseconds; an order may block later ones to the same upstream until then.
    :param order_delivery_margin_ms: how long after its deadline an order may still reach an
        upstream, milliseconds.
    :param announcement_lag_ms: how long after an order is settled an upstream's announcements may
        still list a model that the order dropped, milliseconds.
    """

    skew_margin_ms: int = 2_000
    max_claim_deadline_ahead_ms: int = 86_400_000
    claim_retention_ms: int = 86_400_000
    max_claims: int = 100_000
    max_account_claims: int = 50_000
    max_key_chars: int = 256
    max_released_attempts: int = 32
    max_refused_attempts: int = 32
    max_answer_bytes: int = 65_536
    max_total_answer_bytes: int = 16_777_216
    max_command_deadline_ahead_ms: int = 86_400_000
    max_commands: int = 10_000
    max_document_bytes: int = 1_048_576
    max_drained_zones: int = 256
    max_quarantined: int = 1_000
    max_routers: int = 10_000
    max_orders: int = 10_000
    max_concurrent_loads: int = 4
    max_order_deadline_ahead_ms: int = 600_000
    order_delivery_margin_ms: int = 5_000
    announcement_lag_ms: int = 60_000
