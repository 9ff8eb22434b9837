"""Errors of the data folder; after any of them but a full disk the process must stop."""

import errno

__all__ = ["CorruptionError", "DiskFullError", "FolderLockedError", "IdentityError", "StorageError"]


class StorageError(Exception):
    """Reading or writing the data folder failed; nothing more may be acknowledged.

    :param path: file that the operation was about.
    :param reason: what failed.
    """

    def __init__(self, path, reason):
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class DiskFullError(StorageError):
    """There was no room for a write; nothing of it is left, and it may be tried again."""


def describe_error(path, error):
    """Return the :class:`StorageError` for an ``OSError`` of a write."""
    is_full = error.errno in (errno.ENOSPC, errno.EDQUOT)
    return (DiskFullError if is_full else StorageError)(path, error.strerror)


class CorruptionError(StorageError):
    """A file holds bytes that were once synced and no longer verify.

    :param offset: position of the first bad byte range in the file, bytes.
    """

    def __init__(self, path, offset, reason):
        super().__init__(path, f"offset {offset}: {reason}")
        self.offset = offset


class FolderLockedError(StorageError):
    """Another process uses the data folder."""


class IdentityError(StorageError):
    """A file belongs to another identity than that of its data folder."""
