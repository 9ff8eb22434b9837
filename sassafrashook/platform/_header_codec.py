"""HTTP headers of the platform, exchanged with clients and engines."""

import math

from sassafrashook.gateway import HeaderCodec, PromptPart, RequestMetadata, ResponseMetadata
from sassafrashook.http1 import remove_hop_by_hop_headers
from sassafrashook.utils import parse_decimal, parse_integer

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
# Largest values that make sense. Larger ones are taken as these where that means the same, and are
# ignored elsewhere.
MAX_DEADLINE_MS = 86_400_000  # the time-out of the route is far shorter
MAX_LOAD = 1_000_000  # running or waiting requests, or slots
MAX_SLOWDOWN_PERCENT = 100_000
MAX_PART_TOKENS = 1_000_000_000
MAX_RATE_PER_S = 1_000_000_000
MAX_WAIT_S = 86_400
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
            parse_integer(headers.get(DEADLINE_MS), MAX_DEADLINE_MS, is_capped=True),
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
        load, slowdown, is_load_invalid = _parse_load(headers.get(INSTANCE_LOAD))
        request_ids = {value for name, value in headers.fields if name.lower() == ATTEMPT_ID}
        is_success = head.status < STATUS_BAD_REQUEST
        wait = headers.get(RETRY_AFTER) if head.status == STATUS_UNAVAILABLE else None
        return ResponseMetadata(
            headers.get(ATTEMPT_ID, ""),
            RESPONSE_SIGNATURE in headers,
            NOT_EXECUTED in headers or head.status == STATUS_MISDIRECTED_REQUEST,
            head.status == STATUS_MISDIRECTED_REQUEST,
            load,
            _parse_signal(headers.get(SERVER_LIMIT), MAX_RATE_PER_S, is_capped=False),
            headers.get(SERVER_LEAVING) == "1",
            _parse_signal(wait, MAX_WAIT_S, is_capped=True),
            len(request_ids) > 1 or (is_success and NOT_EXECUTED in headers),
            headers.get(INSTANCE_ID),
            slowdown,
            is_load_invalid,
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


def _parse_signal(text, maximum, is_capped):
    """Return a number; ``None`` without a text, NaN if it is malformed or makes no sense."""
    if text is None:
        return None
    number = parse_decimal(text, maximum, is_capped)
    return math.nan if number is None else number


def _parse_load(text):
    """Decode what an engine states of its load.

    :returns: the pair of running and waiting requests, how long work takes as a multiple of the
        usual time, and whether the text is malformed. The first two are ``None`` if they are not
        stated or the text is malformed.
    """
    if text is None:
        return None, None, False
    limits = (MAX_LOAD, MAX_LOAD, MAX_LOAD, MAX_SLOWDOWN_PERCENT)
    parts = text.split(",")
    numbers = [parse_integer(part, limit) for part, limit in zip(parts, limits, strict=False)]
    if len(parts) not in (3, 4) or None in numbers:
        return None, None, True
    percent = numbers[3] if len(numbers) == 4 else 0
    return (numbers[0], numbers[1]), (percent / PERCENT if percent else None), False


def _parse_prompt_parts(text):
    parts = []
    for item in text.split(","):
        part_id, _, tokens_text = item.strip().partition(":")
        tokens = parse_integer(tokens_text, MAX_PART_TOKENS)
        if part_id and tokens is not None:
            parts.append(PromptPart(part_id, tokens))
    return tuple(parts)
