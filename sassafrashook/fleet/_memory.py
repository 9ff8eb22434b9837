"""What a controller knew of upstreams and routers, kept over a restart."""

import msgspec

from sassafrashook.registry import Registration
from sassafrashook.storage import StorageError
from sassafrashook.telemetry import log_event

__all__ = ["FleetMemory", "KnownFleet"]


class KnownFleet(msgspec.Struct, frozen=True, array_like=True):
    """Upstreams and routers that a controller knew.

    :param registrations: those of all upstreams.
    :param routers: names of all routers.
    """

    registrations: list[Registration] = []
    routers: list[str] = []


class FleetMemory:
    """Keeps a :class:`KnownFleet` in a file.

    The file is a hint: it lets requests go on before each upstream was heard again. Without it, or
    with an old one, a controller hears everything anew.

    :param store: a :class:`~sassafrashook.storage.SnapshotStore`.

    >>> import tempfile
    >>> from sassafrashook.storage import LocalFileSystem, SnapshotStore
    >>> with tempfile.TemporaryDirectory() as folder:
    ...     memory = FleetMemory(SnapshotStore(LocalFileSystem(), folder, "c1"))
    ...     memory.save(KnownFleet([], ["r1"]))
    ...     memory.load().routers
    True
    ['r1']
    """

    def __init__(self, store):
        self.store = store
        self._has_folder = False

    def load(self):
        """Return the :class:`KnownFleet` of the last :meth:`save`; an empty one without it."""
        try:
            payload = self.store.load()
            return msgspec.msgpack.decode(payload, type=KnownFleet) if payload else KnownFleet()
        except (StorageError, msgspec.MsgspecError) as error:
            log_event("memory_unreadable", level="warning", reason=error)
            return KnownFleet()

    def save(self, known):
        """Replace the file; blocks while the disk does.

        :returns: whether it was written.
        """
        try:
            if not self._has_folder:
                self.store.file_system.make_folder(self.store.folder)
                self._has_folder = True
            self.store.save(msgspec.msgpack.encode(known))
        except StorageError as error:
            log_event("memory_not_saved", level="warning", reason=error)
            return False
        return True
