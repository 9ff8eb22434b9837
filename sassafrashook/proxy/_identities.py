"""What a request is known by: conversation key, fingerprint, digest, request id."""

import os
from hashlib import blake2b

from sassafrashook.utils import hash_key

__all__ = [
    "digest_call",
    "fingerprint_call",
    "fingerprint_chat",
    "key_conversation",
    "make_request_id",
]

REQUEST_ID_BYTES = 8
DIGEST_BYTES = 16
USER_ROLE = "user"


def make_request_id():
    """Return a new request id, 16 hexadecimal digits."""
    return os.urandom(REQUEST_ID_BYTES).hex()


def key_conversation(account, conversation_id, messages):
    """Return the 64-bit key that is the same for every return of a chat.

    :param conversation_id: the caller's stable id, or empty.
    :param messages: the chat's messages with ``role`` and raw ``content``; without an id, those
        up to the first of the user are hashed.
    """
    if conversation_id:
        return hash_key(account, "id", conversation_id)
    parts = []
    for message in messages:
        parts.append(message.role)
        parts.append(bytes(message.content))
        if message.role == USER_ROLE:
            break
    return hash_key(account, "messages", *parts)


def fingerprint_chat(model, messages, tools):
    """Return the 64-bit number of a chat's content, the same for every resend.

    :param messages: raw JSON of the messages.
    :param tools: raw JSON of the tools, or empty.
    """
    return hash_key(model, bytes(messages), bytes(tools))


def fingerprint_call(method, target, body):
    """Return the 64-bit number of a plain call's content."""
    return hash_key(method, target, body)


def digest_call(method, target, body):
    """Return the digest of a plain call, hexadecimal."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in (method.encode(), target.encode("utf-8", "surrogateescape"), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
