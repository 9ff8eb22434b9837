"""Snapshot transfer to members whose next entry has been compacted."""

import zlib

from sassafrashook.consensus._actions import InvariantError, Restore, Snapshot
from sassafrashook.consensus._log import EntryLog
from sassafrashook.consensus._messages import SnapshotAnswered, SnapshotPiece

__all__ = ["SnapshotTransferMixin"]


class SnapshotTransferMixin:
    """Sends snapshots in pieces, one piece at a time, and installs received snapshots.

    A leader sends a snapshot to one member at a time. Transfers at the same time would share its
    link, so that all of them began anew if the leader changed before the last one ended.
    """

    def _start_snapshot_transfer(self):
        self._transfer_identity = ""
        self._received_key = None
        self._received_data = bytearray()
        self._install_sequence = 0

    def _send_snapshot(self, member, progress, now):
        """Send the next piece, or send it again if the reply is overdue.

        A transfer continues with the snapshot that it started with, even if newer snapshots are
        taken meanwhile.
        """
        if not self._has_transfer_turn(member, now):
            return
        self._transfer_identity = member.identity
        if progress.snapshot is None:
            progress.snapshot = self.snapshot_
            progress.snapshot_offset = 0
        elif now < progress.snapshot_resend_at:
            return
        progress.snapshot_sent_at = now
        progress.snapshot_resend_at = now + self._compute_resend_delay_s()
        snapshot = progress.snapshot
        offset = progress.snapshot_offset
        piece = SnapshotPiece(
            *self._header(member.identity),
            snapshot.index,
            snapshot.term,
            snapshot.members_index,
            snapshot.members,
            offset,
            len(snapshot.data),
            zlib.crc32(snapshot.data),
            self.round_,
            snapshot.data[offset : offset + self.snapshot_piece_bytes],
        )
        self._send(member.name, piece)

    def _has_transfer_turn(self, member, now):
        """Return whether a member is the next to receive a piece of a snapshot.

        The turn passes on when a transfer ends or its reply is overdue, to the connected member
        that has waited for longest.
        """
        waiting = [
            other
            for other in self._list_other_members_in_force()
            if self._needs_snapshot(other) and self._is_connected(other, now)
        ]
        if not waiting:
            return True
        for other in waiting:
            resend_at = self.progress_[other.identity].snapshot_resend_at
            if other.identity == self._transfer_identity and now <= resend_at:
                return other is member
        return member is min(waiting, key=lambda m: self.progress_[m.identity].snapshot_sent_at)

    def _needs_snapshot(self, member):
        return self.progress_[member.identity].next_index <= self.log_.base_index

    def _find_needed_index(self, now):
        """Return the lowest index behind which a reachable member still needs the entries.

        That is the index of the snapshot in transfer, or else the last entry that the member is
        known to have: after a transfer it would otherwise have to receive another snapshot.

        :returns: a log index, or ``None``.
        """
        reachable_since = now - self.election_max_s_
        reachable = [p for p in self.progress_.values() if p.last_contact_at >= reachable_since]
        indexes = [p.snapshot.index if p.snapshot is not None else p.match_index for p in reachable]
        return min((index for index in indexes if index > 0), default=None)

    def _on_snapshot_answered(self, message, now):
        """Send the next piece, unless the one that the answer asks for is on its way.

        Pieces that were sent twice, or to an earlier process, are answered as well. An answer that
        led to another copy would keep two copies of every later piece on the link.
        """
        progress = self.progress_.get(message.identity)
        if progress is None or message.term != self.term_:
            return
        progress.last_contact_at = now
        self._record_round(progress, message.round_number, now)
        is_current = progress.snapshot is not None and message.index == progress.snapshot.index
        if is_current and message.offset != progress.snapshot_offset:
            progress.snapshot_offset = message.offset
            progress.snapshot_resend_at = now
            self._continue_sending(message.identity, now)

    def _on_snapshot_piece(self, message, now):
        if not self._accept_leader(message, now):
            return
        if message.index <= self.commit_index_:
            self._reply_to_append(message, success=True)
            return
        if self.restore_pending_:
            return
        self._append_piece(message)
        if len(self._received_data) < message.total:
            answer = SnapshotAnswered(
                *self._header(message.identity),
                message.index,
                len(self._received_data),
                message.round_number,
            )
            self._send(message.sender, answer)
        else:
            self._install_snapshot(message, bytes(self._received_data))
            self._received_data = bytearray()

    def _append_piece(self, message):
        key = (message.identity, message.index, message.total, message.checksum)
        if self._received_key != key:
            self._received_key = key
            self._received_data = bytearray()
        if message.offset == len(self._received_data):
            self._received_data += message.data
        if len(self._received_data) < message.total:
            return
        if zlib.crc32(self._received_data) != message.checksum:
            raise InvariantError(
                f"checksum mismatch of snapshot {message.index} from {message.sender}"
            )

    def _install_snapshot(self, message, data):
        """Replace the log up to the snapshot index.

        Later entries are kept if the log contains the entry that the snapshot ends with.
        """
        index = message.index
        if self.log_.get_term(index) == message.snapshot_term:
            self.log_.compact(index)
        else:
            self.log_ = EntryLog(index, message.snapshot_term)
            self._drop_configurations(0)
            self.durable_index_ = min(self.durable_index_, self.commit_index_)
            self._unsynced_writes.clear()
        members = list(message.members)
        self.snapshot_ = Snapshot(
            index, message.snapshot_term, message.members_index, members, data
        )
        later = [c for c in self._configurations if c[0] > message.members_index]
        self._configurations = [(message.members_index, tuple(members)), *later]
        self._refresh_configuration()
        self.verified_index_ = max(self.verified_index_, index)
        self._snapshot_to_install = self.snapshot_
        self._compact = True
        self.restore_pending_ = True

    def _finish_restore(self):
        """Restore the state machine once the installed snapshot is synced."""
        if self.restore_pending_ and self.persisted_sequence_ >= self._install_sequence:
            self.restore_pending_ = False
            self.commit_index_ = self.snapshot_.index
            self._actions.append(Restore(self.snapshot_))
