"""Persistent cache of a controller's upstreams and routers, read after a restart."""

import msgspec

from sassafrashook.quarantine import CrashRecord
from sassafrashook.registry import Registration
from sassafrashook.storage import StorageError
from sassafrashook.telemetry import log_event

__all__ = ["CachedFleet", "FleetCache"]


class CachedFleet(msgspec.Struct, frozen=True, array_like=True):
    """Upstreams, routers and upstream crashes known to a controller.

    :param registrations: registrations of all upstreams.
    :param routers: names of all routers.
    :param crashes: records of upstream crashes.
    :param software_versions: pairs of a service and a software version that its upstreams ran.
    """

    registrations: list[Registration] = []
    routers: list[str] = []
    crashes: list[CrashRecord] = []
    software_versions: list[tuple[str, str]] = []


class FleetCache:
    """Stores a :class:`CachedFleet` in a file.

    The cache lets a restarted controller serve requests before every upstream has sent a heartbeat.
    It may be missing or outdated: the controller then learns the fleet from new heartbeats.

    :param store: a :class:`~sassafrashook.storage.SnapshotStore`.

    >>> import tempfile
    >>> from sassafrashook.storage import LocalFileSystem, SnapshotStore
    >>> with tempfile.TemporaryDirectory() as folder:
    ...     cache = FleetCache(SnapshotStore(LocalFileSystem(), folder, "c1"))
    ...     cache.save(CachedFleet([], ["r1"]))
    ...     cache.load().routers
    True
    ['r1']
    """

    def __init__(self, store):
        self.store = store
        self._has_folder = False

    def load(self):
        """Return the :class:`CachedFleet` last saved; an empty one if none is readable."""
        try:
            payload = self.store.load()
            return msgspec.msgpack.decode(payload, type=CachedFleet) if payload else CachedFleet()
        except (StorageError, msgspec.MsgspecError) as error:
            log_event("fleet_cache_unreadable", level="warning", reason=error)
            return CachedFleet()

    def save(self, fleet):
        """Replace the file; blocks during disk writes.

        :param fleet: a :class:`CachedFleet`.
        :returns: whether it was written.
        """
        try:
            if not self._has_folder:
                self.store.file_system.make_folder(self.store.folder)
                self._has_folder = True
            self.store.save(msgspec.msgpack.encode(fleet))
        except StorageError as error:
            log_event("fleet_cache_not_saved", level="warning", reason=error)
            return False
        return True
