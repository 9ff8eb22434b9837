"""What a controller knew of the fleet, over a restart."""

import pytest

from sassafrashook.fleet import FleetMemory
from sassafrashook.fleet._memory import KnownFleet
from sassafrashook.registry import Registration, RegistrationState
from sassafrashook.storage import FileSystem, LocalFileSystem, SnapshotStore, StorageError

KNOWN = KnownFleet([Registration("a", 100, 1, RegistrationState.READY)], ["r1"])


class BrokenFileSystem(LocalFileSystem):
    """Refuses every write."""

    def append(self, path, data):
        raise StorageError(path, "no space left")


def make_memory(folder, file_system: FileSystem):
    return FleetMemory(SnapshotStore(file_system, str(folder / "fleet"), "c1"))


def test_the_last_save_is_loaded(tmp_path):
    memory = make_memory(tmp_path, LocalFileSystem())
    assert memory.load() == KnownFleet()
    assert memory.save(KNOWN)
    assert make_memory(tmp_path, LocalFileSystem()).load() == KNOWN


@pytest.mark.parametrize("cut", range(0, 60, 7))
def test_a_torn_file_is_as_good_as_none(tmp_path, cut):
    make_memory(tmp_path, LocalFileSystem()).save(KNOWN)
    (path,) = (tmp_path / "fleet").iterdir()
    path.write_bytes(path.read_bytes()[:cut])
    assert make_memory(tmp_path, LocalFileSystem()).load() == KnownFleet()


def test_a_full_disk_leaves_the_last_save(tmp_path):
    make_memory(tmp_path, LocalFileSystem()).save(KNOWN)
    assert not make_memory(tmp_path, BrokenFileSystem()).save(KnownFleet())
    assert make_memory(tmp_path, LocalFileSystem()).load() == KNOWN
