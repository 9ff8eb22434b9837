"""Message connections between controllers and routers."""

from sassafrashook.transport._codec import Codec, CodecError
from sassafrashook.transport._loop import configure_event_loop
from sassafrashook.transport._mesh import Mesh, PeerAddress
from sassafrashook.transport._outgoing import LinkPacer
from sassafrashook.transport._tls import CertificateFiles, make_client_context, make_server_context

__all__ = [
    "CertificateFiles",
    "Codec",
    "CodecError",
    "LinkPacer",
    "Mesh",
    "PeerAddress",
    "configure_event_loop",
    "make_client_context",
    "make_server_context",
]
