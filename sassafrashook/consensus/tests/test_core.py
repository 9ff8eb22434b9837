"""Unit tests of the replica core: durability before replies, identities, leases and transfer."""

import random

import msgspec
import pytest

from sassafrashook.consensus import (
    CONSENSUS_MESSAGES,
    InvariantError,
    Member,
    Persist,
    Persisted,
    Proposal,
    ProposalRejected,
    ProposalsSubmitted,
    RecoveredState,
    ReplicaCore,
    Role,
    SendMessage,
    Snapshot,
    SnapshotSaved,
    TakeSnapshot,
)
from sassafrashook.consensus._actions import BootstrapState
from sassafrashook.consensus._messages import (
    AppendAnswered,
    AppendRequested,
    Entry,
    IdentityAnnounced,
    SnapshotAnswered,
    SnapshotPiece,
    VoteAnswered,
    VoteRequested,
)
from sassafrashook.interfaces import ProposalErrorReason

NAMES = ("a", "b", "c")
COMPLETED_BOOTSTRAP = BootstrapState({"a": "ia", "b": "ib", "c": "ic"}, completed=True)
READY_AT_S = 10.0  # the replica grants votes by then


def make_core(name="a", identity=None, boot=1, recovered=None, **parameters):
    identity = identity or "i" + name
    core = ReplicaCore(
        name, identity, boot, f"{identity}.{boot}", NAMES, random.Random(1), **parameters
    )
    core.start(recovered or RecoveredState(bootstrap_state=COMPLETED_BOOTSTRAP), 0.0)
    return core


def make_header(name, term, identity=None, recipient="ia", boot=1, boot_id=None, configuration=0):
    identity = identity or "i" + name
    boot_id = boot_id or f"{identity}.{boot}"
    return "main", name, identity, recipient, boot, boot_id, term, configuration


def make_vote_request(name, term, **header):
    return VoteRequested(*make_header(name, term, **header), term, 0, 0, False, False)


def make_append_request(name, term, entries=(), **header):
    return AppendRequested(*make_header(name, term, **header), 0, 0, 0, 1, list(entries))


def filter_actions(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def filter_messages(actions, kind):
    return [a.message for a in filter_actions(actions, SendMessage) if isinstance(a.message, kind)]


def report_persisted(core, actions, now):
    """Report all writes as synced.

    :returns: list of the given actions and those that followed.
    """
    executed = list(actions)
    for action in filter_actions(actions, Persist):
        executed += core.handle(Persisted(action.sequence), now)
    return executed


def elect_leader(core, now=READY_AT_S):
    """Make the core of a group of three the leader of its next term."""
    core.advance(now)
    term = core.term_ + 1
    for pre_vote in (True, False):
        answer = VoteAnswered(*make_header("b", core.term_), term, pre_vote, True)
        report_persisted(core, core.handle(answer, now), now)
    assert core.role_ is Role.LEADER


def test_vote_reply_is_held_until_vote_is_synced():
    core = make_core()
    actions = core.handle(make_vote_request("b", 1), READY_AT_S)
    assert not filter_messages(actions, VoteAnswered)
    (persist,) = filter_actions(actions, Persist)
    assert (persist.term, persist.voted_for) == (1, "ib")
    (answer,) = filter_messages(core.handle(Persisted(persist.sequence), READY_AT_S), VoteAnswered)
    assert answer.granted


@pytest.mark.parametrize("synced", [True, False])
def test_restarted_voter_remembers_vote_only_if_it_was_synced(synced):
    first = make_core()
    (persist,) = filter_actions(first.handle(make_vote_request("b", 1), READY_AT_S), Persist)
    recovered = RecoveredState(bootstrap_state=COMPLETED_BOOTSTRAP)
    if synced:
        recovered.term = persist.term
        recovered.voted_for = persist.voted_for
    second = make_core(recovered=recovered, boot=2)
    second_vote = report_persisted(
        second, second.handle(make_vote_request("c", 1), READY_AT_S), READY_AT_S
    )
    assert filter_messages(second_vote, VoteAnswered)[0].granted is not synced


def test_entries_are_acknowledged_only_after_sync():
    core = make_core()
    actions = core.handle(make_append_request("b", 1, [Entry(1, 1, 1, b"x")]), READY_AT_S)
    assert not filter_actions(actions, SendMessage)
    answers = report_persisted(core, actions, READY_AT_S)
    assert answers[-1].message.match_index == 1


@pytest.mark.parametrize("bootstrap", [True, False])
def test_host_with_lost_disk_does_not_vote(bootstrap):
    """A host without its log could elect a leader that lacks committed entries."""
    core = make_core(identity="new", recovered=RecoveredState(), bootstrap=bootstrap)
    report_persisted(core, core.advance(0.0), 0.0)
    for name in "bc":
        header = make_header(name, 3, recipient="new")
        core.handle(IdentityAnnounced(*header, COMPLETED_BOOTSTRAP.bindings, True), READY_AT_S)
    for recipient in ("ia", "new"):
        actions = core.handle(make_vote_request("b", 4, recipient=recipient), READY_AT_S)
        answers = filter_messages(report_persisted(core, actions, READY_AT_S), VoteAnswered)
        assert not any(answer.granted for answer in answers)
    assert core.role_ is Role.UNCONFIGURED


def test_bootstrap_binds_each_name_to_its_first_identity():
    core = make_core(recovered=RecoveredState(), bootstrap=True)
    own_bindings = {"a": "ia", "b": "ib"}
    for name, identity in (("b", "ib"), ("b", "other"), ("c", "ic")):
        bindings = {**own_bindings, name: identity}
        header = make_header(name, 0, identity=identity, configuration=-1)
        report_persisted(core, core.handle(IdentityAnnounced(*header, bindings, False), 1.0), 1.0)
    assert core.bootstrap_state_ == BootstrapState(COMPLETED_BOOTSTRAP.bindings, False)
    assert not core.handle(make_vote_request("b", 1, configuration=-1), READY_AT_S)
    for name in "bc":
        header = make_header(name, 0, configuration=-1)
        core.handle(IdentityAnnounced(*header, COMPLETED_BOOTSTRAP.bindings, False), 1.0)
    assert core.bootstrap_state_ == COMPLETED_BOOTSTRAP
    assert core.role_ is Role.FOLLOWER


def test_unknown_and_copied_identities_are_rejected_and_counted():
    core = make_core()
    core.handle(make_append_request("b", 1), READY_AT_S)
    core.handle(make_append_request("b", 9, identity="copy"), READY_AT_S)
    core.handle(make_append_request("b", 9, boot_id="other"), READY_AT_S + 0.1)
    core.handle(make_append_request("b", 9, boot=2), READY_AT_S + 0.1)
    core.handle(make_append_request("c", 9, identity="ia"), READY_AT_S)
    assert core.term_ == 1
    assert core.rejection_counts_ == {"unknown_identity": 1, "duplicate_identity": 3}
    core.handle(make_append_request("b", 2, boot=2), READY_AT_S + 1)
    assert core.term_ == 2
    core.handle(make_append_request("b", 9, boot=1), READY_AT_S + 9)
    assert core.rejection_counts_["stale_boot"] == 1


def test_second_leader_of_a_term_stops_the_replica():
    core = make_core()
    core.handle(make_append_request("b", 1), READY_AT_S)
    with pytest.raises(InvariantError):
        core.handle(make_append_request("c", 1), READY_AT_S)


def test_leader_with_expired_lease_rejects_proposals_and_reports_no_term():
    core = make_core()
    elect_leader(core)
    for name in "bc":
        acknowledge_append(core, name, READY_AT_S)
    assert core.get_leading_term(READY_AT_S) == 1
    resumed_at = READY_AT_S + 0.95
    assert core.get_leading_term(resumed_at) == 0
    actions = core.handle(ProposalsSubmitted((Proposal(7, b"x"),)), resumed_at)
    assert filter_actions(actions, ProposalRejected)[0].reason is ProposalErrorReason.NOT_ACCEPTED
    core.handle(ProposalsSubmitted((Proposal(8, b"x"),)), READY_AT_S + 60)
    assert core.role_ is Role.FOLLOWER


def acknowledge_append(core, name, now):
    header = make_header(name, core.term_)
    core.handle(AppendAnswered(*header, True, core.log_.last_index, 0, core.round_), now)


def test_entries_in_flight_to_silent_member_are_bounded():
    core = make_core(max_in_flight_entries=8, max_batch_entries=4)
    elect_leader(core)
    for name in "bc":
        acknowledge_append(core, name, READY_AT_S)
    sent = 0
    for number in range(100):
        event = ProposalsSubmitted((Proposal(number, b"x"),))
        messages = filter_messages(core.handle(event, READY_AT_S), AppendRequested)
        sent += sum(len(m.entries) for m in messages if m.recipient == "ib")
    assert sent == 8


def test_hint_below_match_index_causes_no_resend():
    """A member that lost acknowledged entries must not be sent them again in a loop."""
    core = make_core()
    elect_leader(core)
    acknowledge_append(core, "b", READY_AT_S)
    rejection = AppendAnswered(*make_header("b", 1), False, 0, 0, core.round_)
    assert not filter_actions(core.handle(rejection, READY_AT_S), SendMessage)
    assert core.rejection_counts_ == {"hint_below_match": 1}


def test_message_encoding_round_trip():
    message = make_append_request("b", 1, [Entry(1, 1, 1, b"x")])
    data = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
    (kind,) = [k for k in CONSENSUS_MESSAGES if k.__name__ == data[0]]
    assert msgspec.convert(data, kind) == message


def test_snapshot_transfer_continues_after_newer_snapshot():
    members = [Member(name, identity) for name, identity in COMPLETED_BOOTSTRAP.bindings.items()]
    old = Snapshot(10, 1, 0, members, b"x" * 20)
    recovered = RecoveredState(
        bootstrap_state=COMPLETED_BOOTSTRAP, base_index=10, base_term=1, snapshot=old, term=1
    )
    core = make_core(recovered=recovered, snapshot_piece_bytes=8, trailing_entries=0)
    elect_leader(core)
    rejection = AppendAnswered(*make_header("b", core.term_), False, 0, 0, core.round_)
    (piece,) = filter_messages(core.handle(rejection, READY_AT_S), SnapshotPiece)
    core.handle(SnapshotSaved(Snapshot(11, 2, 0, members, b"y" * 20)), READY_AT_S)
    answer = SnapshotAnswered(*make_header("b", core.term_), 10, 8, core.round_)
    (second,) = filter_messages(core.handle(answer, READY_AT_S), SnapshotPiece)
    assert (piece.offset, second.offset, second.index) == (0, 8, 10)
    assert core.log_.base_index == 10


def test_member_needs_one_snapshot_although_others_are_saved_before_it_has_caught_up():
    """Guards against members that receive one snapshot after the other and never vote."""
    members = [Member(name, identity) for name, identity in COMPLETED_BOOTSTRAP.bindings.items()]
    old = Snapshot(10, 1, 0, members, b"x")
    recovered = RecoveredState(
        bootstrap_state=COMPLETED_BOOTSTRAP, base_index=10, base_term=1, snapshot=old, term=1
    )
    core = make_core(recovered=recovered, snapshot_entries=1, trailing_entries=0)
    elect_leader(core)
    header = make_header("c", core.term_)
    rejection = AppendAnswered(*header, False, 0, 0, core.round_)
    assert filter_messages(core.handle(rejection, READY_AT_S), SnapshotPiece)
    core.handle(AppendAnswered(*header, True, 10, 0, core.round_), READY_AT_S)
    (due,) = commit_entries(core)
    core.handle(SnapshotSaved(Snapshot(due.index, due.term, 0, members, b"y")), READY_AT_S)
    actions = core.handle(AppendAnswered(*header, False, 0, 10, core.round_), READY_AT_S)
    assert not filter_messages(actions, SnapshotPiece)
    (request,) = filter_messages(actions, AppendRequested)
    assert request.entries[0].index == 11


def commit_entries(core):
    """Persist and commit all entries of a leader; return the snapshots that it requests."""
    event = ProposalsSubmitted((Proposal(1, b"x"),))
    report_persisted(core, core.handle(event, READY_AT_S), READY_AT_S)
    answer = AppendAnswered(
        *make_header("b", core.term_), True, core.log_.last_index, 0, core.round_
    )
    return filter_actions(core.handle(answer, READY_AT_S), TakeSnapshot)


def test_snapshot_that_falls_due_while_another_is_saved_follows_without_a_commit():
    core = make_core(snapshot_entries=1, trailing_entries=0)
    elect_leader(core)
    (first,) = commit_entries(core)
    assert commit_entries(core) == []
    members = [Member(name, identity) for name, identity in COMPLETED_BOOTSTRAP.bindings.items()]
    saved = SnapshotSaved(Snapshot(first.index, first.term, 0, members, b""))
    (second,) = filter_actions(core.handle(saved, READY_AT_S), TakeSnapshot)
    assert second.index == core.commit_index_ == first.index + 1
