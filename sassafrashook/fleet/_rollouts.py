"""Rollouts on a controller: orders of operators, and the decisions of the leader."""

import time
import zlib

import gevent
import msgspec
from returns.result import Failure

from sassafrashook.fleet._messages import RolloutPolled, RolloutReported
from sassafrashook.fleet._replies import OperatorCommandOutcome, OperatorCommandReply
from sassafrashook.fleet._state import decode_outcome, encode_command
from sassafrashook.interfaces import ProposalErrorReason
from sassafrashook.registry import RegistrationState
from sassafrashook.rollouts import (
    FinishRollout,
    RolloutLeader,
    RolloutOutcome,
    RolloutState,
    RouterReport,
    StartRollout,
)
from sassafrashook.routes import RouteConfiguration
from sassafrashook.telemetry import log_event

__all__ = ["FleetRollouts"]

REPLY_TIMEOUT_S = 0.85  # a caller waits 1 s for a response
# An order may arrive just before the first heartbeat of the new version; it waits for one until
# this much of its time is left.
COMMIT_RESERVE_S = 0.35
VERSION_POLL_S = 0.05
DECISION_TIMEOUT_S = 0.5
DECISION_INTERVAL_S = 0.1
MIN_POLL_INTERVAL_S = 0.25
POLL_LINK_SHARE = 0.25  # part of a controller's link for polls and reports
POLL_BYTES = 360  # approximate size of a poll and its report, with their headers
MIN_LEASE_S = 1.5
LEASE_INTERVALS = 3
CONNECTED_TIMEOUT_S = 1.5
FINAL_POLL_S = 3.0  # routers are told of the end of a rollout for this time
MS_PER_S = 1_000


class FleetRollouts:
    """Accepts orders, and decides the steps of rollouts while this controller leads.

    The leader polls all routers while a rollout is in progress; they reply with their counts.

    :param name: name of this controller.
    :param replica: a :class:`~sassafrashook.consensus.Replica`.
    :param state: the :class:`~sassafrashook.fleet.FleetState` of the replica.
    :param registry: a :class:`~sassafrashook.registry.Registry`.
    :param mesh: a :class:`~sassafrashook.transport.Mesh`.
    :param publisher: a :class:`~sassafrashook.fleet.Publisher`, which lists the routers.
    :param bounds: the :class:`~sassafrashook.rollouts.RolloutBounds`.
    :param link_bytes_per_s: bandwidth of the controller's link, in bytes per second.
    :param is_current: called with the time in monotonic seconds; returns whether this controller
        knows the upstreams that a majority of the controllers knows.

    :ivar decided_: number of decisions by outcome.
    """

    handled_messages = (RolloutReported,)

    def __init__(
        self, name, replica, state, registry, mesh, publisher, bounds, link_bytes_per_s, is_current
    ):
        self.name = name
        self.replica = replica
        self.state = state
        self.registry = registry
        self.mesh = mesh
        self.publisher = publisher
        self.bounds = bounds
        self.link_bytes_per_s = link_bytes_per_s
        self.is_current = is_current
        self.decided_ = {}
        self._leaders = {}
        self._polled_at = {}

    def deliver(self, sender, message):
        """Record the report of a router."""
        leader = self._leaders.get(message.service)
        if leader is not None and leader.order_index == message.order_index:
            report = RouterReport(
                time.monotonic(), message.index, message.boot, message.running_old,
                message.longest_ms, message.totals,
            )  # fmt: skip
            leader.record(sender, report)

    def order(self, service, to, duration_s):
        """Order a rollout; an order that was accepted before changes nothing.

        :param service: name of the service.
        :param to: software version that the traffic is moved to.
        :param duration_s: time within which it must end, in seconds.
        :returns: an :class:`OperatorCommandReply`.
        """
        deadline = time.monotonic() + REPLY_TIMEOUT_S
        elsewhere = self._confirm_leading(deadline)
        if elsewhere is not None:
            return elsewhere
        known = self.state.rollouts_.rollouts_.get(service)
        if known is None or known.to != to:
            refusal = self._find_refusal(service, to, deadline - COMMIT_RESERVE_S)
            if refusal is not None:
                log_event("rollout_refused", service=service, to=to, reason=refusal.refusal or "-")
                return refusal
        now_ms = time.time_ns() // 1_000_000
        old_versions = [v for v in self._list_versions(service) if v != to]
        command = StartRollout(service, to, old_versions, now_ms, now_ms + round(duration_s * 1e3))
        reply = self._propose(command, deadline)
        log_event(
            "rollout_ordered", service=service, to=to, old=old_versions, duration_s=duration_s,
            outcome=reply.outcome, leader=reply.leader, refusal=reply.refusal or "-",
        )  # fmt: skip
        return reply

    def revert(self, service):
        """Revert the rollout of a service at an operator's order.

        :returns: an :class:`OperatorCommandReply`.
        """
        deadline = time.monotonic() + REPLY_TIMEOUT_S
        elsewhere = self._confirm_leading(deadline)
        if elsewhere is not None:
            return elsewhere
        known = self.state.rollouts_.rollouts_.get(service)
        if known is not None and known.state is RolloutState.REVERTED:
            return OperatorCommandReply(OperatorCommandOutcome.DONE)
        if known is None or not known.is_in_progress:
            reason = "no rollout of this service is in progress"
            return OperatorCommandReply(OperatorCommandOutcome.UNKNOWN, "", reason, True)
        now_ms = time.time_ns() // 1_000_000
        command = FinishRollout(
            service, known.order_index, 0, now_ms, RolloutState.REVERTED, "operator"
        )
        reply = self._propose(command, deadline)
        log_event("rollout_revert_ordered", service=service, outcome=reply.outcome)
        return reply

    def read(self, service):
        """Return the latest rollout of a service with a linearizable read.

        :returns: whether the read was confirmed, and the record or ``None``.
        """
        result = self.replica.confirm_read(time.monotonic() + REPLY_TIMEOUT_S)
        if isinstance(result, Failure):
            return False, None
        return True, self.state.rollouts_.rollouts_.get(service)

    def _confirm_leading(self, deadline):
        """Return ``None`` on a leader whose state is up to date, else the reply to the caller."""
        leader = self.replica.get_leader()
        if leader not in ("", self.name):
            return OperatorCommandReply(OperatorCommandOutcome.NOT_LEADER, leader)
        if isinstance(self.replica.confirm_read(deadline - COMMIT_RESERVE_S), Failure):
            return OperatorCommandReply(OperatorCommandOutcome.UNKNOWN)
        return None

    def _find_refusal(self, service, to, deadline):
        """Return the reply to an order that can't be carried out, or ``None``.

        :param deadline: until when to wait for an upstream of the version, in monotonic seconds.
        """
        unknown, packed = OperatorCommandOutcome.UNKNOWN, self.state.configuration_
        if not packed:
            return OperatorCommandReply(unknown)
        configuration = msgspec.msgpack.decode(zlib.decompress(packed), type=RouteConfiguration)
        if service not in {entry.name for entry in configuration.services}:
            return OperatorCommandReply(unknown, "", f"unknown service {service!r}")
        while to not in self._list_versions(service):
            now = time.monotonic()
            if now >= deadline:
                if not self.is_current(now):
                    return OperatorCommandReply(unknown)
                reason = f"no upstream of {service!r} runs the version {to!r}"
                return OperatorCommandReply(unknown, "", reason)
            gevent.sleep(VERSION_POLL_S)
        return None

    def _list_versions(self, service):
        """Return the versions of the upstreams of a service that have not left, sorted."""
        return sorted(
            {
                registration.version
                for registration in self.registry.registrations_.values()
                if registration.service == service and registration.state != RegistrationState.LEFT
            }
        )

    def _propose(self, command, deadline):
        result = self.replica.propose(encode_command(command), deadline)
        if isinstance(result, Failure):
            error = result.failure()
            if error.reason is ProposalErrorReason.NOT_LEADER and error.leader not in (
                "",
                self.name,
            ):
                return OperatorCommandReply(OperatorCommandOutcome.NOT_LEADER, error.leader)
            return OperatorCommandReply(OperatorCommandOutcome.UNKNOWN)
        reply = result.unwrap()
        outcome = decode_outcome(reply).rollout if reply else None
        if outcome is RolloutOutcome.CONFLICT:
            reason = "another rollout of this service is in progress"
            return OperatorCommandReply(OperatorCommandOutcome.UNKNOWN, "", reason, True)
        return OperatorCommandReply(OperatorCommandOutcome.DONE)

    def run(self):
        """Poll routers and decide the next steps while this controller leads, forever."""
        while True:
            gevent.sleep(DECISION_INTERVAL_S)
            now = time.monotonic()
            if not self.replica.get_leading_term(now):
                self._leaders = {}
                continue
            for rollout in self.state.rollouts_.list_all():
                self._lead(rollout, now)

    def _lead(self, rollout, now):
        now_ms = time.time_ns() // 1_000_000
        if not rollout.is_in_progress:
            self._leaders.pop(rollout.service, None)
            if now_ms < rollout.changed_ms + FINAL_POLL_S * MS_PER_S:
                self._poll(rollout, now)
            return
        leader = self._leaders.get(rollout.service)
        if leader is None or leader.order_index != rollout.order_index:
            leader = self._leaders[rollout.service] = RolloutLeader(rollout, self.bounds)
        self._poll(rollout, now)
        routers = self._list_routers(now)
        upstreams = [
            registration.upstream_id
            for registration in self.registry.list_usable()
            if (registration.service, registration.version) == (rollout.service, rollout.to)
        ]
        warm = sum(now >= self.registry.cold_until_[name] for name in upstreams)
        command = leader.decide(rollout, routers, warm, len(upstreams), now, now_ms)
        if command is not None:
            self._execute(rollout, command, leader)

    def _execute(self, rollout, command, leader):
        """Commit a decision and tell the routers."""
        reply = self._propose(command, time.monotonic() + DECISION_TIMEOUT_S)
        current = self.state.rollouts_.rollouts_[rollout.service]
        is_finish = isinstance(command, FinishRollout)
        decision = command.state if is_finish else command.step.name.lower()
        self.decided_[decision] = self.decided_.get(decision, 0) + 1
        log_event(
            "rollout_decided", service=rollout.service, to=rollout.to, decision=decision,
            share=round(current.share, 4), outcome=reply.outcome, sent=leader.sent_,
            sent_new=leader.sent_new_, answers=leader.verdict_.answers,
            evidence=command.reason if is_finish else leader.verdict_.figures,
            elapsed_ms=command.changed_ms - rollout.ordered_ms, index=current.index,
        )  # fmt: skip
        self._polled_at.pop(rollout.service, None)
        self._poll(current, time.monotonic())

    def _list_routers(self, now):
        connected = self.publisher.list_connected(now, CONNECTED_TIMEOUT_S)
        return sorted(name for name in connected if self.publisher.subscribers_[name].is_router)

    def _poll(self, rollout, now):
        """Send the record to all routers if that is due."""
        routers = self._list_routers(now)
        interval_s = max(
            MIN_POLL_INTERVAL_S,
            len(routers) * POLL_BYTES / (POLL_LINK_SHARE * self.link_bytes_per_s),
        )
        if now < self._polled_at.get(rollout.service, float("-inf")) + interval_s:
            return
        self._polled_at[rollout.service] = now
        lease_ms = max(MIN_LEASE_S, LEASE_INTERVALS * interval_s) * MS_PER_S
        for name in routers:
            self.mesh.send(name, RolloutPolled(rollout, lease_ms))
