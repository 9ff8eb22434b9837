"""Tests of the fleet cache: restarts, truncated files and full disks."""

import pytest

from sassafrashook.fleet import FleetCache
from sassafrashook.fleet._cache import CachedFleet
from sassafrashook.registry import Registration, RegistrationState
from sassafrashook.storage import FileSystem, LocalFileSystem, SnapshotStore, StorageError

FLEET = CachedFleet([Registration("a", 100, 1, RegistrationState.READY)], ["r1"])


class FullFileSystem(LocalFileSystem):
    """Fails every append as a full disk does."""

    def append(self, path, data):
        raise StorageError(path, "no space left")


def make_cache(folder, file_system: FileSystem):
    return FleetCache(SnapshotStore(file_system, str(folder / "fleet"), "c1"))


def test_load_returns_last_saved_fleet(tmp_path):
    cache = make_cache(tmp_path, LocalFileSystem())
    assert cache.load() == CachedFleet()
    assert cache.save(FLEET)
    assert make_cache(tmp_path, LocalFileSystem()).load() == FLEET


@pytest.mark.parametrize("length", range(0, 60, 7))
def test_load_of_truncated_file_returns_empty_fleet(tmp_path, length):
    make_cache(tmp_path, LocalFileSystem()).save(FLEET)
    (path,) = (tmp_path / "fleet").iterdir()
    path.write_bytes(path.read_bytes()[:length])
    assert make_cache(tmp_path, LocalFileSystem()).load() == CachedFleet()


def test_failed_save_keeps_previous_file(tmp_path):
    make_cache(tmp_path, LocalFileSystem()).save(FLEET)
    assert not make_cache(tmp_path, FullFileSystem()).save(CachedFleet())
    assert make_cache(tmp_path, LocalFileSystem()).load() == FLEET
