"""Starts a process on the platform: ``python3 -m sassafrashook.platform router|controller``.

The other modules are imported once the role is known, while the garbage collector is off: a process
that starts creates many objects and next to no garbage, and the collections took a sixth of the
processor time of a router's imports.
"""

import functools
import gc
import json
import os
import signal
import socket
import sys

from sassafrashook.clients import open_listener

SETTINGS_PATH_VARIABLE = "SASSAFRASHOOK_NODE_FILE"
DEFAULT_SETTINGS_PATH = "/etc/sassafrashook/node.json"
READINESS_PATH = "/readyz"
LISTEN_BACKLOG = 1_024


def make_router(settings, listener=None):
    """Return the router daemon of a node, importing only what it needs.

    :param settings: a :class:`~sassafrashook.daemons.NodeSettings`.
    :param listener: listening socket for clients, ``None`` to open one.
    """
    from sassafrashook.daemons import RouterDaemon
    from sassafrashook.platform._header_codec import PlatformHeaderCodec

    return RouterDaemon(settings, PlatformHeaderCodec(), READINESS_PATH, listener)


def make_controller(settings):
    """Return the controller daemon of a node, importing only what it needs.

    :param settings: a :class:`~sassafrashook.daemons.NodeSettings`.
    """
    from sassafrashook.daemons import ControllerDaemon
    from sassafrashook.platform._control import make_control_application

    return ControllerDaemon(settings, make_control_application)


DAEMON_FACTORIES = {"router": make_router, "controller": make_controller}


def open_client_listener(path):
    """Listen for clients before the libraries are loaded.

    Loading them takes up to a second on a slow host. Clients that connect meanwhile wait for the
    router instead of being refused, which costs many their last attempt after all hosts have lost
    power.

    :param path: path of the settings file.
    :returns: the socket, ``None`` if the settings name no such address or it can't be used; the
        daemon then reports the error.
    """
    try:
        with open(path, encoding="utf-8") as file:
            settings = json.load(file)
        address = settings["listen_addresses"].get("frontend")
        if address is None:
            return None
        host, _, port = address.rpartition(":")
        limits = settings.get("limits") or {}
        if limits.get("memory_mb") or limits.get("client_memory_mb"):
            return open_listener((host, int(port)), LISTEN_BACKLOG)
        return socket.create_server((host, int(port)), backlog=LISTEN_BACKLOG)
    except (OSError, ValueError, LookupError, TypeError, AttributeError, OverflowError):
        return None


def run_role(role, path=None):
    """Run the daemon of a role until it stops.

    :param role: ``router`` or ``controller``.
    :param path: path of the settings file; ``None`` to use the environment variable
        ``SASSAFRASHOOK_NODE_FILE`` or else the platform's path.
    :returns: the exit code.
    """
    gc.disable()
    path = path or os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH)
    make_daemon = DAEMON_FACTORIES[role]
    if make_daemon is make_router:
        make_daemon = functools.partial(make_router, listener=open_client_listener(path))
    from sassafrashook.daemons import run_daemon
    from sassafrashook.platform._settings import load_node_settings

    return run_daemon(path, load_node_settings, make_daemon, on_started=_enable_collector)


def _enable_collector():
    """Turn the garbage collector on, without the objects that live as long as the process."""
    gc.freeze()
    gc.enable()


def main(arguments):
    """Run the role given on the command line.

    :param arguments: command line arguments without the program name.
    :returns: the exit code.
    """
    # Until the daemon handles it, the signal would end the process. The daemon loads the settings
    # after that, so that it misses no change.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if len(arguments) != 1 or arguments[0] not in DAEMON_FACTORIES:
        from sassafrashook.daemons import EXIT_USAGE

        sys.stderr.write(f"usage: python3 -m sassafrashook.platform {'|'.join(DAEMON_FACTORIES)}\n")
        return EXIT_USAGE
    return run_role(arguments[0])


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
