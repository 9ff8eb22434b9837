"""Streams of typed messages between the system's own processes."""

from sassafrashook.transport._codec import Codec, CodecError
from sassafrashook.transport._loop import configure_loop
from sassafrashook.transport._mesh import Mesh, PeerAddress
from sassafrashook.transport._tls import Certificates, make_client_context, make_server_context

__all__ = [
    "Certificates",
    "Codec",
    "CodecError",
    "Mesh",
    "PeerAddress",
    "configure_loop",
    "make_client_context",
    "make_server_context",
]
