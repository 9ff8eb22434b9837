"""Writes and syncs a replica's files without stalling the event loop."""

import gevent
from gevent.pool import Group
from gevent.queue import SimpleQueue

from sassafrashook.consensus._actions import Persisted, Snapshot, SnapshotSaved
from sassafrashook.storage import StorageError

__all__ = ["StorageWriter"]


class StorageWriter:
    """Takes everything that queued up during one sync into the next.

    :param storage: a :class:`ReplicaStorage`.
    :param report: called with each :class:`Persisted` and :class:`SnapshotSaved`.
    :param fail: called with the :class:`StorageError` after which nothing is written.
    """

    def __init__(self, storage, report, fail):
        self.storage = storage
        self.report = report
        self.fail = fail
        self._jobs = SimpleQueue()
        self._pending = set()
        self._saving = Group()
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

    def _take_jobs(self):
        jobs = [self._jobs.get()]
        while not self._jobs.empty():
            jobs.append(self._jobs.get())
        return jobs

    def _write(self, jobs):
        if any(job.snapshot is not None for job in jobs):
            self._saving.join()
        self._call(self.storage.persist, jobs)
        self.report(Persisted(jobs[-1].sequence))

    def _save(self, snapshot):
        try:
            self._call(self.storage.save_snapshot, snapshot)
        except StorageError as error:
            self.fail(error)
        else:
            self.report(SnapshotSaved(snapshot))

    def _call(self, function, argument):
        pending = self._pool.spawn(function, argument)
        self._pending.add(pending)
        try:
            pending.get()
        finally:
            if pending.ready():
                self._pending.discard(pending)
