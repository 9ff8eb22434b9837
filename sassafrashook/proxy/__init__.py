"""The HTTP side of a router: callers, upstreams, and the relay of streams between them."""

from sassafrashook.proxy._application import CallerApplication
from sassafrashook.proxy._clock import Clock, SystemClock
from sassafrashook.proxy._context import ProxyContext
from sassafrashook.proxy._server import CallerServer

__all__ = ["CallerApplication", "CallerServer", "Clock", "ProxyContext", "SystemClock"]
