"""The data folder, which is bound to one process and one identity."""

import os
import uuid

from sassafrashook.storage._errors import CorruptionError
from sassafrashook.storage._frames import encode_frame, read_frames

__all__ = ["DataFolder"]

IDENTITY_NAME = "identity"
BOOT_NAME = "boot"
LOCK_NAME = "lock"


class DataFolder:
    """A locked folder with an identity that is generated when the folder is created.

    A folder that was lost and created again has a new identity.

    :param file_system: a :class:`~sassafrashook.storage.FileSystem`.
    :param path: path of the folder.
    :param generate_identity: function that returns a new unique ``str``.
    :ivar identity_: identity of the folder.
    :ivar boot_number_: how many times the folder was opened, this time included.
    :raises FolderLockedError: from :meth:`open` if another process uses the folder.
    :raises CorruptionError: from :meth:`open` if the identity or boot file doesn't verify, or if
        the identity file is missing while other files exist.
    :raises StorageError: from :meth:`open` if a file operation failed.

    See also :class:`~sassafrashook.storage.WriteAheadLog`.

    >>> import tempfile
    >>> from sassafrashook.storage import LocalFileSystem
    >>> with tempfile.TemporaryDirectory() as path:
    ...     folder = DataFolder(LocalFileSystem(), path)
    ...     folder.open()
    ...     folder.close()
    ...     folder.boot_number_
    1
    """

    def __init__(self, file_system, path, generate_identity=lambda: uuid.uuid4().hex):
        self.file_system = file_system
        self.path = path
        self.generate_identity = generate_identity

    def open(self):
        """Lock the folder, read or create its identity, and count the boot."""
        self.file_system.make_folder(self.path)
        self.lock_handle_ = self.file_system.lock(os.path.join(self.path, LOCK_NAME))
        try:
            self._load_identity()
        except Exception:
            self.close()
            raise

    def close(self):
        """Release the lock."""
        self.file_system.unlock(self.lock_handle_)

    def _load_identity(self):
        self._remove_temporary_files()
        identity = self._read_payload(IDENTITY_NAME)
        if identity is None:
            self._check_no_other_files()
            identity = self.generate_identity().encode()
            self._write_payload(IDENTITY_NAME, identity)
        self.identity_ = identity.decode()
        self.boot_number_ = int(self._read_payload(BOOT_NAME) or b"0") + 1
        self._write_payload(BOOT_NAME, str(self.boot_number_).encode())

    def _remove_temporary_files(self):
        for name in self.file_system.list_names(self.path):
            if name.endswith(".tmp"):
                self.file_system.remove(os.path.join(self.path, name))

    def _check_no_other_files(self):
        other_names = [n for n in self.file_system.list_names(self.path) if n != LOCK_NAME]
        if other_names:
            path = os.path.join(self.path, IDENTITY_NAME)
            raise CorruptionError(path, 0, f"identity file is missing, but {other_names[0]} exists")

    def _read_payload(self, name):
        path = os.path.join(self.path, name)
        data = self.file_system.read(path)
        if data is None:
            return None
        frames = read_frames(path, data, allow_torn_tail=False)
        if len(frames) != 1:
            raise CorruptionError(path, len(data), "incomplete file")
        return frames[0].payload

    def _write_payload(self, name, payload):
        self.file_system.replace(os.path.join(self.path, name), encode_frame(0, payload))
