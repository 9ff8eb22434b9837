"""Snapshot files, replaced atomically."""

import os

from sassafrashook.storage._errors import CorruptionError, IdentityError
from sassafrashook.storage._frames import encode_frame, read_frames

__all__ = ["SnapshotStore"]

SNAPSHOT_NAME = "snapshot.bin"


class SnapshotStore:
    """Stores the latest snapshot of a data folder.

    :param file_system: a :class:`~sassafrashook.storage.FileSystem`.
    :param folder: path of the data folder.
    :param identity: identity of the data folder, ``str``.

    :raises StorageError: if a file operation failed; unless it is a :class:`DiskFullError`, the
        process must stop.

    See also :class:`~sassafrashook.storage.WriteAheadLog`.

    >>> import tempfile
    >>> from sassafrashook.storage import LocalFileSystem
    >>> with tempfile.TemporaryDirectory() as folder:
    ...     SnapshotStore(LocalFileSystem(), folder, "a1").save(b"state")
    ...     SnapshotStore(LocalFileSystem(), folder, "a1").load()
    b'state'
    """

    def __init__(self, file_system, folder, identity):
        self.file_system = file_system
        self.folder = folder
        self.identity = identity

    def save(self, payload):
        """Replace the snapshot atomically; it is synced when this returns.

        :param payload: ``bytes``.
        """
        data = encode_frame(0, self.identity.encode()) + encode_frame(1, payload)
        self.file_system.replace(self._build_path(), data)

    def load(self):
        """Return the payload of the snapshot, or ``None`` if there is none.

        :raises CorruptionError: if the snapshot is incomplete or fails its checksums.
        :raises IdentityError: if the snapshot belongs to another identity.
        """
        path = self._build_path()
        data = self.file_system.read(path)
        if data is None:
            return None
        frames = read_frames(path, data, allow_torn_tail=False)
        if len(frames) != 2:
            raise CorruptionError(path, len(data), "incomplete snapshot")
        if frames[0].payload != self.identity.encode():
            raise IdentityError(path, f"belongs to identity {frames[0].payload!r}")
        return frames[1].payload

    def _build_path(self):
        return os.path.join(self.folder, SNAPSHOT_NAME)
