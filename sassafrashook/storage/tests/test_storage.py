"""Torn tails, corrupt middles, lost syncs, full disks, locks and identities."""

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


def open_log(files, identity="a", **parameters):
    log = WriteAheadLog(files, FOLDER, identity, **parameters)
    return log, log.open()


def write_records(files, count, **parameters):
    log, _ = open_log(files, **parameters)
    for number in range(count):
        log.write(b"record %d" % number)
    return log


def test_every_torn_tail_is_cut():
    files = MemoryFileSystem()
    write_records(files, 3)
    whole = files.names[SEGMENT].data
    last = len(whole) - len(b"record 2") - 20
    for size in range(last, len(whole)):
        files.names[SEGMENT].data = whole[:size]
        log, records = open_log(files)
        assert records == [b"record 0", b"record 1"]
        log.write(b"again")
        assert open_log(files)[1][2:] == [b"again"]


def test_every_corrupt_byte_of_the_middle_is_refused_with_file_and_offset():
    files = MemoryFileSystem()
    write_records(files, 3)
    whole = files.names[SEGMENT].data
    last = len(whole) - len(b"record 2") - 20
    for position in range(last):
        bad = bytearray(whole)
        bad[position] ^= 0x40
        files.names[SEGMENT].data = bytes(bad)
        with pytest.raises(CorruptionError) as caught:
            open_log(files)
        assert caught.value.path == SEGMENT
        assert caught.value.offset <= position


def test_corrupt_or_missing_earlier_segment_is_refused():
    files = MemoryFileSystem()
    log = write_records(files, 200, segment_bytes=1024)
    assert log.number_ > 2
    second = sorted(p for p in files.names if "wal-" in p)[1]
    whole = files.names[second].data
    files.names[second].data = whole[:-1]
    with pytest.raises(CorruptionError):
        open_log(files)
    del files.names[second]
    with pytest.raises(CorruptionError):
        open_log(files)


def test_checkpoint_replaces_everything_before():
    files = MemoryFileSystem()
    log = write_records(files, 200, segment_bytes=1024)
    log.checkpoint(b"base")
    log.write(b"after")
    assert open_log(files)[1] == [b"base", b"after"]
    assert len([p for p in files.names if "wal-" in p]) == 1


@pytest.mark.parametrize("seed", range(200))
def test_acknowledged_records_survive_a_crash_anywhere(seed):
    assert run_crashes(MemoryFileSystem(), seed)


@pytest.mark.parametrize("ignored", ["wal", "folder"])
def test_missing_sync_is_caught(ignored):
    assert not all(run_crashes(MemoryFileSystem((ignored,)), seed) for seed in range(200))


def test_missing_sync_of_what_a_killed_process_left_is_caught(monkeypatch):
    synced_open = WriteAheadLog.open

    def open_without_sync(log):
        log.file_system.ignored_syncs = ("wal",)
        records = synced_open(log)
        log.file_system.ignored_syncs = ()
        return records

    monkeypatch.setattr(WriteAheadLog, "open", open_without_sync)
    assert not all(run_crashes(MemoryFileSystem(), seed) for seed in range(200))


def run_crashes(files, seed):
    """Write and crash a few times; :returns: whether everything acknowledged was found again."""
    rng = random.Random(seed)
    acknowledged = []
    unsure = []
    for _ in range(8):
        try:
            log, records = open_log(files, segment_bytes=1024)
            if records != acknowledged and records not in unsure:
                return False
            acknowledged = records
            files.operations_left = rng.choice((0, 1, rng.randint(2, 60)))
            while True:
                record = rng.randbytes(rng.randint(0, 400))
                is_checkpoint = rng.random() < 0.1
                after = [record] if is_checkpoint else [*acknowledged, record]
                unsure = [after]
                (log.checkpoint if is_checkpoint else log.write)(record)
                acknowledged = after
        except StorageError:
            return False
        except CrashError:
            (files.kill if rng.random() < 0.3 else lambda: files.crash(rng))()
    return True


@pytest.mark.parametrize("operation", ["append", "sync", "sync_folder", "rename"])
def test_full_disk_stops_the_log_for_good(operation):
    files = MemoryFileSystem()
    log, _ = open_log(files)
    files.failing = operation
    with pytest.raises(StorageError):
        log.write(b"lost")
    files.failing = ""
    with pytest.raises(StorageError):
        log.write(b"refused")


def test_snapshot_is_replaced_whole_or_not_at_all():
    for seed in range(100):
        rng = random.Random(seed)
        files = MemoryFileSystem()
        store = SnapshotStore(files, FOLDER, "a")
        store.save(b"old" * 100)
        files.operations_left = rng.randint(0, 5)
        try:
            store.save(b"new" * 100)
            expected = {b"new" * 100}
        except CrashError:
            expected = {b"old" * 100, b"new" * 100}
        files.crash(rng)
        assert store.load() in expected


def test_corrupt_snapshot_is_refused():
    files = MemoryFileSystem()
    store = SnapshotStore(files, FOLDER, "a")
    store.save(b"state")
    (path,) = files.names
    for position in range(len(files.names[path].data)):
        bad = bytearray(files.names[path].data)
        bad[position] ^= 1
        files.names[path].data = bytes(bad)
        with pytest.raises(CorruptionError):
            store.load()
        bad[position] ^= 1
        files.names[path].data = bytes(bad)


def test_files_of_another_identity_are_refused():
    files = MemoryFileSystem()
    write_records(files, 1)
    SnapshotStore(files, FOLDER, "a").save(b"state")
    with pytest.raises(IdentityError):
        open_log(files, identity="b")
    with pytest.raises(IdentityError):
        SnapshotStore(files, FOLDER, "b").load()


def test_folder_is_locked_and_keeps_its_identity(tmp_path):
    first = DataFolder(LocalFileSystem(), str(tmp_path))
    first.open()
    with pytest.raises(FolderLockedError):
        DataFolder(LocalFileSystem(), str(tmp_path)).open()
    first.close()
    second = DataFolder(LocalFileSystem(), str(tmp_path))
    second.open()
    second.close()
    assert (second.identity_, second.boot_) == (first.identity_, 2)


def test_folder_that_lost_its_identity_is_refused(tmp_path):
    folder = DataFolder(LocalFileSystem(), str(tmp_path))
    folder.open()
    folder.close()
    (tmp_path / "identity").unlink()
    with pytest.raises(CorruptionError):
        folder.open()
