"""Focused cases: votes before their sync, copied folders, lost disks, frozen leaders."""

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
from sassafrashook.gateways import ProposalFailure

NAMES = ("a", "b", "c")
SEALED = BootstrapState({"a": "ia", "b": "ib", "c": "ic"}, completed=True)
LATER = 10.0


def make_core(name="a", identity=None, boot=1, recovered=None, **parameters):
    identity = identity or "i" + name
    core = ReplicaCore(
        name, identity, boot, f"{identity}.{boot}", NAMES, random.Random(1), **parameters
    )
    core.start(recovered or RecoveredState(bootstrap_state=SEALED), 0.0)
    return core


def head(name, term, identity=None, recipient="ia", boot=1, boot_id=None, configuration=0):
    identity = identity or "i" + name
    boot_id = boot_id or f"{identity}.{boot}"
    return "main", name, identity, recipient, boot, boot_id, term, configuration


def ask_vote(name, term, **header):
    return VoteRequested(*head(name, term, **header), term, 0, 0, False, False)


def heartbeat(name, term, entries=(), **header):
    return AppendRequested(*head(name, term, **header), 0, 0, 0, 1, list(entries))


def find(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def find_sent(actions, kind):
    return [a.message for a in find(actions, SendMessage) if isinstance(a.message, kind)]


def persist_all(core, actions, now):
    """Report every write as synced; :returns: all actions."""
    done = list(actions)
    for action in find(actions, Persist):
        done += core.handle(Persisted(action.sequence), now)
    return done


def elect(core, now=LATER):
    """Make a core of three the leader of its next term."""
    core.advance(now)
    term = core.term_ + 1
    for pre_vote in (True, False):
        answer = VoteAnswered(*head("b", core.term_), term, pre_vote, True)
        persist_all(core, core.handle(answer, now), now)
    assert core.role_ is Role.LEADER


def test_vote_is_not_spoken_of_before_it_is_synced():
    core = make_core()
    actions = core.handle(ask_vote("b", 1), LATER)
    assert not find_sent(actions, VoteAnswered)
    (persist,) = find(actions, Persist)
    assert (persist.term, persist.voted_for) == (1, "ib")
    (answer,) = find_sent(core.handle(Persisted(persist.sequence), LATER), VoteAnswered)
    assert answer.granted


@pytest.mark.parametrize("synced", [True, False])
def test_restarted_voter_votes_once_only_if_its_vote_was_synced(synced):
    first = make_core()
    (persist,) = find(first.handle(ask_vote("b", 1), LATER), Persist)
    recovered = RecoveredState(bootstrap_state=SEALED)
    if synced:
        recovered.term = persist.term
        recovered.voted_for = persist.voted_for
    second = make_core(recovered=recovered, boot=2)
    second_vote = persist_all(second, second.handle(ask_vote("c", 1), LATER), LATER)
    assert find_sent(second_vote, VoteAnswered)[0].granted is not synced


def test_entries_are_not_acknowledged_before_they_are_synced():
    core = make_core()
    actions = core.handle(heartbeat("b", 1, [Entry(1, 1, 1, b"x")]), LATER)
    assert not find(actions, SendMessage)
    answers = persist_all(core, actions, LATER)
    assert answers[-1].message.match_index == 1


@pytest.mark.parametrize("bootstrap", [True, False])
def test_host_that_lost_its_disk_never_votes_again(bootstrap):
    core = make_core(identity="new", recovered=RecoveredState(), bootstrap=bootstrap)
    persist_all(core, core.advance(0.0), 0.0)
    for name in "bc":
        header = head(name, 3, recipient="new")
        core.handle(IdentityAnnounced(*header, SEALED.bindings, True), LATER)
    for recipient in ("ia", "new"):
        actions = core.handle(ask_vote("b", 4, recipient=recipient), LATER)
        answers = find_sent(persist_all(core, actions, LATER), VoteAnswered)
        assert not any(answer.granted for answer in answers)
    assert core.role_ is Role.UNBOUND


def test_founding_binds_each_name_to_one_identity_for_good():
    core = make_core(recovered=RecoveredState(), bootstrap=True)
    shown = {"a": "ia", "b": "ib"}
    for name, identity in (("b", "ib"), ("b", "other"), ("c", "ic")):
        bindings = {**shown, name: identity}
        header = head(name, 0, identity=identity, configuration=-1)
        persist_all(core, core.handle(IdentityAnnounced(*header, bindings, False), 1.0), 1.0)
    assert core.bootstrap_state_ == BootstrapState(SEALED.bindings, False)
    assert not core.handle(ask_vote("b", 1, configuration=-1), LATER)
    for name in "bc":
        header = head(name, 0, configuration=-1)
        core.handle(IdentityAnnounced(*header, SEALED.bindings, False), 1.0)
    assert core.bootstrap_state_ == SEALED
    assert core.role_ is Role.FOLLOWER


def test_unknown_and_copied_identities_are_refused_and_counted():
    core = make_core()
    core.handle(heartbeat("b", 1), LATER)
    core.handle(heartbeat("b", 9, identity="copy"), LATER)
    core.handle(heartbeat("b", 9, boot_id="other"), LATER + 0.1)
    core.handle(heartbeat("b", 9, boot=2), LATER + 0.1)
    core.handle(heartbeat("c", 9, identity="ia"), LATER)
    assert core.term_ == 1
    assert core.refusals_ == {"unknown_identity": 1, "duplicate_identity": 3}
    core.handle(heartbeat("b", 2, boot=2), LATER + 1)
    assert core.term_ == 2
    core.handle(heartbeat("b", 9, boot=1), LATER + 9)
    assert core.refusals_["stale_boot"] == 1


def test_second_leader_of_a_term_stops_the_replica():
    core = make_core()
    core.handle(heartbeat("b", 1), LATER)
    with pytest.raises(InvariantError):
        core.handle(heartbeat("c", 1), LATER)


def test_leader_that_was_frozen_neither_accepts_nor_claims_to_lead():
    core = make_core()
    elect(core)
    for name in "bc":
        answer_heartbeat(core, name, LATER)
    assert core.leading_term(LATER) == 1
    frozen_until = LATER + 0.95
    assert core.leading_term(frozen_until) == 0
    actions = core.handle(ProposalsSubmitted((Proposal(7, b"x"),)), frozen_until)
    assert find(actions, ProposalRejected)[0].failure is ProposalFailure.NOT_ACCEPTED
    core.handle(ProposalsSubmitted((Proposal(8, b"x"),)), LATER + 60)
    assert core.role_ is Role.FOLLOWER


def answer_heartbeat(core, name, now):
    header = head(name, core.term_)
    core.handle(AppendAnswered(*header, True, core.log_.last_index, 0, core.round_), now)


def test_what_is_in_flight_to_a_silent_member_is_bounded():
    core = make_core(max_in_flight_entries=8, max_batch_entries=4)
    elect(core)
    for name in "bc":
        answer_heartbeat(core, name, LATER)
    sent = 0
    for number in range(100):
        event = ProposalsSubmitted((Proposal(number, b"x"),))
        messages = find_sent(core.handle(event, LATER), AppendRequested)
        sent += sum(len(m.entries) for m in messages if m.recipient == "ib")
    assert sent == 8


def test_member_that_lost_acknowledged_entries_is_not_sent_them_in_a_loop():
    core = make_core()
    elect(core)
    answer_heartbeat(core, "b", LATER)
    refused = AppendAnswered(*head("b", 1), False, 0, 0, core.round_)
    assert not find(core.handle(refused, LATER), SendMessage)
    assert core.refusals_ == {"hint_below_match": 1}


def test_messages_survive_the_wire():
    message = heartbeat("b", 1, [Entry(1, 1, 1, b"x")])
    data = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
    (kind,) = [k for k in CONSENSUS_MESSAGES if k.__name__ == data[0]]
    assert msgspec.convert(data, kind) == message


def test_transfer_of_a_snapshot_goes_on_while_newer_ones_are_taken():
    members = [Member(name, identity) for name, identity in SEALED.bindings.items()]
    old = Snapshot(10, 1, 0, members, b"x" * 20)
    recovered = RecoveredState(
        bootstrap_state=SEALED, base_index=10, base_term=1, snapshot=old, term=1
    )
    core = make_core(recovered=recovered, snapshot_piece_bytes=8, trailing_entries=0)
    elect(core)
    refused = AppendAnswered(*head("b", core.term_), False, 0, 0, core.round_)
    (piece,) = find_sent(core.handle(refused, LATER), SnapshotPiece)
    core.handle(SnapshotSaved(Snapshot(11, 2, 0, members, b"y" * 20)), LATER)
    answer = SnapshotAnswered(*head("b", core.term_), 10, 8, core.round_)
    (second,) = find_sent(core.handle(answer, LATER), SnapshotPiece)
    assert (piece.offset, second.offset, second.index) == (0, 8, 10)
    assert core.log_.base_index == 10
