"""Decodes what callers and upstreams send; every decoder gives a value or a refusal."""

from dataclasses import dataclass

import msgspec
from returns.result import Failure, Success

from sassafrashook.messages import CacheEvent, LoadReport, UpstreamAnnouncement
from sassafrashook.outcomes import Refusal, RefusalReason, Verdict

__all__ = ["Chat", "decode_chat", "decode_deadline", "decode_report", "refuse_input"]

MAX_DEADLINE_MS = 86_400_000
MS_PER_S = 1_000


class ChatMessage(msgspec.Struct):
    """One message of a chat; its content stays raw JSON."""

    role: str
    content: msgspec.Raw = msgspec.Raw(b"null")


class ChatBody(msgspec.Struct):
    """What a router reads of a chat request; everything else passes through."""

    messages: msgspec.Raw
    model: str = ""
    stream: bool = False
    tools: msgspec.Raw = msgspec.Raw(b"")


@dataclass(slots=True)
class Chat:
    """A decoded chat request.

    :param body: the caller's bytes, unchanged.
    :param raw_messages: raw JSON of the messages.
    """

    body: bytes
    model: str
    stream: bool
    messages: list
    raw_messages: bytes
    tools: bytes


def _mirror(message):
    """Return a class with a message's fields that decodes from a JSON object."""
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
    message: msgspec.json.Decoder(_mirror(message)).decode
    for message in (UpstreamAnnouncement, LoadReport, CacheEvent)
}
_decode_body = msgspec.json.Decoder(ChatBody).decode
_decode_messages = msgspec.json.Decoder(list[ChatMessage]).decode


def refuse_input(detail, reason=RefusalReason.BAD_REQUEST):
    """Return the failure for input that was not understood, and therefore not run."""
    return Failure(Refusal(Verdict.NOT_RUN, reason, 0, detail))


def decode_chat(body):
    """Decode the body of a chat request.

    :returns: ``Success`` of a :class:`Chat`, or ``Failure`` of a refusal.
    """
    try:
        decoded = _decode_body(body)
        messages = _decode_messages(decoded.messages)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return refuse_input(f"body: {error}")
    if not messages:
        return refuse_input("body: messages is empty; allowed: at least one message")
    return Success(
        Chat(
            body=body,
            model=decoded.model,
            stream=decoded.stream,
            messages=messages,
            raw_messages=bytes(decoded.messages),
            tools=bytes(decoded.tools),
        )
    )


def decode_report(message, body):
    """Decode what an upstream tells of itself from a JSON object.

    :param message: the message class to decode.
    :returns: ``Success`` of an instance of it, or ``Failure`` of a refusal.
    """
    try:
        decoded = _REPORT_DECODERS[message](body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return refuse_input(f"body: {error}")
    return Success(message(**msgspec.structs.asdict(decoded)))


def decode_deadline(remaining_ms, unix_ms, clock):
    """Decode the two deadline headers.

    :param remaining_ms: text of ``X-Deadline-Ms``, or ``None``.
    :param unix_ms: text of ``X-Deadline``, or ``None``.
    :returns: ``Success`` of monotonic seconds, or of ``None`` without a header, or ``Failure``.
    """
    if remaining_ms is None and unix_ms is None:
        return Success(None)
    text = unix_ms if unix_ms is not None else remaining_ms
    if not (text.isascii() and text.isdigit() and len(text) <= 15):
        return refuse_input(f"deadline is {text[:32]!r}; allowed: whole milliseconds")
    left_ms = int(text) - (clock.unix_ms() if unix_ms is not None else 0)
    if left_ms > MAX_DEADLINE_MS:
        return refuse_input(f"deadline is {left_ms} ms away; allowed: up to {MAX_DEADLINE_MS}")
    return Success(clock.monotonic() + left_ms / MS_PER_S)
