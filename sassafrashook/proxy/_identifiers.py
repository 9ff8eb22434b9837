"""Hashes that identify conversations and requests, and request ids.

Conversation keys and fingerprints are 64-bit hashes; the digest of a call has 128 bits.
"""

import os
from hashlib import blake2b

from sassafrashook.utils import hash_key

__all__ = [
    "digest_call",
    "fingerprint_call",
    "fingerprint_chat",
    "compute_conversation_key",
    "generate_request_id",
]

REQUEST_ID_BYTES = 8
DIGEST_BYTES = 16
USER_ROLE = "user"


def generate_request_id():
    """Return a random request id of 16 hexadecimal digits."""
    return os.urandom(REQUEST_ID_BYTES).hex()


def compute_conversation_key(account, conversation_id, messages):
    """Return the 64-bit key that is equal for all requests of one conversation.

    Without a conversation id, the messages up to and including the first user message are hashed,
    because later requests of a conversation repeat them unchanged.

    :param account: client account.
    :param conversation_id: stable id given by the caller, or empty.
    :param messages: chat messages with ``role`` and undecoded ``content``.
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
    """Return the 64-bit hash of a chat's content, which is equal for every resend.

    :param model: name of the model.
    :param messages: undecoded JSON of the messages.
    :param tools: undecoded JSON of the tools, or empty.
    """
    return hash_key(model, bytes(messages), bytes(tools))


def fingerprint_call(method, target, body):
    """Return the 64-bit hash of a plain call's content."""
    return hash_key(method, target, body)


def digest_call(method, target, body):
    """Return the 128-bit digest of a plain call as hexadecimal digits.

    Claims compare digests to detect an idempotency key that is reused for another call.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in (method.encode(), target.encode("utf-8", "surrogateescape"), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
