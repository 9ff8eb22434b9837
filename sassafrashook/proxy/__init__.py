"""HTTP server and client of a router: accepts calls and forwards them to upstreams."""

from sassafrashook.proxy._application import CallerApplication
from sassafrashook.proxy._clock import Clock, SystemClock
from sassafrashook.proxy._context import ProxyContext
from sassafrashook.proxy._server import CallerServer

__all__ = ["CallerApplication", "CallerServer", "Clock", "ProxyContext", "SystemClock"]
