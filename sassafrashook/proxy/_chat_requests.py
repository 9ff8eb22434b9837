"""Encodes chat requests to engines and validates the heads of their responses."""

import msgspec

from sassafrashook.outcomes import Verdict
from sassafrashook.proxy import _header_names as headers
from sassafrashook.proxy._calls import detect_busy
from sassafrashook.proxy._events import ID_PREFIX, extract_text
from sassafrashook.proxy._exchanges import ExchangeFailure, ExchangeFailureKind, encode_request

__all__ = [
    "HTTP_OK",
    "DeliveredEvents",
    "encode_chat_request",
    "validate_response_head",
    "matches_request_id",
]

CHAT_TARGET = "/v1/chat/completions"
RESUME_FIELD = "resume_text"
HTTP_OK = 200
HTTP_SERVER_ERROR = 500


class CompletionId(msgspec.Struct):
    """Id field of an unstreamed completion."""

    id: str


_decode_completion_id = msgspec.json.Decoder(CompletionId).decode


class DeliveredEvents:
    """Events that were sent to the caller, stored to resume the stream on another engine.

    :param max_bytes: maximum size in bytes; the events of a longer stream are discarded.
    """

    __slots__ = ("max_bytes", "_events", "_size")

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self._events = []
        self._size = 0

    def add(self, events):
        """Append the bytes of complete events that are sent to the caller."""
        self._size += len(events)
        if self._size <= self.max_bytes:
            self._events.append(events)
        else:
            self._events.clear()

    def add_resume_text(self, body):
        """Return a request body extended by the delivered text.

        :param body: request body of the caller.
        :returns: ``bytes``, or ``None`` if the events were discarded or cannot be decoded.
        """
        if self._size > self.max_bytes:
            return None
        try:
            document = msgspec.json.decode(body)
            document[RESUME_FIELD] = extract_text(b"".join(self._events))
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            return None
        return msgspec.json.encode(document)


def encode_chat_request(execution, permit, body, position):
    """Encode the request of one attempt.

    :param body: request body.
    :param position: number of events that the caller has received, or ``None`` to request the
        response from its beginning.
    """
    header_fields = {
        "Host": f"{permit.host}:{permit.port}",
        "Content-Type": "application/json",
        headers.REQUEST_ID: execution.attempt_id,
        headers.PRIORITY: permit.priority,
        headers.CONVERSATION_KEY: execution.conversation_key,
    }
    if position is not None:
        header_fields[headers.RESUME_POSITION] = position
    return encode_request("POST", CHAT_TARGET, header_fields, body)


def validate_response_head(exchange, position):
    """Validate the status and headers of a response.

    :param position: as in :func:`encode_chat_request`.
    :returns: ``None``, or an :class:`~sassafrashook.proxy._exchanges.ExchangeFailure`.
    """
    response = exchange.response
    status = response.status_code
    busy = detect_busy(response)
    if busy is not None:
        return busy
    if status >= HTTP_SERVER_ERROR or (position is not None and status != HTTP_OK):
        detail = f"upstream returned status {status}"
        return ExchangeFailure(ExchangeFailureKind.ERROR_STATUS, Verdict.MAY_HAVE_RUN, detail)
    if position is not None and response.get(headers.RESUME_POSITION) != str(position):
        return exchange.build_invalid_response_failure(
            "the engine did not resume at the requested position"
        )
    return None


def matches_request_id(body, request_id):
    """Return whether the id of an unstreamed completion names a request."""
    try:
        return _decode_completion_id(body).id.startswith(ID_PREFIX + request_id)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return False
