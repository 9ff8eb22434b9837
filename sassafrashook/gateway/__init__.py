"""Matches clients' requests to routes and forwards them to upstreams."""

from sassafrashook.gateway._events import EventSplitter
from sassafrashook.gateway._gateway import Gateway, RetryLimits
from sassafrashook.gateway._header_codec import (
    ForwardingMetadata,
    HeaderCodec,
    PeerForwardingMetadata,
    PromptPart,
    RequestMetadata,
    ResponseMetadata,
)
from sassafrashook.gateway._peers import make_peer_pool_key
from sassafrashook.gateway._response_memory import compute_response_memory_bytes
from sassafrashook.gateway._server import GatewayServer

__all__ = [
    "ResponseMetadata",
    "HeaderCodec",
    "EventSplitter",
    "ForwardingMetadata",
    "Gateway",
    "RetryLimits",
    "GatewayServer",
    "PeerForwardingMetadata",
    "PromptPart",
    "RequestMetadata",
    "compute_response_memory_bytes",
    "make_peer_pool_key",
]
