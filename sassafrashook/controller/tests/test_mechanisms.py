"""Mutation tests: the tests of the services fail when one safety mechanism is disabled."""

import random

import pytest
from returns.result import Success

from sassafrashook import routing
from sassafrashook.controller import ClaimService, ConfigurationService, PermitService
from sassafrashook.controller.tests import test_services as services
from sassafrashook.interfaces import ProposalError, ProposalErrorReason
from sassafrashook.messages import (
    PermitGranted,
    PermitReleased,
    SessionAccepted,
    SessionOpened,
    UpstreamAnnouncement,
)


class _NoLeadershipCheck(PermitService):
    """Does not check leadership again before a reply."""

    def _is_leading(self):
        return self.ledger_ is not None


class _NoRegistrationCheck(PermitService):
    """Treats every router boot as registered."""

    def _ensure_registered(self, received):
        return True


class _StaleFleetState(PermitService):
    """Passes only the first revision of each term to the ledger."""

    def _dispatch_fleet_state(self):
        if self._ledger_revision < 0:
            super()._dispatch_fleet_state()


class _OwnerDiscardedOnLostConfirmation(PermitService):
    """Discards the ledger whenever leadership can't be confirmed."""

    def _update_term(self):
        if self.log.get_leading_term(self.clock()) == 0:
            self._discard_ledger()
        super()._update_term()


class _OwnerKeptAcrossTerms(PermitService):
    """Keeps the ledger of an earlier term."""

    def _update_term(self):
        if self.ledger_ is None:
            super()._update_term()

    def _is_leading(self):
        return self.log.get_leading_term(self.clock()) != 0


class _OwnerKeptAfterFailure(PermitService):
    """Keeps a ledger after an invariant violation."""

    def _fail_ledger(self, error):
        pass


class _DigestIgnored(ConfigurationService):
    """Accepts a confirmation with any digest."""

    def _has_confirmed(self, progress, revision):
        return progress.revision >= revision


class _BootIdIgnored(ConfigurationService):
    """Keeps the confirmation of a router that has restarted."""

    def _get_or_create_progress(self, message):
        progress = self.routers_.get(message.router)
        return progress if progress is not None else super()._get_or_create_progress(message)


class _UnknownReportedAsRefused(ClaimService):
    """Reports a proposal with an unknown outcome as not committed."""

    def _fail_batch(self, batch, error):
        super()._fail_batch(batch, ProposalError(ProposalErrorReason.NOT_ACCEPTED))


MUTATIONS = [
    (_NoLeadershipCheck, "test_reply_is_dropped_when_leadership_ends_before_send"),
    (_NoLeadershipCheck, "test_no_permit_is_granted_without_confirmed_leadership"),
    (_NoRegistrationCheck, "test_router_is_registered_before_session_is_accepted"),
    (_StaleFleetState, "test_session_is_accepted_with_latest_revision"),
    (_OwnerDiscardedOnLostConfirmation, "test_no_permit_is_granted_without_confirmed_leadership"),
    (_OwnerKeptAcrossTerms, "test_new_term_starts_owner_with_registered_routers"),
    (_OwnerKeptAfterFailure, "test_invariant_violation_discards_owner_for_the_term"),
    (_DigestIgnored, "test_rollout_lists_unconfirmed_routers"),
    (_BootIdIgnored, "test_restart_discards_router_confirmation"),
]


@pytest.mark.parametrize(("mutation", "name"), MUTATIONS)
def test_tests_fail_when_mechanism_is_disabled(monkeypatch, mutation, name):
    monkeypatch.setattr(services, mutation.__base__.__name__, mutation)
    with pytest.raises(AssertionError):
        run_scenario(getattr(services, name))


def test_tests_fail_when_unknown_outcome_is_reported_as_refused(monkeypatch):
    monkeypatch.setattr(services, "ClaimService", _UnknownReportedAsRefused)
    with pytest.raises(AssertionError):
        run_scenario(
            services.test_undecided_claims_report_whether_commit_is_possible,
            failure="answer_lost",
            first="unknown",
            second="running",
        )


def run_scenario(scenario, **values):
    harness = services.ServiceHarness()
    try:
        scenario(harness, **values)
    finally:
        for service in harness.started:
            service.stop()


# Tests with the PermitLedger of the routing package


def test_permit_ledger_grants_through_service(monkeypatch):
    monkeypatch.setattr(services, "EVENTS", routing)
    harness = services.ServiceHarness()
    try:
        service = harness.start_permits(lambda epoch: routing.PermitLedger(epoch, random.Random(1)))
        service.handle_upstream_announced(
            UpstreamAnnouncement(
                "u1", "engine", "s", "127.0.0.1", 1, "brest-a", "b1", 1, 1, 10, 5, 60_000
            )
        )
        services.open_session(service)
        assert harness.outbox.pop_messages(SessionAccepted)[-1].needs_holdings
        service.deliver("r1", SessionOpened("r1", "b1", 2, 1))
        services.settle()
        services.request_permit(service)
        granted = harness.outbox.pop_messages(PermitGranted)
        assert [permit.upstream_id for permit in granted] == ["u1"]
        assert service.ledger_.count_running("u1") == 1
        service.deliver("r1", PermitReleased(1, "finished"))
        services.settle()
        assert service.ledger_.count_running("u1") == 0
        assert isinstance(harness.log.confirm_read(0), Success)
    finally:
        service.stop()
