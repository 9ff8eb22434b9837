"""What one router knows of its own network paths to upstreams and to other routers."""

from sassafrashook.paths._monitor import PathMonitor
from sassafrashook.paths._path import Path
from sassafrashook.paths._peers import MAX_PEERS_PER_REQUEST, PeerSelector

__all__ = ["MAX_PEERS_PER_REQUEST", "Path", "PathMonitor", "PeerSelector"]
