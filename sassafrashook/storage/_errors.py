"""Errors of the data folder; after any of them the process must stop."""

__all__ = ["CorruptionError", "FolderLockedError", "IdentityError", "StorageError"]


class StorageError(Exception):
    """Reading or writing the data folder failed; nothing more may be acknowledged.

    :param path: file that the operation was about.
    :param reason: what failed.
    """

    def __init__(self, path, reason):
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


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
