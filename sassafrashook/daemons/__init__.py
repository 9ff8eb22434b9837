"""The two processes of a fleet that routes by host and path: router and controller."""

from sassafrashook.daemons._controller import ControllerDaemon
from sassafrashook.daemons._process import run_daemon
from sassafrashook.daemons._router import RouterDaemon
from sassafrashook.daemons._settings import NodeSettings, RouterEndpoints

__all__ = [
    "ControllerDaemon",
    "NodeSettings",
    "RouterDaemon",
    "RouterEndpoints",
    "run_daemon",
]
