"""Scripted upstreams that crash with requests of one prompt part, and requests to them."""

import itertools

from sassafrashook.platform.tests.scripted_upstreams import (
    encode_response,
    find_header,
    make_stream_script,
)

SHARED_PARTS = ("a:10", "b:20")
POISON_PART = "d:5"
REQUEST_NUMBERS = itertools.count()


def crash_on_poison_part(upstream, sock, head, body):
    """Script that begins a response, then stops accepting connections and closes its own."""
    if POISON_PART not in (find_header(head, "X-Sassafrashook-Prefix-Hash") or "").split(","):
        return make_stream_script()(upstream, sock, head, body)
    sock.sendall(encode_response(head, b"....")[:-2])
    upstream.stop()
    return False


def make_prompt_field(*middle_parts):
    """Return the header of a prompt whose last part no other prompt has."""
    parts = (*SHARED_PARTS, *middle_parts, f"own{next(REQUEST_NUMBERS)}:7")
    return "X-Sassafrashook-Prefix-Hash: " + ",".join(parts)
