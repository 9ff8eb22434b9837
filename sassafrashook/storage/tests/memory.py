"""A file system in memory that loses what was not synced when it crashes."""

import os

from sassafrashook.storage import FileSystem, FolderLockedError, StorageError


class CrashError(Exception):
    """The process dies inside a file operation."""


class _File:
    __slots__ = ("data", "synced")

    def __init__(self):
        self.data = b""
        self.synced = b""


class MemoryFileSystem(FileSystem):
    """Keeps content and names twice: as seen, and as synced.

    :param ignored_syncs: parts of paths whose syncs do nothing, to see the proofs fail.
    """

    def __init__(self, ignored_syncs=()):
        self.ignored_syncs = ignored_syncs
        self.names = {}
        self.synced_names = {}
        self.locked = set()
        self.failing = ""
        self.operations_left = None

    def _step(self, operation, path):
        if self.operations_left is not None:
            self.operations_left -= 1
            if self.operations_left < 0:
                raise CrashError
        if self.failing == operation:
            raise StorageError(path, "No space left on device")

    def make_folder(self, path):
        pass

    def list_names(self, folder):
        return sorted(os.path.basename(p) for p in self.names if os.path.dirname(p) == folder)

    def read(self, path):
        file = self.names.get(path)
        return None if file is None else file.data

    def append(self, path, data):
        self._step("append", path)
        self.names.setdefault(path, _File()).data += bytes(data)

    def truncate(self, path, size):
        self._step("truncate", path)
        self.names[path].data = self.names[path].data[:size]

    def sync(self, path):
        self._step("sync", path)
        if not any(part in path for part in self.ignored_syncs):
            self.names[path].synced = self.names[path].data

    def sync_folder(self, folder):
        self._step("sync_folder", folder)
        if "folder" not in self.ignored_syncs:
            self.synced_names = dict(self.names)

    def rename(self, source, target):
        self._step("rename", target)
        self.names[target] = self.names.pop(source)

    def remove(self, path):
        self._step("remove", path)
        self.names.pop(path, None)

    def lock(self, path):
        if path in self.locked:
            raise FolderLockedError(path, "locked by another process")
        self.locked.add(path)
        return path

    def unlock(self, handle):
        self.locked.discard(handle)

    def kill(self):
        """End the process only; what was not synced is still seen, and may yet be lost."""
        self.operations_left = None
        self.locked.clear()

    def crash(self, rng):
        """Lose an arbitrary part of what was not synced."""
        self.kill()
        if rng.random() < 0.5:
            self.names = dict(self.synced_names)
        for file in dict.fromkeys(self.names.values()):
            file.data = self._keep_some(file, rng)
            file.synced = file.data
        self.synced_names = dict(self.names)

    def _keep_some(self, file, rng):
        if not file.data.startswith(file.synced):
            return rng.choice((file.synced, file.data))
        tail = file.data[len(file.synced) :]
        kept = tail[: rng.randint(0, len(tail))]
        if kept and rng.random() < 0.3:
            position = rng.randrange(len(kept))
            kept = kept[:position] + bytes(len(kept) - position)
        return file.synced + kept
