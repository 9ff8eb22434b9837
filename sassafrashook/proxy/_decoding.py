"""Decodes input of callers and upstreams into a value or a refusal."""

from dataclasses import dataclass

import msgspec
from returns.result import Failure, Success

from sassafrashook.messages import CacheEvent, LoadReport, UpstreamAnnouncement
from sassafrashook.outcomes import Refusal, RefusalReason, Verdict

__all__ = ["ChatRequest", "decode_chat", "decode_deadline", "decode_report", "build_input_refusal"]

MAX_DEADLINE_MS = 86_400_000
MS_PER_S = 1_000


class ChatMessage(msgspec.Struct):
    """Message of a chat with undecoded content."""

    role: str
    content: msgspec.Raw = msgspec.Raw(b"null")


class ChatBody(msgspec.Struct):
    """Fields of a chat request that a router reads; all others are forwarded unread."""

    messages: msgspec.Raw
    model: str = ""
    stream: bool = False
    tools: msgspec.Raw = msgspec.Raw(b"")


@dataclass(slots=True)
class ChatRequest:
    """A decoded chat request.

    :param body: request body as received.
    :param model: name of the model, or empty.
    :param stream: whether the caller asks for a stream of events.
    :param messages: list of :class:`ChatMessage`.
    :param raw_messages: undecoded JSON of the messages.
    :param tools: undecoded JSON of the tools, or empty.
    """

    body: bytes
    model: str
    stream: bool
    messages: list
    raw_messages: bytes
    tools: bytes


def _build_json_struct(message):
    """Return a structure with the fields of a message class that is decoded from a JSON object.

    The message classes themselves are encoded as arrays.
    """
    fields = []
    for field in msgspec.structs.fields(message):
        if field.required:
            fields.append((field.name, field.type))
        elif field.default_factory is not msgspec.NODEFAULT:
            default = msgspec.field(default_factory=field.default_factory)
            fields.append((field.name, field.type, default))
        else:
            fields.append((field.name, field.type, field.default))
    return msgspec.defstruct(message.__name__, fields, forbid_unknown_fields=True)


_REPORT_DECODERS = {
    message: msgspec.json.Decoder(_build_json_struct(message)).decode
    for message in (UpstreamAnnouncement, LoadReport, CacheEvent)
}
_decode_body = msgspec.json.Decoder(ChatBody).decode
_decode_messages = msgspec.json.Decoder(list[ChatMessage]).decode


def build_input_refusal(detail, reason=RefusalReason.BAD_REQUEST):
    """Return the ``Failure`` of invalid input, with verdict ``not_run``.

    :param detail: error message for the sender.
    :param reason: a :class:`~sassafrashook.outcomes.RefusalReason`.
    """
    return Failure(Refusal(Verdict.NOT_RUN, reason, 0, detail))


def decode_chat(body):
    """Decode the body of a chat request.

    :param body: request body, ``bytes``.
    :returns: ``Success`` of a :class:`ChatRequest`, or ``Failure`` of a refusal.
    """
    try:
        decoded = _decode_body(body)
        messages = _decode_messages(decoded.messages)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return build_input_refusal(f"body: {error}")
    if not messages:
        return build_input_refusal("body: messages is empty; at least one message is required")
    return Success(
        ChatRequest(
            body=body,
            model=decoded.model,
            stream=decoded.stream,
            messages=messages,
            raw_messages=bytes(decoded.messages),
            tools=bytes(decoded.tools),
        )
    )


def decode_report(message, body):
    """Decode a report of an upstream from a JSON object.

    A report that can't be sent to other nodes is refused, such as one with a number of more than 64
    bits.

    :param message: message class to decode.
    :param body: request body, ``bytes``.
    :returns: ``Success`` of a ``message`` instance, or ``Failure`` of a refusal.
    """
    try:
        decoded = _REPORT_DECODERS[message](body)
        msgspec.msgpack.encode(decoded)
    except (msgspec.MsgspecError, UnicodeError, OverflowError, RecursionError) as error:
        return build_input_refusal(f"body: {error}")
    return Success(message(**msgspec.structs.asdict(decoded)))


def decode_deadline(remaining_text, unix_text, clock):
    """Decode the deadline headers; ``X-Deadline`` takes precedence.

    :param remaining_text: value of ``X-Deadline-Ms``, remaining milliseconds, or ``None``.
    :param unix_text: value of ``X-Deadline``, milliseconds since the Unix epoch, or ``None``.
    :param clock: a :class:`~sassafrashook.proxy.Clock`.
    :returns: ``Success`` of the deadline in monotonic seconds, ``Success(None)`` without a header,
        or ``Failure`` of a refusal.
    """
    if remaining_text is None and unix_text is None:
        return Success(None)
    text = unix_text if unix_text is not None else remaining_text
    if not (text.isascii() and text.isdigit() and len(text) <= 15):
        return build_input_refusal(f"deadline {text[:32]!r} is not a whole number of milliseconds")
    remaining_ms = int(text) - (clock.unix_ms() if unix_text is not None else 0)
    if remaining_ms > MAX_DEADLINE_MS:
        return build_input_refusal(
            f"deadline is {remaining_ms} ms ahead; the maximum is {MAX_DEADLINE_MS} ms"
        )
    return Success(clock.monotonic() + remaining_ms / MS_PER_S)
