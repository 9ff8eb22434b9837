"""Traits by which a request can be recognised as one that crashes upstreams."""

from sassafrashook.utils import hash_key

PART = "part"
CONTENT = "content"


def compute_traits(parts, *content):
    """Return the traits of a request.

    The last part of a prompt is left out, because no other request shares it.

    :param parts: identifiers of the prompt parts, in order.
    :param content: what identifies the whole request beside its prompt parts, as ``str`` or
        ``bytes``: the client account, host, target and body.
    :returns: tuple of 64-bit hashes, the most specific last.

    >>> first = compute_traits(("a", "b", "c"), "account", "/1", b"x")
    >>> second = compute_traits(("a", "b", "d"), "account", "/1", b"y")
    >>> len(first), first[:2] == second[:2], first[2] == second[2]
    (3, True, False)
    """
    shared = (hash_key(PART, part_id) for part_id in parts[:-1])
    return (*shared, hash_key(CONTENT, *parts, *content))


def format_trait(trait):
    """Return a trait as it is written in log lines, 16 hexadecimal digits."""
    return f"{trait:016x}"
