"""Event loop that owns a replica's core and state machine and executes the core's actions."""

import gevent
from absl import logging
from gevent.queue import Empty
from returns.result import Failure

from sassafrashook.consensus._actions import (
    Apply,
    Persist,
    Proposal,
    ProposalAppended,
    ProposalRejected,
    ProposalsSubmitted,
    ReadConfirmed,
    ReadRejected,
    Restore,
    Role,
    RoleChanged,
    SendMessage,
    TakeSnapshot,
    TransferLeadership,
)
from sassafrashook.consensus._messages import COMMAND
from sassafrashook.consensus._waiters import Waiter
from sassafrashook.interfaces import ProposalError, ProposalErrorReason

__all__ = ["MAX_QUEUED_INPUTS", "LoopMixin"]

MAX_QUEUED_INPUTS = 20_000
MAX_BATCH_INPUTS = 512
# A leader transfers leadership when a write takes this long, since commits wait for the write.
DISK_STALL_TIMEOUT_S = 0.6


class LoopMixin:
    """Processes queued events; no other code calls the core's event handlers."""

    def _run(self):
        try:
            while True:
                self._run_once()
        except Exception as error:
            self._fail(error)

    def _run_once(self):
        inputs = self._dequeue_inputs()
        now = self.clock()
        if now >= self.core_.next_deadline():
            self._execute_actions(self.core_.advance(now))
            self._transfer_leadership_if_stalled(now)
        waiters = [item for item in inputs if isinstance(item, Waiter)]
        for item in inputs:
            if not isinstance(item, Waiter):
                self._execute_actions(self.core_.handle(item, self.clock()))
        self._submit_commands(waiters)

    def _transfer_leadership_if_stalled(self, now):
        if (
            self.core_.role_ is Role.LEADER
            and self._writer.get_write_age(now) > DISK_STALL_TIMEOUT_S
        ):
            logging.warning("event=leader_disk_stalled replica=%s", self.name)
            self._execute_actions(self.core_.handle(TransferLeadership(), now))

    def _dequeue_inputs(self):
        timeout = max(0.0, self.core_.next_deadline() - self.clock())
        try:
            inputs = [self._inputs.get(timeout=timeout)]
        except Empty:
            return []
        while len(inputs) < MAX_BATCH_INPUTS and not self._inputs.empty():
            inputs.append(self._inputs.get())
        return inputs

    def _submit_commands(self, waiters):
        """Submit the commands of all callers that still wait as one batch."""
        waiters = [waiter for waiter in waiters if not waiter.cancelled]
        if not waiters:
            return
        for waiter in waiters:
            waiter.submitted = True
            self._waiters.add(waiter)
        proposals = tuple(Proposal(waiter.token, waiter.command) for waiter in waiters)
        self._execute_actions(self.core_.handle(ProposalsSubmitted(proposals), self.clock()))

    def _execute_actions(self, actions):
        changed = False
        for action in actions:
            self._action_handlers[type(action)](self, action)
            changed = changed or isinstance(action, (Apply, Restore, RoleChanged))
        self._log_members()
        self._log_lost_voters()
        if changed:
            self._complete_reads()
            for callback in self._callbacks:
                callback()

    def _send(self, action):
        self.sender.send(action.peer, action.message)

    def _persist(self, action):
        self._writer.enqueue(action)

    def _apply(self, action):
        for entry in action.entries:
            reply = b""
            if entry.kind == COMMAND:
                reply = self.state_machine.apply(entry.index, entry.data)
            self.applied_index_ = entry.index
            self._waiters.resolve_applied(entry, reply)

    def _restore(self, action):
        self.state_machine.restore(action.snapshot.data)
        self.applied_index_ = action.snapshot.index
        self._waiters.resolve_skipped(action.snapshot.index)

    def _take_snapshot(self, action):
        self._writer.start_snapshot(action, self.state_machine.save())

    def _record_appended(self, action):
        self._waiters.record_appended(action.token, action.index, action.term)

    def _reject_proposal(self, action):
        error = ProposalError(action.reason, action.leader)
        self._waiters.resolve(action.token, Failure(error))

    def _handle_read_result(self, action):
        waiter = self._reads.get(action.token)
        if waiter is None:
            return
        if isinstance(action, ReadRejected):
            waiter.result.set(False)
            return
        waiter.index = action.index
        waiter.submitted = True
        self._complete_reads()

    def _complete_reads(self):
        """Complete the confirmed reads whose index the state machine has applied."""
        for waiter in self._reads.values():
            if waiter.submitted and waiter.index <= self.applied_index_:
                waiter.result.set(True)

    def _log_members(self):
        """Log the members when the configuration of the leader has changed."""
        members = self.core_.configuration_
        if members == self._logged_members or self.core_.role_ is not Role.LEADER:
            return
        self._logged_members = members
        text = ",".join(f"{m.name}:{'voter' if m.voter else 'learner'}" for m in members)
        logging.info(
            "event=members_changed replica=%s members=%s required_voters=%d",
            self.name,
            text,
            2 * self.tolerated_losses + 1,
        )

    def _log_role(self, action):
        logging.info(
            "event=role_changed group=%s replica=%s role=%s term=%d leader=%s lost_voters=%d",
            self.group,
            self.name,
            action.role,
            action.term,
            action.leader or "-",
            len(self.core_.candidacy_lost_identities_),
        )

    def _log_lost_voters(self):
        """Log the identities that became known to be lost for good."""
        lost = self.core_.lost_identities_
        if lost == self._logged_lost_identities:
            return
        self._logged_lost_identities = lost
        members = sorted(m.name for m in self.core_.configuration_ if m.identity in lost)
        logging.warning(
            "event=voters_lost replica=%s members=%s", self.name, ",".join(members) or "-"
        )

    def _fail(self, error):
        """Stop permanently: nothing is sent or acknowledged any more."""
        if self.failure_ is not None:
            return
        self.failure_ = error
        logging.error(
            'event=replica_stopped group=%s replica=%s error="%s"', self.group, self.name, error
        )
        self._waiters.resolve_all(ProposalError(ProposalErrorReason.UNKNOWN))
        if self.on_failure is not None:
            self.on_failure(error)
        gevent.killall([g for g in self._greenlets if g is not gevent.getcurrent()], block=False)

    _action_handlers = {
        Apply: _apply,
        Persist: _persist,
        ProposalAppended: _record_appended,
        ProposalRejected: _reject_proposal,
        ReadConfirmed: _handle_read_result,
        ReadRejected: _handle_read_result,
        Restore: _restore,
        RoleChanged: _log_role,
        SendMessage: _send,
        TakeSnapshot: _take_snapshot,
    }
