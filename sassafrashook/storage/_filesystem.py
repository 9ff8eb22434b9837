"""File operations behind the storage classes, so that tests can lose unsynced writes."""

import fcntl
import os
from abc import ABC, abstractmethod

from sassafrashook.storage._errors import FolderLockedError, StorageError, describe_error

__all__ = ["FileSystem", "LocalFileSystem"]


class FileSystem(ABC):
    """The few file operations that storage needs; each raises :class:`StorageError`."""

    @abstractmethod
    def make_folder(self, path):
        """Create a folder, and its entry in its parent, unless it exists."""

    @abstractmethod
    def list_names(self, folder):
        """Return the sorted names of the files in a folder."""

    @abstractmethod
    def read(self, path):
        """Return the whole content of a file, or ``None`` if there is none."""

    @abstractmethod
    def append(self, path, data):
        """Append bytes to a file, creating it if needed; not yet synced."""

    @abstractmethod
    def truncate(self, path, size):
        """Cut a file to ``size`` bytes; not yet synced."""

    @abstractmethod
    def sync(self, path):
        """Make a file's content survive a crash."""

    @abstractmethod
    def sync_folder(self, folder):
        """Make the names in a folder survive a crash."""

    @abstractmethod
    def rename(self, source, target):
        """Rename a file over another one; not yet synced."""

    @abstractmethod
    def remove(self, path):
        """Remove a file; not yet synced."""

    @abstractmethod
    def lock(self, path):
        """Lock a file against every other process.

        :returns: a handle for :meth:`unlock`.
        :raises FolderLockedError: if another process holds it.
        """

    @abstractmethod
    def unlock(self, handle):
        """Release a lock."""

    def replace(self, path, data):
        """Write a whole file so that a crash leaves either the old or the new content.

        :param path: ``folder/name``; a neighbour with the suffix ``.tmp`` is used.
        """
        temporary = path + ".tmp"
        self.remove(temporary)
        self.append(temporary, data)
        self.sync(temporary)
        self.rename(temporary, path)
        self.sync_folder(os.path.dirname(path))


class LocalFileSystem(FileSystem):
    """The operating system's files."""

    def make_folder(self, path):
        """Create a folder and sync its parent."""
        try:
            os.makedirs(path, exist_ok=True)
        except OSError as error:
            raise StorageError(path, error.strerror) from error
        self.sync_folder(os.path.dirname(os.path.abspath(path)))

    def list_names(self, folder):
        """Return the sorted names of the files in a folder."""
        try:
            return sorted(os.listdir(folder))
        except OSError as error:
            raise StorageError(folder, error.strerror) from error

    def read(self, path):
        """Return the content of a file, or ``None``."""
        try:
            with open(path, "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None
        except OSError as error:
            raise StorageError(path, error.strerror) from error

    def append(self, path, data):
        """Append bytes to a file."""
        try:
            with open(path, "ab", buffering=0) as file:
                view = memoryview(data)
                while view:
                    view = view[file.write(view) :]
        except OSError as error:
            raise describe_error(path, error) from error

    def truncate(self, path, size):
        """Cut a file."""
        try:
            os.truncate(path, size)
        except OSError as error:
            raise StorageError(path, error.strerror) from error

    def sync(self, path):
        """Sync a file."""
        self._sync(path, os.O_RDWR)

    def sync_folder(self, folder):
        """Sync a folder."""
        self._sync(folder, os.O_RDONLY | os.O_DIRECTORY)

    def _sync(self, path, flags):
        try:
            descriptor = os.open(path, flags)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
        except OSError as error:
            raise describe_error(path, error) from error

    def rename(self, source, target):
        """Rename a file."""
        try:
            os.replace(source, target)
        except OSError as error:
            raise StorageError(target, error.strerror) from error

    def remove(self, path):
        """Remove a file if it exists."""
        try:
            os.unlink(path)
        except FileNotFoundError:
            return
        except OSError as error:
            raise StorageError(path, error.strerror) from error

    def lock(self, path):
        """Lock a file with ``flock``."""
        try:
            descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        except OSError as error:
            raise StorageError(path, error.strerror) from error
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(descriptor)
            raise FolderLockedError(path, "locked by another process") from error
        return descriptor

    def unlock(self, handle):
        """Release a lock."""
        os.close(handle)
