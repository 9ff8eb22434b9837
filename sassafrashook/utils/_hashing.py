"""Hashes that are the same in every process and after every restart."""

from hashlib import blake2b

HASH_BYTES = 8
MASK_64 = 2**64 - 1
FIRST_MULTIPLIER = 0x9E3779B97F4A7C15  # odd 64-bit constants of common integer mixers
SECOND_MULTIPLIER = 0xD6E8FEB86659FD93


def hash_key(*parts):
    """Hash text or bytes to a 64-bit number.

    :param parts: ``str`` or ``bytes`` values; their boundaries count.
    :returns: an integer from 0 to 2**64 - 1.
    """
    digest = blake2b(digest_size=HASH_BYTES)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    return int.from_bytes(digest.digest(), "big")


def rank_nodes(key, nodes):
    """Order nodes by rendezvous hashing: the same order wherever it is computed.

    :param key: 64-bit number of what is placed.
    :param nodes: node names.
    :returns: the names, most preferred first.
    """
    data = key.to_bytes(HASH_BYTES, "big")
    return sorted(nodes, key=lambda name: (hash_key(data, name), name), reverse=True)


def mix_hashes(first, second):
    """Combine two 64-bit hashes, many times faster than hashing their sources together.

    :returns: an integer from 0 to 2**64 - 1; with one hash fixed, it orders the others at random.
    """
    mixed = (first ^ second) * FIRST_MULTIPLIER & MASK_64
    mixed ^= mixed >> 32
    mixed = mixed * SECOND_MULTIPLIER & MASK_64
    return mixed ^ (mixed >> 32)
