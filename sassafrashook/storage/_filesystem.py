"""File system interface of the storage classes, which tests replace to lose unsynced writes."""

import fcntl
import os
from abc import ABC, abstractmethod

from sassafrashook.storage._errors import FolderLockedError, StorageError, wrap_os_error

__all__ = ["FileSystem", "LocalFileSystem"]


class FileSystem(ABC):
    """File operations that storage uses; each raises :class:`StorageError` on failure."""

    @abstractmethod
    def make_folder(self, path):
        """Create a folder unless it exists, and sync its entry in the parent folder."""

    @abstractmethod
    def list_names(self, folder):
        """Return the sorted names of the files in a folder."""

    @abstractmethod
    def read(self, path):
        """Return the whole content of a file, or ``None`` if it doesn't exist."""

    @abstractmethod
    def append(self, path, data):
        """Append bytes to a file, creating it if needed, without syncing it."""

    @abstractmethod
    def truncate(self, path, size):
        """Truncate a file to ``size`` bytes, without syncing it."""

    @abstractmethod
    def sync(self, path):
        """Sync the content of a file, so that it survives a crash."""

    @abstractmethod
    def sync_folder(self, folder):
        """Sync the entries of a folder, so that its file names survive a crash."""

    @abstractmethod
    def rename(self, source, target):
        """Rename a file, replacing the target, without syncing the folder."""

    @abstractmethod
    def remove(self, path):
        """Remove a file if it exists, without syncing the folder."""

    @abstractmethod
    def lock(self, path):
        """Acquire an exclusive lock on a file.

        :returns: a handle for :meth:`unlock`.
        :raises FolderLockedError: if another process holds the lock.
        """

    @abstractmethod
    def unlock(self, handle):
        """Release a lock."""

    def replace(self, path, data):
        """Replace a file atomically: a crash leaves either the old or the new content.

        :param path: ``folder/name``; the temporary file beside it has the suffix ``.tmp``.
        :param data: the new content, ``bytes``; synced, with its folder, when this returns.
        """
        temporary = path + ".tmp"
        self.remove(temporary)
        self.append(temporary, data)
        self.sync(temporary)
        self.rename(temporary, path)
        self.sync_folder(os.path.dirname(path))


class LocalFileSystem(FileSystem):
    """File system of the operating system."""

    def make_folder(self, path):
        """Create a folder unless it exists, and sync its parent."""
        try:
            os.makedirs(path, exist_ok=True)
        except OSError as error:
            raise wrap_os_error(path, error) from error
        self.sync_folder(os.path.dirname(os.path.abspath(path)))

    def list_names(self, folder):
        """Return the sorted names of the files in a folder."""
        try:
            return sorted(os.listdir(folder))
        except OSError as error:
            raise StorageError(folder, error.strerror) from error

    def read(self, path):
        """Return the content of a file, or ``None`` if it doesn't exist."""
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
                remaining = memoryview(data)
                while remaining:
                    remaining = remaining[file.write(remaining) :]
        except OSError as error:
            raise wrap_os_error(path, error) from error

    def truncate(self, path, size):
        """Truncate a file."""
        try:
            os.truncate(path, size)
        except OSError as error:
            raise wrap_os_error(path, error) from error

    def sync(self, path):
        """Sync a file with ``fsync``."""
        self._sync(path, os.O_RDWR)

    def sync_folder(self, folder):
        """Sync a folder with ``fsync``."""
        self._sync(folder, os.O_RDONLY | os.O_DIRECTORY)

    def _sync(self, path, flags):
        try:
            descriptor = os.open(path, flags)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
        except OSError as error:
            raise wrap_os_error(path, error) from error

    def rename(self, source, target):
        """Rename a file, replacing the target."""
        try:
            os.replace(source, target)
        except OSError as error:
            raise wrap_os_error(target, error) from error

    def remove(self, path):
        """Remove a file if it exists."""
        try:
            os.unlink(path)
        except FileNotFoundError:
            return
        except OSError as error:
            raise wrap_os_error(path, error) from error

    def lock(self, path):
        """Create a file if needed and lock it with ``flock``, without waiting."""
        try:
            descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        except OSError as error:
            raise wrap_os_error(path, error) from error
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(descriptor)
            raise FolderLockedError(path, "locked by another process") from error
        return descriptor

    def unlock(self, handle):
        """Release a lock by closing its file."""
        os.close(handle)
