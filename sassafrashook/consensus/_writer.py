"""Background writer that syncs a replica's files without blocking the event loop."""

import time

import gevent
from absl import logging
from gevent.pool import Group
from gevent.queue import SimpleQueue

from sassafrashook.consensus._actions import Persisted, Snapshot, SnapshotSaved
from sassafrashook.storage import DiskFullError, StorageError

__all__ = ["StorageWriter"]

DISK_FULL_RETRY_S = 0.2  # interval between attempts to write to a full disk


class StorageWriter:
    """Combines all writes that are queued during one sync into the next sync (group commit).

    :param storage: a :class:`ReplicaStorage`.
    :param on_completion: called with each :class:`Persisted` and :class:`SnapshotSaved`.
    :param on_failure: called with a :class:`StorageError`; nothing is written after that.
    :param on_write: called with the duration of each synced write, milliseconds.
    """

    def __init__(self, storage, on_completion, on_failure, on_write):
        self.storage = storage
        self.on_completion = on_completion
        self.on_failure = on_failure
        self.on_write = on_write
        self._jobs = SimpleQueue()
        self._running_calls = set()
        self._snapshot_greenlets = Group()
        self._write_started_at = None
        self._pool = gevent.get_hub().threadpool

    def enqueue(self, persist):
        """Enqueue a :class:`Persist` action."""
        self._jobs.put(persist)

    def start_snapshot(self, action, data):
        """Start saving a local snapshot concurrently with log writes.

        A received snapshot, which is part of a log write, is written after it.

        :param action: a :class:`TakeSnapshot`.
        :param data: encoded state of the state machine.
        """
        members = list(action.members)
        snapshot = Snapshot(action.index, action.term, action.members_index, members, data)
        self._snapshot_greenlets.spawn(self._save_snapshot, snapshot)

    def run(self):
        """Execute the queued writes in order until one fails."""
        try:
            while True:
                self._write(self._dequeue_jobs())
        except StorageError as error:
            self.on_failure(error)

    def stop(self):
        """Start no more snapshots, and wait for the calls in the thread pool to finish."""
        self._snapshot_greenlets.kill()
        for call in list(self._running_calls):
            call.wait()

    def get_write_age(self, now):
        """Return the time since the current write started, seconds, or 0 if there is none.

        :param now: current time of ``time.monotonic``, seconds.
        """
        return 0.0 if self._write_started_at is None else now - self._write_started_at

    def _dequeue_jobs(self):
        jobs = [self._jobs.get()]
        while not self._jobs.empty():
            jobs.append(self._jobs.get())
        return jobs

    def _write(self, jobs):
        if any(job.snapshot is not None for job in jobs):
            self._snapshot_greenlets.join()
        last_sequence = jobs[-1].sequence
        self._write_started_at = time.monotonic()
        self._call_with_retries(self.storage.persist, jobs)
        self.on_write((time.monotonic() - self._write_started_at) * 1_000)
        self._write_started_at = None
        self.on_completion(Persisted(last_sequence))

    def _save_snapshot(self, snapshot):
        try:
            self._call_with_retries(self.storage.save_snapshot, snapshot)
        except StorageError as error:
            self.on_failure(error)
        else:
            self.on_completion(SnapshotSaved(snapshot))

    def _call_with_retries(self, function, argument):
        """Call a function in the thread pool, and retry while the disk is full."""
        began_at = time.monotonic()
        failures = 0
        while True:
            try:
                self._call_in_thread(function, argument)
            except DiskFullError as error:
                failures += 1
                logging.warning(
                    'event=disk_full error="%s" full_s=%.1f retry_s=%s',
                    error,
                    time.monotonic() - began_at,
                    DISK_FULL_RETRY_S,
                )
                gevent.sleep(DISK_FULL_RETRY_S)
            else:
                break
        if failures:
            full_s = time.monotonic() - began_at
            logging.info("event=disk_has_room full_s=%.1f failures=%d", full_s, failures)

    def _call_in_thread(self, function, argument):
        call = self._pool.spawn(function, argument)
        self._running_calls.add(call)
        try:
            call.get()
        finally:
            if call.ready():
                self._running_calls.discard(call)
