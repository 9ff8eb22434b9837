"""The services' checks, seen failing with one mechanism off each."""

import random

import pytest
from returns.result import Success

from sassafrashook import routing
from sassafrashook.controller import ClaimService, ConfigurationService, PermitService
from sassafrashook.controller.tests import test_services as services
from sassafrashook.gateways import ProposalError, ProposalFailure
from sassafrashook.messages import (
    PermitGranted,
    PermitReleased,
    SessionAccepted,
    SessionOpened,
    UpstreamAnnouncement,
)


class _AlwaysLeading(PermitService):
    """Does not check leadership again before an answer."""

    def _is_leading(self):
        return self.ledger_ is not None


class _NoRegistration(PermitService):
    def _note_session(self, delivery):
        return True


class _OldRevision(PermitService):
    """Tells the owner of a new revision only between two messages."""

    def _feed_fleet_state(self):
        if self._told_revision < 0:
            super()._feed_fleet_state()


class _NewOwnerEachTime(PermitService):
    """Throws the owner away whenever leadership can't be confirmed."""

    def _follow_term(self):
        if self.log.leading_term(self.clock()) == 0:
            self._drop_ledger()
        super()._follow_term()


class _SameOwnerForever(PermitService):
    def _follow_term(self):
        if self.ledger_ is None:
            super()._follow_term()

    def _is_leading(self):
        return self.log.leading_term(self.clock()) != 0


class _HoldsOn(PermitService):
    """Goes on with an owner that broke an invariant."""

    def _give_up(self, error):
        pass


class _AnyConfirmation(ConfigurationService):
    def _has_confirmed(self, progress, revision):
        return progress.revision >= revision


class _AnyBoot(ConfigurationService):
    def _find_progress(self, message):
        progress = self.routers_.get(message.router)
        return progress if progress is not None else super()._find_progress(message)


class _Optimistic(ClaimService):
    """Takes a lost answer for a certain refusal."""

    def _answer_all(self, batch, error):
        super()._answer_all(batch, ProposalError(ProposalFailure.NOT_ACCEPTED))


BROKEN = [
    (_AlwaysLeading, "test_answer_is_dropped_if_leadership_ends_between_decision_and_send"),
    (_AlwaysLeading, "test_nothing_is_granted_without_confirmed_leadership"),
    (_NoRegistration, "test_router_is_registered_before_its_session_is_accepted"),
    (_OldRevision, "test_session_is_accepted_with_the_newest_revision"),
    (_NewOwnerEachTime, "test_nothing_is_granted_without_confirmed_leadership"),
    (_SameOwnerForever, "test_new_term_has_a_new_owner_that_knows_the_routers"),
    (_HoldsOn, "test_broken_invariant_ends_the_owner_for_this_term"),
    (_AnyConfirmation, "test_rollout_names_the_routers_that_have_not_confirmed"),
    (_AnyBoot, "test_restarted_router_has_confirmed_nothing"),
]


@pytest.mark.parametrize(("broken", "name"), BROKEN)
def test_check_catches_a_missing_mechanism(monkeypatch, broken, name):
    monkeypatch.setattr(services, broken.__base__.__name__, broken)
    with pytest.raises(AssertionError):
        run_scenario(getattr(services, name))


def test_check_catches_a_lost_answer_told_as_a_refusal(monkeypatch):
    monkeypatch.setattr(services, "ClaimService", _Optimistic)
    with pytest.raises(AssertionError):
        run_scenario(
            services.test_undecided_claims_tell_the_truth,
            failure="answer_lost",
            first="unknown",
            second="running",
        )


def run_scenario(scenario, **values):
    world = services.World()
    try:
        scenario(world, **values)
    finally:
        for service in world.started:
            service.stop()


# With the routing core's own owner


def test_real_owner_grants_over_the_service(monkeypatch):
    monkeypatch.setattr(services, "EVENTS", routing)
    world = services.World()
    try:
        service = world.start_permits(lambda epoch: routing.PermitLedger(epoch, random.Random(1)))
        service.note_upstream(
            UpstreamAnnouncement(
                "u1", "engine", "s", "127.0.0.1", 1, "brest-a", "b1", 1, 1, 10, 5, 60_000
            )
        )
        services.open_session(service)
        assert world.outbox.take(SessionAccepted)[-1].needs_holdings
        service.deliver("r1", SessionOpened("r1", "b1", 2, 1))
        services.settle()
        services.ask(service)
        granted = world.outbox.take(PermitGranted)
        assert [g.upstream_id for g in granted] == ["u1"]
        assert service.ledger_.count_running("u1") == 1
        service.deliver("r1", PermitReleased(1, "finished"))
        services.settle()
        assert service.ledger_.count_running("u1") == 0
        assert isinstance(world.log.confirm_read(0), Success)
    finally:
        service.stop()
