"""The greenlet that owns a replica's core and state machine, and carries out the core's actions."""

import gevent
from absl import logging
from gevent.queue import Empty
from returns.result import Failure

from sassafrashook.consensus._actions import (
    Apply,
    Persist,
    Proposal,
    ProposalAppended,
    ProposalRefused,
    ProposalsOffered,
    ReadConfirmed,
    ReadRefused,
    Restore,
    Role,
    RoleChanged,
    SendMessage,
    TakeSnapshot,
    TransferLeadership,
)
from sassafrashook.consensus._messages import COMMAND
from sassafrashook.consensus._waiters import Waiter
from sassafrashook.gateways import ProposalError, ProposalFailure

__all__ = ["MAX_QUEUED_INPUTS", "LoopMixin"]

MAX_QUEUED_INPUTS = 20_000
MAX_BATCH_INPUTS = 512
DISK_STALL_S = 0.6  # a leader whose write takes this long hands over; a commit waits for it


class LoopMixin:
    """Takes events from a queue; nothing else touches the core's decisions."""

    def _run(self):
        try:
            while True:
                self._run_once()
        except Exception as error:
            self._fail(error)

    def _run_once(self):
        inputs = self._take_inputs()
        now = self.clock()
        if now >= self.core_.next_deadline():
            self._perform(self.core_.advance(now))
            self._hand_over_if_stalled(now)
        waiters = [item for item in inputs if isinstance(item, Waiter)]
        for item in inputs:
            if not isinstance(item, Waiter):
                self._perform(self.core_.handle(item, self.clock()))
        self._offer(waiters)

    def _hand_over_if_stalled(self, now):
        if self.core_.role_ is Role.LEADER and self._writer.stalled_for(now) > DISK_STALL_S:
            logging.warning("event=leader_disk_stalled replica=%s", self.name)
            self._perform(self.core_.handle(TransferLeadership(), now))

    def _take_inputs(self):
        timeout = max(0.0, self.core_.next_deadline() - self.clock())
        try:
            inputs = [self._inputs.get(timeout=timeout)]
        except Empty:
            return []
        while len(inputs) < MAX_BATCH_INPUTS and not self._inputs.empty():
            inputs.append(self._inputs.get())
        return inputs

    def _offer(self, waiters):
        """Offer the commands that somebody still waits for, together."""
        waiters = [waiter for waiter in waiters if not waiter.abandoned]
        if not waiters:
            return
        for waiter in waiters:
            waiter.offered = True
            self._waiters.add(waiter)
        proposals = tuple(Proposal(waiter.token, waiter.command) for waiter in waiters)
        self._perform(self.core_.handle(ProposalsOffered(proposals), self.clock()))

    def _perform(self, actions):
        changed = False
        for action in actions:
            self._performers[type(action)](self, action)
            changed = changed or isinstance(action, (Apply, Restore, RoleChanged))
        self._log_members()
        if changed:
            self._answer_reads()
            for callback in self._callbacks:
                callback()

    def _send(self, action):
        self.sender.send(action.peer, action.message)

    def _persist(self, action):
        self._writer.put(action)

    def _apply(self, action):
        for entry in action.entries:
            reply = b""
            if entry.kind == COMMAND:
                reply = self.state_machine.apply(entry.index, entry.data)
            self.applied_index_ = entry.index
            self._waiters.note_applied(entry, reply)

    def _restore(self, action):
        self.state_machine.restore(action.snapshot.data)
        self.applied_index_ = action.snapshot.index
        self._waiters.note_skipped(action.snapshot.index)

    def _take_snapshot(self, action):
        self._writer.put_snapshot(action, self.state_machine.save())

    def _note_appended(self, action):
        self._waiters.note_appended(action.token, action.index, action.term)

    def _note_refused(self, action):
        error = ProposalError(action.failure, action.leader)
        self._waiters.resolve(action.token, Failure(error))

    def _note_read(self, action):
        waiter = self._reads.get(action.token)
        if waiter is None:
            return
        if isinstance(action, ReadRefused):
            waiter.result.set(False)
            return
        waiter.index = action.index
        waiter.offered = True
        self._answer_reads()

    def _answer_reads(self):
        """Answer the confirmed reads whose index the state machine holds."""
        for waiter in self._reads.values():
            if waiter.offered and waiter.index <= self.applied_index_:
                waiter.result.set(True)

    def _log_members(self):
        """Log the list of members when the leader has changed it."""
        members = self.core_.configuration_
        if members == self._known_members or self.core_.role_ is not Role.LEADER:
            return
        self._known_members = members
        text = ",".join(f"{m.name}:{'voter' if m.voter else 'learner'}" for m in members)
        logging.info("event=members_changed replica=%s members=%s", self.name, text)

    def _log_role(self, action):
        logging.info(
            "event=role_changed group=%s replica=%s role=%s term=%d leader=%s",
            self.group,
            self.name,
            action.role,
            action.term,
            action.leader or "-",
        )

    def _fail(self, error):
        """Stop for good: nothing more is sent, acknowledged or answered."""
        if self.failure_ is not None:
            return
        self.failure_ = error
        logging.error(
            'event=replica_stopped group=%s replica=%s error="%s"', self.group, self.name, error
        )
        self._waiters.resolve_all(ProposalError(ProposalFailure.UNKNOWN))
        if self.on_failure is not None:
            self.on_failure(error)
        gevent.killall([g for g in self._greenlets if g is not gevent.getcurrent()], block=False)

    _performers = {
        Apply: _apply,
        Persist: _persist,
        ProposalAppended: _note_appended,
        ProposalRefused: _note_refused,
        ReadConfirmed: _note_read,
        ReadRefused: _note_read,
        Restore: _restore,
        RoleChanged: _log_role,
        SendMessage: _send,
        TakeSnapshot: _take_snapshot,
    }
