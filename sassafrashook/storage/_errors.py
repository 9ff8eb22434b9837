"""Storage errors; after any of them except :class:`DiskFullError` the process must stop."""

import errno

__all__ = ["CorruptionError", "DiskFullError", "FolderLockedError", "IdentityError", "StorageError"]


class StorageError(Exception):
    """A file operation failed; the process must not acknowledge any further write.

    Only after a :class:`DiskFullError` may the write be retried.

    :param path: file or folder of the failed operation.
    :param reason: why the operation failed.
    """

    def __init__(self, path, reason):
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class DiskFullError(StorageError):
    """The disk or quota is full; what the failed write left is removed before a retry."""


def wrap_os_error(path, error):
    """Return the :class:`StorageError` that stands for an ``OSError`` of a write.

    :returns: a :class:`DiskFullError` if the disk or quota is full.
    """
    is_disk_full = error.errno in (errno.ENOSPC, errno.EDQUOT)
    return (DiskFullError if is_disk_full else StorageError)(path, error.strerror)


class CorruptionError(StorageError):
    """Bytes of a file that had been synced no longer match their checksum, or are missing.

    :param offset: position in the file at which verification failed, bytes.
    """

    def __init__(self, path, offset, reason):
        super().__init__(path, f"offset {offset}: {reason}")
        self.offset = offset


class FolderLockedError(StorageError):
    """Another process holds the lock of the data folder."""


class IdentityError(StorageError):
    """A file was written for an identity other than that of its data folder."""
