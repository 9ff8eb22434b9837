"""Persistence ordering, release of messages, application of entries and log compaction."""

from collections import deque

from sassafrashook.consensus._actions import (
    Apply,
    InvariantError,
    Persist,
    Restore,
    Role,
    RoleChanged,
    SendMessage,
    TakeSnapshot,
)
from sassafrashook.consensus._log import EntryLog
from sassafrashook.consensus._membership import decode_members
from sassafrashook.consensus._messages import COMMAND, CONFIGURATION

__all__ = ["DurabilityMixin"]

# Ratio of the last snapshot's size to the bytes that must be committed before the next one; see
# ``_request_snapshot_if_due``.
SNAPSHOT_COST_FACTOR = 4
# In multiples of ``snapshot_entries``: a snapshot is due after this many entries whatever its
# size, and at most this many are kept before a snapshot for a transfer.
MAX_SNAPSHOT_INTERVALS = 50


class DurabilityMixin:
    """Combines state changes into writes and holds messages until those writes are synced."""

    def _reset_outputs(self):
        self.sequence_ = 0
        self.persisted_sequence_ = 0
        self.state_sequence_ = 0
        self._actions = []
        self._held_messages = deque()
        self._unsynced_writes = deque()
        self._new_messages = []
        self._state_changed = False
        self._first_changed_index = None
        self._snapshot_to_install = None
        self._compact = False
        self._emitted_role = None

    def _recover(self, recovered):
        self.term_ = recovered.term
        self.voted_for_ = recovered.voted_for
        self.snapshot_ = recovered.snapshot
        self.log_ = EntryLog(recovered.base_index, recovered.base_term, recovered.entries)
        self.commit_index_ = self.snapshot_.index if self.snapshot_ else 0
        self.durable_index_ = self.log_.last_index
        self.snapshot_pending_ = False
        self._command_committed = False
        self.bytes_since_snapshot_ = sum(len(entry.data) for entry in recovered.entries)
        self.restore_pending_ = False
        if self.snapshot_:
            self._actions.append(Restore(self.snapshot_))

    def _send(self, peer, message):
        self._new_messages.append(SendMessage(peer, message))

    def _header(self, recipient):
        return (
            self.group,
            self.name,
            self.identity,
            recipient,
            self.boot,
            self.boot_id,
            self.term_,
            self.configuration_index_,
        )

    def _append_entry(self, entry):
        self.log_.append(entry)
        self._mark_changed(entry.index)
        if entry.kind == CONFIGURATION:
            self._add_configuration(entry.index, decode_members(entry.data))

    def _truncate(self, index):
        if index <= self.commit_index_:
            raise InvariantError(
                f"cannot truncate committed entry {index}: commit index is {self.commit_index_}"
            )
        self.log_.truncate(index)
        self.durable_index_ = min(self.durable_index_, index - 1)
        self._unsynced_writes = deque(
            (s, min(last, index - 1)) for s, last in self._unsynced_writes
        )
        self._drop_configurations(index)
        self._mark_changed(index)

    def _mark_changed(self, index):
        if self._first_changed_index is None or index < self._first_changed_index:
            self._first_changed_index = index

    def _set_term(self, term, voted_for=""):
        if term < self.term_ or (term == self.term_ and self.voted_for_ not in ("", voted_for)):
            raise InvariantError(
                f"cannot change term {self.term_} with vote {self.voted_for_!r}"
                f" to term {term} with vote {voted_for!r}"
            )
        self.term_ = term
        self.voted_for_ = voted_for
        self._state_changed = True

    def _finish(self, now):
        """Combine all changes into one :class:`Persist` and release the messages that may be sent.

        :returns: list of actions to execute, in order.
        """
        if self.role_ is Role.LEADER:
            self._start_requested_round(now)
        self._emit_persist()
        for action in self._new_messages:
            self._held_messages.append((self.state_sequence_, action))
        self._new_messages = []
        self._release_messages()
        self._emit_role_change()
        actions = self._actions
        self._actions = []
        return actions

    def _emit_persist(self):
        if not (self._state_changed or self._first_changed_index is not None or self._compact):
            return
        self.sequence_ += 1
        if self._state_changed:
            self.state_sequence_ = self.sequence_
        log = self.log_
        first = log.base_index + 1 if self._compact else self._first_changed_index
        entries = () if first is None else tuple(log.read(first, log.last_index))
        self._actions.append(
            Persist(
                self.sequence_,
                self.term_,
                self.voted_for_,
                self.bootstrap_state_,
                entries,
                self._compact,
                log.base_index,
                log.base_term,
                self._snapshot_to_install,
            )
        )
        self._unsynced_writes.append((self.sequence_, log.last_index))
        if self._snapshot_to_install is not None:
            self._install_sequence = self.sequence_
        self._state_changed = False
        self._first_changed_index = None
        self._compact = False
        self._snapshot_to_install = None

    def _release_messages(self):
        while self._held_messages and self._held_messages[0][0] <= self.persisted_sequence_:
            self._actions.append(self._held_messages.popleft()[1])

    def _emit_role_change(self):
        role = RoleChanged(self.role_, self.term_, self.leader_)
        if role != self._emitted_role:
            self._emitted_role = role
            self._actions.append(role)

    def _on_persisted(self, event, now):
        self.persisted_sequence_ = max(self.persisted_sequence_, event.sequence)
        while self._unsynced_writes and self._unsynced_writes[0][0] <= event.sequence:
            self.durable_index_ = max(self.durable_index_, self._unsynced_writes.popleft()[1])
        self._finish_restore()
        if self.role_ is Role.LEADER:
            self._advance_commit(now)
        else:
            self._count_votes(now)
            self._acknowledge_synced(now)

    def _commit_to(self, index):
        if index <= self.commit_index_ or self.restore_pending_:
            return
        if index > self.durable_index_:
            raise InvariantError(
                f"cannot commit entry {index}: durable index is {self.durable_index_}"
            )
        entries = tuple(self.log_.read(self.commit_index_ + 1, index))
        self.commit_index_ = index
        self._command_committed |= any(entry.kind == COMMAND for entry in entries)
        self.bytes_since_snapshot_ += sum(len(entry.data) for entry in entries)
        self._actions.append(Apply(entries))
        self._request_snapshot_if_due()

    def _request_snapshot_if_due(self):
        """Request a snapshot once enough was committed since the last one.

        A snapshot is due after ``snapshot_entries`` entries if the bytes committed since the last
        one are at least 1 / ``SNAPSHOT_COST_FACTOR`` of its size, which bounds the cost of
        snapshots of a large state. After ``MAX_SNAPSHOT_INTERVALS`` times as many entries it is
        due in any case. After a restart, the bytes of all recovered log entries count.
        """
        configuration = self._get_configuration_at(self.commit_index_)
        if self.snapshot_pending_ or configuration is None or not self._is_snapshot_due():
            return
        self.snapshot_pending_ = True
        self.bytes_since_snapshot_ = 0
        term = self.log_.get_term(self.commit_index_)
        self._actions.append(TakeSnapshot(self.commit_index_, term, *configuration))

    def _is_snapshot_due(self):
        snapshot_index = self.snapshot_.index if self.snapshot_ else 0
        size = len(self.snapshot_.data) if self.snapshot_ else 0
        entries = self.commit_index_ - snapshot_index
        if entries < self.snapshot_entries:
            return False
        is_overdue = entries >= MAX_SNAPSHOT_INTERVALS * self.snapshot_entries
        return is_overdue or self.bytes_since_snapshot_ * SNAPSHOT_COST_FACTOR >= size

    def _on_snapshot_saved(self, event, now):
        self.snapshot_pending_ = False
        if self.snapshot_ and event.snapshot.index <= self.snapshot_.index:
            return
        self.snapshot_ = event.snapshot
        self.log_.compact(self._find_compaction_index(now))
        self._compact = True
        self._request_snapshot_if_due()

    def _find_compaction_index(self, now):
        """Return the index up to which the log is compacted.

        Trailing entries are kept for lagging members, and the entries that reachable members still
        need, up to ``MAX_SNAPSHOT_INTERVALS`` snapshot intervals.
        """
        index = self.snapshot_.index - self.trailing_entries
        needed_index = self._find_needed_index(now)
        if needed_index is None:
            return index
        max_entries = MAX_SNAPSHOT_INTERVALS * self.snapshot_entries
        return min(index, max(needed_index, self.snapshot_.index - max_entries))
