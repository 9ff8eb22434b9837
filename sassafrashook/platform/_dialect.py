"""Headers between clients, the system and engines."""

from sassafrashook.gateway import AnswerFacts, Dialect, PromptPart, RequestFacts
from sassafrashook.http1 import drop_hop_by_hop

ATTEMPT_ID = b"x-sassafrashook-attempt-id"
DEADLINE = b"x-sassafrashook-deadline-ms"
CREDENTIAL = b"x-sassafrashook-credential"
TENANT = b"x-sassafrashook-tenant"
EXPECT_INSTANCE = b"x-sassafrashook-expect-instance"
# A digest of the answer's body, not a signature.
SIGNATURE = b"x-sassafrashook-response-signature"
NOT_EXECUTED = b"x-sassafrashook-not-executed"
# Running requests, waiting requests and slots.
INSTANCE_LOAD = b"x-sassafrashook-instance-load"
REQUEST_PRIORITY = b"x-sassafrashook-request-priority"
# The parts of the prompt in order, ID:TOKENS each; no hash of the whole.
PREFIX_HASH = b"x-sassafrashook-prefix-hash"
LAST_EVENT_ID = b"last-event-id"
MISDIRECTED = 421
LOWEST_PRIORITY = 9
SET_BY_SYSTEM = frozenset(
    (
        b"content-length",
        CREDENTIAL,
        DEADLINE,
        EXPECT_INSTANCE,
        LAST_EVENT_ID,
        REQUEST_PRIORITY,
        TENANT,
        b"kv-fetch",
        b"kv-from",
        b"x-sassafrashook-kv-replica",
        b"x-sassafrashook-kv-retention",
        b"x-sassafrashook-pin-ttl",
    )
)


class PlatformDialect(Dialect):
    """Reads and writes the platform's headers."""

    def read_request(self, headers):
        """Return the :class:`~sassafrashook.gateway.RequestFacts` of a client's headers."""
        return RequestFacts(
            headers.get(ATTEMPT_ID, ""),
            _read_positive(headers.get(DEADLINE)),
            headers.get(CREDENTIAL),
            _read_parts(headers.get(PREFIX_HASH, "")),
            headers.get(LAST_EVENT_ID),
        )

    def read_answer(self, head):
        """Return the :class:`~sassafrashook.gateway.AnswerFacts` of an engine's response."""
        headers = head.headers
        load = _read_numbers(headers.get(INSTANCE_LOAD, ""))
        return AnswerFacts(
            headers.get(ATTEMPT_ID, ""),
            SIGNATURE in headers,
            NOT_EXECUTED in headers or head.status == MISDIRECTED,
            head.status == MISDIRECTED,
            (load[0], load[1]) if len(load) == 3 else None,
        )

    def encode_forwarded(self, headers, forwarding):
        """Return the header fields of the request to the engine."""
        fields = drop_hop_by_hop(headers, SET_BY_SYSTEM)
        deadline_ms = max(1, int(forwarding.deadline_ms))
        fields.append((b"X-Sassafrashook-Deadline-Ms", b"%d" % deadline_ms))
        fields.append((b"X-Sassafrashook-Expect-Instance", forwarding.upstream_id.encode()))
        if forwarding.account is not None:
            fields.append((b"X-Sassafrashook-Tenant", forwarding.account.encode()))
        if forwarding.priority is not None:
            priority = min(LOWEST_PRIORITY, max(0, forwarding.priority))
            fields.append((b"X-Sassafrashook-Request-Priority", b"%d" % priority))
        if forwarding.prompt_source is not None:
            fields.append(
                (
                    b"Kv-Fetch",
                    b"%s:%d" % (forwarding.prompt_source[0].encode(), forwarding.prompt_source[1]),
                )
            )
        if forwarding.last_event_id is not None:
            fields.append((b"Last-Event-Id", forwarding.last_event_id.encode("latin-1")))
        return fields


def _read_positive(text):
    if text is None or not text.strip().isdigit():
        return None
    return float(text)


def _read_numbers(text):
    """Return comma-separated whole numbers; none at all if one is malformed."""
    parts = [part.strip() for part in text.split(",")]
    return [int(part) for part in parts] if all(part.isdigit() for part in parts) else []


def _read_parts(text):
    parts = []
    for item in text.split(","):
        part_id, _, tokens = item.strip().partition(":")
        if part_id and tokens.isdigit():
            parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)
