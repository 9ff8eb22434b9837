"""Hash functions whose results are equal in all processes and across restarts."""

from hashlib import blake2b

HASH_BYTES = 8
MASK_64 = 2**64 - 1
# Odd 64-bit constants of common integer hash mixers.
FIRST_MULTIPLIER = 0x9E3779B97F4A7C15
SECOND_MULTIPLIER = 0xD6E8FEB86659FD93


def hash_key(*parts):
    """Hash a sequence of texts or byte strings to a 64-bit integer.

    :param parts: ``str`` or ``bytes`` values; each is hashed with its length, so that
        ``("ab", "c")`` and ``("a", "bc")`` differ.
    :returns: an integer from 0 to 2**64 - 1.
    """
    digest = blake2b(digest_size=HASH_BYTES)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    return int.from_bytes(digest.digest(), "big")


def rank_nodes(key, nodes):
    """Order nodes by rendezvous hashing, with the same result in every process.

    :param key: 64-bit hash of the item to be placed.
    :param nodes: node names.
    :returns: list of the names, most preferred first.
    """
    data = key.to_bytes(HASH_BYTES, "big")
    return sorted(nodes, key=lambda name: (hash_key(data, name), name), reverse=True)


def mix_hashes(first, second):
    """Combine two 64-bit hashes, many times faster than :func:`hash_key` over their inputs.

    :param first: 64-bit hash.
    :param second: 64-bit hash.
    :returns: an integer from 0 to 2**64 - 1; with one argument fixed, sorting values of the
        other by the result gives a pseudo-random order.
    """
    mixed = (first ^ second) * FIRST_MULTIPLIER & MASK_64
    mixed ^= mixed >> 32
    mixed = mixed * SECOND_MULTIPLIER & MASK_64
    return mixed ^ (mixed >> 32)
