"""Message connections between controllers and routers."""

from sassafrashook.transport._codec import Codec, CodecError
from sassafrashook.transport._loop import configure_event_loop
from sassafrashook.transport._mesh import Mesh, PeerAddress
from sassafrashook.transport._outgoing import LARGE_LINK_SHARE, LinkPacer
from sassafrashook.transport._tls import CertificateFiles, make_client_context, make_server_context

__all__ = [
    "LARGE_LINK_SHARE",
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
