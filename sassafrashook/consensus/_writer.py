"""Writes and syncs a replica's files without stalling the event loop."""

import gevent
from gevent.queue import SimpleQueue

from sassafrashook.consensus._actions import Persist, Persisted, Snapshot, SnapshotSaved
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
        self._pending = None
        self._pool = gevent.get_hub().threadpool

    def put(self, persist):
        """Queue a :class:`Persist`."""
        self._jobs.put(persist)

    def put_snapshot(self, action, data):
        """Queue a local snapshot.

        :param action: the :class:`TakeSnapshot`.
        :param data: the encoded state.
        """
        members = list(action.members)
        self._jobs.put(Snapshot(action.index, action.term, action.members_index, members, data))

    def run(self):
        """Write in order until a write fails."""
        try:
            while True:
                self._write(self._take_jobs())
        except StorageError as error:
            self.fail(error)

    def join(self):
        """Wait for a write that is under way in the thread pool."""
        if self._pending is not None:
            self._pending.wait()

    def _take_jobs(self):
        jobs = [self._jobs.get()]
        while not self._jobs.empty():
            jobs.append(self._jobs.get())
        return jobs

    def _write(self, jobs):
        persists = []
        for job in jobs:
            if isinstance(job, Persist):
                persists.append(job)
                continue
            self._persist(persists)
            persists = []
            self._call(self.storage.save_snapshot, job)
            self.report(SnapshotSaved(job))
        self._persist(persists)

    def _persist(self, persists):
        if persists:
            self._call(self.storage.persist, persists)
            self.report(Persisted(persists[-1].sequence))

    def _call(self, function, argument):
        self._pending = self._pool.spawn(function, argument)
        self._pending.get()
