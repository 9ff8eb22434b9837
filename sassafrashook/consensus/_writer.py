"""Writes and syncs a replica's files without stalling the event loop."""

import time

import gevent
from absl import logging
from gevent.pool import Group
from gevent.queue import SimpleQueue

from sassafrashook.consensus._actions import Persisted, Snapshot, SnapshotSaved
from sassafrashook.storage import DiskFullError, StorageError

__all__ = ["StorageWriter"]

FULL_RETRY_S = 0.2  # between two tries on a full disk


class StorageWriter:
    """Takes everything that queued up during one sync into the next.

    :param storage: a :class:`ReplicaStorage`.
    :param report: called with each :class:`Persisted` and :class:`SnapshotSaved`.
    :param fail: called with the :class:`StorageError` after which nothing is written.
    :param on_write: called with the milliseconds that each synced write took.
    """

    def __init__(self, storage, report, fail, on_write):
        self.storage = storage
        self.report = report
        self.fail = fail
        self.on_write = on_write
        self._jobs = SimpleQueue()
        self._pending = set()
        self._saving = Group()
        self._writing_since = None
        self._pool = gevent.get_hub().threadpool

    def put(self, persist):
        """Queue a :class:`Persist`."""
        self._jobs.put(persist)

    def put_snapshot(self, action, data):
        """Save a local snapshot beside the log; a received one is written after it.

        :param action: the :class:`TakeSnapshot`.
        :param data: the encoded state.
        """
        members = list(action.members)
        snapshot = Snapshot(action.index, action.term, action.members_index, members, data)
        self._saving.spawn(self._save, snapshot)

    def run(self):
        """Write in order until a write fails."""
        try:
            while True:
                self._write(self._take_jobs())
        except StorageError as error:
            self.fail(error)

    def stop(self):
        """Begin no further snapshot, and wait for what is under way in the thread pool."""
        self._saving.kill()
        for pending in list(self._pending):
            pending.wait()

    def stalled_for(self, now):
        """Return how long the write that is under way has taken, seconds."""
        return 0.0 if self._writing_since is None else now - self._writing_since

    def _take_jobs(self):
        jobs = [self._jobs.get()]
        while not self._jobs.empty():
            jobs.append(self._jobs.get())
        return jobs

    def _write(self, jobs):
        if any(job.snapshot is not None for job in jobs):
            self._saving.join()
        self._writing_since = time.monotonic()
        self._call(self.storage.persist, jobs)
        self.on_write((time.monotonic() - self._writing_since) * 1_000)
        self._writing_since = None
        self.report(Persisted(jobs[-1].sequence))

    def _save(self, snapshot):
        try:
            self._call(self.storage.save_snapshot, snapshot)
        except StorageError as error:
            self.fail(error)
        else:
            self.report(SnapshotSaved(snapshot))

    def _call(self, function, argument):
        """Run a write in the thread pool, again and again while the disk is full."""
        while True:
            try:
                self._run(function, argument)
            except DiskFullError as error:
                logging.warning('event=disk_full error="%s" retry_s=%s', error, FULL_RETRY_S)
                gevent.sleep(FULL_RETRY_S)
            else:
                return

    def _run(self, function, argument):
        pending = self._pool.spawn(function, argument)
        self._pending.add(pending)
        try:
            pending.get()
        finally:
            if pending.ready():
                self._pending.discard(pending)
