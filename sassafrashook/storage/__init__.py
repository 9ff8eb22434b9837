"""Durable storage: data folder, write-ahead log and snapshots."""

from sassafrashook.storage._errors import (
    CorruptionError,
    DiskFullError,
    FolderLockedError,
    IdentityError,
    StorageError,
)
from sassafrashook.storage._filesystem import FileSystem, LocalFileSystem
from sassafrashook.storage._folder import DataFolder
from sassafrashook.storage._snapshots import SnapshotStore
from sassafrashook.storage._wal import WriteAheadLog

__all__ = [
    "CorruptionError",
    "DataFolder",
    "DiskFullError",
    "FileSystem",
    "FolderLockedError",
    "IdentityError",
    "LocalFileSystem",
    "SnapshotStore",
    "StorageError",
    "WriteAheadLog",
]
