"""Tests of crash recovery, corruption, missing syncs, failed writes, locks and identities."""

import random

import pytest

from sassafrashook.storage import (
    CorruptionError,
    DataFolder,
    FolderLockedError,
    IdentityError,
    LocalFileSystem,
    SnapshotStore,
    StorageError,
    WriteAheadLog,
)
from sassafrashook.storage.tests.memory import CrashError, MemoryFileSystem

FOLDER = "/data"
SEGMENT = "/data/wal-0000000000000001.log"


def open_log(file_system, identity="a", **parameters):
    log = WriteAheadLog(file_system, FOLDER, identity, **parameters)
    return log, log.open()


def write_records(file_system, count, **parameters):
    log, _ = open_log(file_system, **parameters)
    for number in range(count):
        log.write(b"record %d" % number)
    return log


def test_torn_tail_is_truncated_at_any_length():
    file_system = MemoryFileSystem()
    write_records(file_system, 3)
    intact = file_system.current_files[SEGMENT].data
    last = len(intact) - len(b"record 2") - 20
    for size in range(last, len(intact)):
        file_system.current_files[SEGMENT].data = intact[:size]
        log, records = open_log(file_system)
        assert records == [b"record 0", b"record 1"]
        log.write(b"again")
        assert open_log(file_system)[1][2:] == [b"again"]


def test_corrupt_byte_before_tail_raises_with_path_and_offset():
    file_system = MemoryFileSystem()
    write_records(file_system, 3)
    intact = file_system.current_files[SEGMENT].data
    last = len(intact) - len(b"record 2") - 20
    for position in range(last):
        corrupted = bytearray(intact)
        corrupted[position] ^= 0x40
        file_system.current_files[SEGMENT].data = bytes(corrupted)
        with pytest.raises(CorruptionError) as caught:
            open_log(file_system)
        assert caught.value.path == SEGMENT
        assert caught.value.offset <= position


def test_corrupt_or_missing_earlier_segment_raises():
    file_system = MemoryFileSystem()
    log = write_records(file_system, 200, segment_bytes=1024)
    assert log.segment_number_ > 2
    second = sorted(p for p in file_system.current_files if "wal-" in p)[1]
    intact = file_system.current_files[second].data
    file_system.current_files[second].data = intact[:-1]
    with pytest.raises(CorruptionError):
        open_log(file_system)
    del file_system.current_files[second]
    with pytest.raises(CorruptionError):
        open_log(file_system)


def test_checkpoint_replaces_earlier_records():
    file_system = MemoryFileSystem()
    log = write_records(file_system, 200, segment_bytes=1024)
    log.checkpoint(b"base")
    log.write(b"after")
    assert open_log(file_system)[1] == [b"base", b"after"]
    assert len([p for p in file_system.current_files if "wal-" in p]) == 1


@pytest.mark.parametrize("seed", range(200))
def test_acknowledged_records_survive_crash_in_any_operation(seed):
    assert survives_crashes(MemoryFileSystem(), seed)


@pytest.mark.parametrize("ignored", ["wal", "folder"])
def test_crash_runs_detect_missing_sync(ignored):
    assert not all(survives_crashes(MemoryFileSystem((ignored,)), seed) for seed in range(200))


def test_crash_runs_detect_missing_sync_on_open(monkeypatch):
    original_open = WriteAheadLog.open

    def open_without_sync(log):
        log.file_system.ignored_syncs = ("wal",)
        records = original_open(log)
        log.file_system.ignored_syncs = ()
        return records

    monkeypatch.setattr(WriteAheadLog, "open", open_without_sync)
    assert not all(survives_crashes(MemoryFileSystem(), seed) for seed in range(200))


def survives_crashes(file_system, seed):
    """Write and crash 8 times, and return whether each recovery found all acknowledged records.

    A record whose write was interrupted may be found or not.
    """
    rng = random.Random(seed)
    acknowledged = []
    unacknowledged = []
    for _ in range(8):
        try:
            log, records = open_log(file_system, segment_bytes=1024)
            if records != acknowledged and records not in unacknowledged:
                return False
            acknowledged = records
            file_system.operations_until_crash = rng.choice((0, 1, rng.randint(2, 60)))
            while True:
                record = rng.randbytes(rng.randint(0, 400))
                is_checkpoint = rng.random() < 0.1
                after = [record] if is_checkpoint else [*acknowledged, record]
                unacknowledged = [after]
                (log.checkpoint if is_checkpoint else log.write)(record)
                acknowledged = after
        except StorageError:
            return False
        except CrashError:
            (file_system.kill if rng.random() < 0.3 else lambda: file_system.crash(rng))()
    return True


@pytest.mark.parametrize("operation", ["append", "sync", "sync_folder", "rename"])
def test_failed_write_stops_log_permanently(operation):
    file_system = MemoryFileSystem()
    log, _ = open_log(file_system)
    file_system.failing_operation = operation
    with pytest.raises(StorageError):
        log.write(b"lost")
    file_system.failing_operation = ""
    with pytest.raises(StorageError):
        log.write(b"refused")


def test_snapshot_is_replaced_atomically():
    for seed in range(100):
        rng = random.Random(seed)
        file_system = MemoryFileSystem()
        store = SnapshotStore(file_system, FOLDER, "a")
        store.save(b"old" * 100)
        file_system.operations_until_crash = rng.randint(0, 5)
        try:
            store.save(b"new" * 100)
            expected = {b"new" * 100}
        except CrashError:
            expected = {b"old" * 100, b"new" * 100}
        file_system.crash(rng)
        assert store.load() in expected


def test_corrupt_snapshot_raises():
    file_system = MemoryFileSystem()
    store = SnapshotStore(file_system, FOLDER, "a")
    store.save(b"state")
    (path,) = file_system.current_files
    for position in range(len(file_system.current_files[path].data)):
        corrupted = bytearray(file_system.current_files[path].data)
        corrupted[position] ^= 1
        file_system.current_files[path].data = bytes(corrupted)
        with pytest.raises(CorruptionError):
            store.load()
        corrupted[position] ^= 1
        file_system.current_files[path].data = bytes(corrupted)


def test_files_of_another_identity_raise():
    file_system = MemoryFileSystem()
    write_records(file_system, 1)
    SnapshotStore(file_system, FOLDER, "a").save(b"state")
    with pytest.raises(IdentityError):
        open_log(file_system, identity="b")
    with pytest.raises(IdentityError):
        SnapshotStore(file_system, FOLDER, "b").load()


def test_folder_is_locked_and_keeps_identity(tmp_path):
    first = DataFolder(LocalFileSystem(), str(tmp_path))
    first.open()
    with pytest.raises(FolderLockedError):
        DataFolder(LocalFileSystem(), str(tmp_path)).open()
    first.close()
    second = DataFolder(LocalFileSystem(), str(tmp_path))
    second.open()
    second.close()
    assert (second.identity_, second.boot_number_) == (first.identity_, 2)


def test_missing_identity_file_raises(tmp_path):
    folder = DataFolder(LocalFileSystem(), str(tmp_path))
    folder.open()
    folder.close()
    (tmp_path / "identity").unlink()
    with pytest.raises(CorruptionError):
        folder.open()
