"""Processes of a fleet that routes by host and path: the router and the controller.

The daemon classes are imported on first access, so that a process loads only the libraries of its
own role.
"""

from importlib import import_module

from sassafrashook.daemons._endpoints import serve_application, serve_metrics
from sassafrashook.daemons._lifecycle import (
    EXIT_USAGE,
    StartupError,
    run_until_signal,
    run_with_logging,
)
from sassafrashook.daemons._process import run_daemon
from sassafrashook.daemons._settings import NodeSettings, RouterAddresses

__all__ = [
    "EXIT_USAGE",
    "ControllerDaemon",
    "NodeSettings",
    "StartupError",
    "RouterDaemon",
    "RouterAddresses",
    "run_daemon",
    "run_with_logging",
    "run_until_signal",
    "serve_application",
    "serve_metrics",
]

_MODULES = {
    "ControllerDaemon": "sassafrashook.daemons._controller",
    "RouterDaemon": "sassafrashook.daemons._router",
}


def __getattr__(name):
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(_MODULES[name]), name)
