"""What is sent to an engine for one attempt at a chat, and how the answer's head is judged."""

import msgspec

from sassafrashook.outcomes import Verdict
from sassafrashook.proxy import _headers as headers
from sassafrashook.proxy._calls import find_busy
from sassafrashook.proxy._events import ID_PREFIX, read_text
from sassafrashook.proxy._exchanges import ExchangeFailure, ExchangeFailureKind, build_request

__all__ = ["HTTP_OK", "DeliveredPart", "build_chat_request", "check_head", "is_answer_to"]

CHAT_TARGET = "/v1/chat/completions"
RESUME_FIELD = "resume_text"
HTTP_OK = 200
HTTP_SERVER_ERROR = 500


class CompletionId(msgspec.Struct):
    """The part of a whole completion that names the request it answers."""

    id: str


_decode_completion_id = msgspec.json.Decoder(CompletionId).decode


class DeliveredPart:
    """The events that a caller has received, kept for an engine that did not produce them.

    :param max_bytes: nothing is kept of a longer part.
    """

    __slots__ = ("max_bytes", "_events", "_size")

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self._events = []
        self._size = 0

    def add(self, events):
        """Take the bytes of whole events that go to the caller."""
        self._size += len(events)
        if self._size <= self.max_bytes:
            self._events.append(events)
        else:
            self._events.clear()

    def add_to(self, body):
        """Return a request body with the delivered text, or ``None`` if it is not known."""
        if self._size > self.max_bytes:
            return None
        try:
            document = msgspec.json.decode(body)
            document[RESUME_FIELD] = read_text(b"".join(self._events))
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            return None
        return msgspec.json.encode(document)


def build_chat_request(run, permit, body, position):
    """Return the bytes of one attempt.

    :param position: events that the caller has, or ``None`` for an answer from the beginning.
    """
    fields = {
        "Host": f"{permit.host}:{permit.port}",
        "Content-Type": "application/json",
        headers.REQUEST_ID: run.attempt_id,
        headers.PRIORITY: permit.priority,
        headers.CONVERSATION_KEY: run.conversation_key,
    }
    if position is not None:
        fields[headers.RESUME_POSITION] = position
    return build_request("POST", CHAT_TARGET, fields, body)


def check_head(exchange, position):
    """Judge status and headers of an answer.

    :param position: as in :func:`build_chat_request`.
    :returns: ``None``, or an :class:`~sassafrashook.proxy._exchanges.ExchangeFailure`.
    """
    response = exchange.response
    status = response.status_code
    busy = find_busy(response)
    if busy is not None:
        return busy
    if status >= HTTP_SERVER_ERROR or (position is not None and status != HTTP_OK):
        detail = f"upstream answered {status}"
        return ExchangeFailure(ExchangeFailureKind.ERROR_STATUS, Verdict.MAY_HAVE_RUN, detail)
    if position is not None and response.get(headers.RESUME_POSITION) != str(position):
        return exchange.fail_foreign("the engine did not resume at the position")
    return None


def is_answer_to(body, request_id):
    """Return whether a whole completion names this request."""
    try:
        return _decode_completion_id(body).id.startswith(ID_PREFIX + request_id)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return False
