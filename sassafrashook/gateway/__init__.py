"""Matches clients' requests to routes and forwards them to upstreams."""

from sassafrashook.gateway._events import EventSplitter
from sassafrashook.gateway._gateway import Gateway, GatewayLimits
from sassafrashook.gateway._header_codec import (
    AnswerFacts,
    Dialect,
    Forwarding,
    PromptPart,
    RequestFacts,
)
from sassafrashook.gateway._server import GatewayServer

__all__ = [
    "AnswerFacts",
    "Dialect",
    "EventSplitter",
    "Forwarding",
    "Gateway",
    "GatewayLimits",
    "GatewayServer",
    "PromptPart",
    "RequestFacts",
]
