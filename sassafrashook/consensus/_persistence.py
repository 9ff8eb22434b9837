"""Storage format of a replica's persistent state."""

from itertools import takewhile

import msgspec

from sassafrashook.consensus._actions import BootstrapState, RecoveredState, Snapshot
from sassafrashook.consensus._messages import Entry
from sassafrashook.storage import SnapshotStore, WriteAheadLog

__all__ = ["ReplicaStorage"]


class _Record(msgspec.Struct, frozen=True, array_like=True):
    """One record of the write-ahead log.

    :param term: current term.
    :param voted_for: identity that was voted for in that term, or empty.
    :param bootstrap_state: a :class:`BootstrapState`, or ``None``.
    :param entries: entries that replace the log from the index of the first one on.
    :param base_index: if not negative, the entries replace the whole log and follow this index.
    :param base_term: term of the entry at ``base_index``.
    """

    term: int
    voted_for: str
    bootstrap_state: BootstrapState | None
    entries: list[Entry]
    base_index: int = -1
    base_term: int = 0


class ReplicaStorage:
    """Executes the writes that a :class:`~sassafrashook.consensus.ReplicaCore` requests.

    :param data_folder: an open :class:`~sassafrashook.storage.DataFolder`.

    :raises StorageError: from any method; the process must stop.
    """

    def __init__(self, data_folder):
        self.data_folder = data_folder

    def load(self):
        """Read the persistent state from the data folder.

        :returns: a :class:`RecoveredState`.
        """
        data_folder = self.data_folder
        arguments = (data_folder.file_system, data_folder.path, data_folder.identity_)
        self.log_ = WriteAheadLog(*arguments)
        self.snapshots_ = SnapshotStore(*arguments)
        state = RecoveredState()
        entries = []
        for payload in self.log_.open():
            record = msgspec.msgpack.decode(payload, type=_Record)
            state.term = record.term
            state.voted_for = record.voted_for
            state.bootstrap_state = record.bootstrap_state
            if record.base_index >= 0:
                state.base_index = record.base_index
                state.base_term = record.base_term
                entries = []
            # Older builds may have written entries from before a compaction behind it.
            retained = [entry for entry in record.entries if entry.index > state.base_index]
            if retained:
                del entries[retained[0].index - state.base_index - 1 :]
                entries.extend(retained)
        state.entries = tuple(entries)
        self._load_snapshot(state)
        return state

    def _load_snapshot(self, state):
        """Load the snapshot; reset the log to it if the log does not contain its last entry."""
        payload = self.snapshots_.load()
        if payload is None:
            return
        snapshot = msgspec.msgpack.decode(payload, type=Snapshot)
        state.snapshot = snapshot
        terms = {entry.index: entry.term for entry in state.entries}
        terms[state.base_index] = state.base_term
        if terms.get(snapshot.index) != snapshot.term:
            state.base_index = snapshot.index
            state.base_term = snapshot.term
            state.entries = ()
            self._checkpoint(state)

    def persist(self, actions):
        """Write and sync :class:`Persist` actions in order.

        Successive actions without compaction are combined into one write. Actions are removed from
        the list once they are written, so that a retry after a :class:`DiskFullError` continues
        with the rest: an action that was written again after a later compaction would put entries
        from before the compaction behind it.

        :param actions: list of :class:`Persist` actions; empty afterwards.
        """
        while actions:
            if actions[0].compact:
                if actions[0].snapshot is not None:
                    self.save_snapshot(actions[0].snapshot)
                self._checkpoint(actions[0])
                del actions[0]
            else:
                combined = list(takewhile(lambda action: not action.compact, actions))
                self._write(combined)
                del actions[: len(combined)]

    def save_snapshot(self, snapshot):
        """Save and sync a :class:`Snapshot`."""
        self.snapshots_.save(msgspec.msgpack.encode(snapshot))

    def _write(self, actions):
        entries = []
        for action in actions:
            if action.entries and entries:
                first = entries[0].index
                del entries[max(action.entries[0].index - first, 0) :]
            entries.extend(action.entries)
        last = actions[-1]
        record = _Record(last.term, last.voted_for, last.bootstrap_state, entries)
        self.log_.write(msgspec.msgpack.encode(record))

    def _checkpoint(self, state):
        record = _Record(
            state.term,
            state.voted_for,
            state.bootstrap_state,
            list(state.entries),
            state.base_index,
            state.base_term,
        )
        self.log_.checkpoint(msgspec.msgpack.encode(record))
