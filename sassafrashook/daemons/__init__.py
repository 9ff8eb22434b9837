"""Processes of a fleet that routes by host and path: the router and the controller.

The daemon classes are imported on first access, so that a process loads only the libraries of its
own role.
"""

from sassafrashook.daemons._clients import make_client_budget
from sassafrashook.daemons._endpoints import serve_application, serve_metrics
from sassafrashook.daemons._lifecycle import (
    EXIT_USAGE,
    StartupError,
    run_until_signal,
    run_with_logging,
)
from sassafrashook.daemons._process import run_daemon
from sassafrashook.daemons._settings import NodeSettings, RouterAddresses
from sassafrashook.utils import make_lazy_getattr

__all__ = [
    "EXIT_USAGE",
    "ControllerDaemon",
    "NodeSettings",
    "StartupError",
    "RouterDaemon",
    "RouterAddresses",
    "make_client_budget",
    "run_daemon",
    "run_with_logging",
    "run_until_signal",
    "serve_application",
    "serve_metrics",
]

__getattr__ = make_lazy_getattr(
    __name__, {"_controller": ("ControllerDaemon",), "_router": ("RouterDaemon",)}
)
