"""HTTP headers of the platform, exchanged with clients and engines."""

import math

from sassafrashook.gateway import HeaderCodec, PromptPart, RequestMetadata, ResponseMetadata
from sassafrashook.http1 import remove_hop_by_hop_headers

# The platform's attempt id is this system's request id.
ATTEMPT_ID = b"x-sassafrashook-attempt-id"
DEADLINE_MS = b"x-sassafrashook-deadline-ms"
CREDENTIAL = b"x-sassafrashook-credential"
TENANT = b"x-sassafrashook-tenant"
INSTANCE_ID = b"x-sassafrashook-instance-id"  # of the engine that answers a health check
EXPECT_INSTANCE = b"x-sassafrashook-expect-instance"
# The platform's name; contains a digest of the response body, not a signature.
RESPONSE_SIGNATURE = b"x-sassafrashook-response-signature"
NOT_EXECUTED = b"x-sassafrashook-not-executed"
# Numbers of running requests, waiting requests and slots, separated by commas; in newer deployments
# also how long work takes at the engine's host, in percent of the usual time.
INSTANCE_LOAD = b"x-sassafrashook-instance-load"
# Requests per second that the engine accepts from all machines together.
SERVER_LIMIT = b"server-limit"
SERVER_LEAVING = b"server-leaving"
# In a response with status 503: seconds for which the engine wants nothing from this machine.
RETRY_AFTER = b"retry-after"
REQUEST_PRIORITY = b"x-sassafrashook-request-priority"
# Contains the parts of the prompt in order, as ID:TOKENS each, not a hash of the whole prompt.
PREFIX_HASH = b"x-sassafrashook-prefix-hash"
LAST_EVENT_ID = b"last-event-id"
# Attempt id of the client attempt that brought the first event of the stream that a client resumes.
RESUMES = b"resumes"
STATUS_BAD_REQUEST = 400
STATUS_MISDIRECTED_REQUEST = 421
STATUS_UNAVAILABLE = 503
LOWEST_PRIORITY = 9
PERCENT = 100
# Replaced in requests to another router; everything else goes on as the client sent it.
PEER_HEADERS = frozenset((b"content-length", DEADLINE_MS, LAST_EVENT_ID, RESUMES))
# The client's own: an engine whose weights have another version responds with status 421.
EXPECT_VERSION = b"x-sassafrashook-expect-version"
# Removed from client requests: only this system may set them.
RESERVED_HEADERS = frozenset(
    (
        b"content-length",
        CREDENTIAL,
        DEADLINE_MS,
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


class PlatformHeaderCodec(HeaderCodec):
    """Decodes and encodes the HTTP headers of the platform."""

    def decode_request_headers(self, headers):
        """Decode the headers of a client's request.

        :param headers: the client's :class:`~sassafrashook.http1.Headers`.
        :returns: a :class:`~sassafrashook.gateway.RequestMetadata`.
        """
        return RequestMetadata(
            headers.get(ATTEMPT_ID, ""),
            _parse_number(headers.get(DEADLINE_MS)),
            headers.get(CREDENTIAL),
            _parse_prompt_parts(headers.get(PREFIX_HASH, "")),
            headers.get(LAST_EVENT_ID),
            headers.get(RESUMES),
            EXPECT_VERSION in headers,
        )

    def decode_response_head(self, head):
        """Decode the head of an engine's response.

        :param head: a :class:`~sassafrashook.http1.ResponseHead`.
        :returns: a :class:`~sassafrashook.gateway.ResponseMetadata`.
        """
        headers = head.headers
        load = _parse_numbers(headers.get(INSTANCE_LOAD, ""))
        request_ids = {value for name, value in headers.fields if name.lower() == ATTEMPT_ID}
        is_success = head.status < STATUS_BAD_REQUEST
        wait = headers.get(RETRY_AFTER) if head.status == STATUS_UNAVAILABLE else None
        return ResponseMetadata(
            headers.get(ATTEMPT_ID, ""),
            RESPONSE_SIGNATURE in headers,
            NOT_EXECUTED in headers or head.status == STATUS_MISDIRECTED_REQUEST,
            head.status == STATUS_MISDIRECTED_REQUEST,
            (load[0], load[1]) if len(load) in (3, 4) else None,
            _parse_positive(headers.get(SERVER_LIMIT)),
            headers.get(SERVER_LEAVING) == "1",
            _parse_positive(wait),
            len(request_ids) > 1 or (is_success and NOT_EXECUTED in headers),
            headers.get(INSTANCE_ID),
            load[3] / PERCENT if len(load) == 4 and load[3] > 0 else None,
        )

    def encode_forwarded_headers(self, headers, forwarding):
        """Encode the headers of the request to an engine.

        :param headers: the client's :class:`~sassafrashook.http1.Headers`.
        :param forwarding: a :class:`~sassafrashook.gateway.ForwardingMetadata`.
        :returns: list of (name, value) pairs of ``bytes``.
        """
        fields = remove_hop_by_hop_headers(headers, RESERVED_HEADERS)
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

    def encode_peer_headers(self, headers, forwarding):
        """Encode the headers of the request to another router.

        :param headers: the client's :class:`~sassafrashook.http1.Headers`.
        :param forwarding: a :class:`~sassafrashook.gateway.PeerForwardingMetadata`.
        :returns: list of (name, value) pairs of ``bytes``.
        """
        fields = remove_hop_by_hop_headers(headers, PEER_HEADERS)
        deadline_ms = max(1, int(forwarding.deadline_ms))
        fields.append((b"X-Sassafrashook-Deadline-Ms", b"%d" % deadline_ms))
        if forwarding.last_event_id is not None:
            fields.append((b"Last-Event-Id", forwarding.last_event_id.encode("latin-1")))
        if forwarding.stream_request_id is not None:
            fields.append((b"Resumes", forwarding.stream_request_id.encode("latin-1")))
        return fields


def _parse_number(text):
    if text is None or not text.strip().isdigit():
        return None
    return float(text)


def _parse_positive(text):
    """Return a number; ``None`` without a text, NaN if it is malformed, negative or infinite."""
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        return math.nan
    return number if 0 <= number < math.inf else math.nan


def _parse_numbers(text):
    """Return the comma-separated integers of a text, or an empty list if one is malformed."""
    parts = [part.strip() for part in text.split(",")]
    return [int(part) for part in parts] if all(part.isdigit() for part in parts) else []


def _parse_prompt_parts(text):
    parts = []
    for item in text.split(","):
        part_id, _, tokens = item.strip().partition(":")
        if part_id and tokens.isdigit():
            parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)
