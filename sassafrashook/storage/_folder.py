"""The data folder: one process, one identity."""

import os
import uuid

from sassafrashook.storage._errors import CorruptionError
from sassafrashook.storage._frames import encode_frame, read_frames

__all__ = ["DataFolder"]

IDENTITY_NAME = "identity"
BOOT_NAME = "boot"
LOCK_NAME = "lock"


class DataFolder:
    """A folder that is locked, and bound to an identity drawn when it was created.

    A folder that was lost and created again has another identity.

    :param file_system: a :class:`~sassafrashook.storage.FileSystem`.
    :param path: where the folder is.
    :param make_identity: returns a new unique ``str``.

    Attributes: ``identity_`` is the identity; ``boot_`` counts the starts on this folder, from 1.

    :raises FolderLockedError: from :meth:`open` if another process uses the folder.
    :raises StorageError: from :meth:`open` if an operation failed.

    See also :class:`~sassafrashook.storage.WriteAheadLog`.

    >>> import tempfile
    >>> from sassafrashook.storage import LocalFileSystem
    >>> with tempfile.TemporaryDirectory() as path:
    ...     folder = DataFolder(LocalFileSystem(), path)
    ...     folder.open()
    ...     folder.close()
    ...     folder.boot_
    1
    """

    def __init__(self, file_system, path, make_identity=lambda: uuid.uuid4().hex):
        self.file_system = file_system
        self.path = path
        self.make_identity = make_identity

    def open(self):
        """Lock the folder, and read or create its identity."""
        self.file_system.make_folder(self.path)
        self.handle_ = self.file_system.lock(os.path.join(self.path, LOCK_NAME))
        try:
            self._load()
        except Exception:
            self.close()
            raise

    def close(self):
        """Release the lock."""
        self.file_system.unlock(self.handle_)

    def _load(self):
        self._remove_temporary_files()
        identity = self._read(IDENTITY_NAME)
        if identity is None:
            self._refuse_foreign_files()
            identity = self.make_identity().encode()
            self._write(IDENTITY_NAME, identity)
        self.identity_ = identity.decode()
        self.boot_ = int(self._read(BOOT_NAME) or b"0") + 1
        self._write(BOOT_NAME, str(self.boot_).encode())

    def _remove_temporary_files(self):
        for name in self.file_system.list_names(self.path):
            if name.endswith(".tmp"):
                self.file_system.remove(os.path.join(self.path, name))

    def _refuse_foreign_files(self):
        names = [n for n in self.file_system.list_names(self.path) if n != LOCK_NAME]
        if names:
            path = os.path.join(self.path, IDENTITY_NAME)
            raise CorruptionError(path, 0, f"identity is missing beside {names[0]}")

    def _read(self, name):
        path = os.path.join(self.path, name)
        data = self.file_system.read(path)
        if data is None:
            return None
        frames = read_frames(path, data, may_be_torn=False)
        if len(frames) != 1:
            raise CorruptionError(path, len(data), "incomplete file")
        return frames[0].payload

    def _write(self, name, payload):
        self.file_system.replace(os.path.join(self.path, name), encode_frame(0, payload))
