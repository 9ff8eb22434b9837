"""Tests of the decision which software version began a stream."""

from sassafrashook.streams import LookupSource, StreamAnnouncer, StreamLedger, VersionLookup

CONTROLLERS = ("c1", "c2", "c3")


def make_lookup(is_named):
    return VersionLookup(CONTROLLERS, 2, is_named)


def test_recorded_version_is_used_although_service_has_others():
    lookup = make_lookup(is_named=True)
    lookup.add_reply("c2", "v1", ["v1", "v1.1"], True)
    assert lookup.is_decided()
    assert lookup.decide().version == "v1"


def test_record_is_waited_for_until_all_controllers_have_replied():
    lookup = make_lookup(is_named=True)
    lookup.add_reply("c1", None, ["v1"], True)
    lookup.add_reply("c3", None, ["v1"], True)
    assert not lookup.is_decided()
    assert lookup.list_missing() == ["c2"]
    lookup.add_reply("c2", None, ["v1"], True)
    assert lookup.is_decided()
    assert lookup.decide().source is LookupSource.UNKNOWN


def test_only_version_is_inferred_from_majority_for_unnamed_stream():
    lookup = make_lookup(is_named=False)
    lookup.add_reply("c1", None, ["v1"], True)
    assert not lookup.is_decided()
    lookup.add_reply("c2", None, ["v1"], True)
    assert lookup.is_decided()
    assert lookup.decide().source is LookupSource.ONLY_VERSION


def test_version_of_unnamed_stream_is_unknown_at_once_if_service_has_had_several():
    lookup = make_lookup(is_named=False)
    lookup.add_reply("c1", None, ["v1", "v1.1"], False)
    assert lookup.is_decided()
    assert lookup.decide().version is None


def test_replies_of_controllers_without_majority_do_not_count_for_inference():
    lookup = make_lookup(is_named=False)
    lookup.add_reply("c1", None, ["v1"], True)
    lookup.add_reply("c2", None, ["v1"], False)
    assert lookup.decide().version is None


def test_no_version_is_inferred_without_replies():
    assert VersionLookup([], 1, is_named=False).decide().version is None
    assert make_lookup(is_named=False).decide().version is None


def test_repeated_and_unasked_replies_are_ignored():
    lookup = make_lookup(is_named=False)
    for sender in ("c1", "c1", "c9"):
        lookup.add_reply(sender, None, ["v1"], True)
    assert lookup.decide().version is None


def test_oldest_streams_are_dropped():
    ledger = StreamLedger(max_streams=2)
    for key in (1, 2, 1, 3):
        ledger.record(key, "v1", 9.0)
    assert [ledger.find(key, 1.0) for key in (1, 2, 3)] == ["v1", None, "v1"]


def test_streams_are_announced_to_three_controllers_and_again_to_those_that_restarted():
    controllers = [f"c{n}" for n in range(5)]
    boots = dict.fromkeys(controllers, "a")
    announcer = StreamAnnouncer()
    announcer.take_due(controllers, boots, 0.0)
    announcer.record(7, "v1", 9.0)
    due = announcer.take_due(controllers, boots, 0.1)
    assert len(due) == 3
    assert announcer.take_due(controllers, boots, 0.2) == {}
    keeper = sorted(due)[0]
    assert announcer.take_due(controllers, boots | {keeper: "b"}, 0.3) == {keeper: [(7, "v1", 9.0)]}


def test_only_version_is_inferred_for_several_services_from_a_majority_for_each():
    """Guards against a service that has not been asked for counting as one of the same version."""
    lookup = VersionLookup(CONTROLLERS, 2, is_named=False, services=("a", "b"))
    lookup.add_reply("c1", None, ["v1"], True, "a")
    lookup.add_reply("c2", None, ["v1"], True, "a")
    lookup.add_reply("c2", None, ["v1"], True, "b")
    assert not lookup.is_decided()
    assert lookup.decide().version is None
    assert lookup.list_missing("b") == ["c1", "c3"]
    lookup.add_reply("c3", None, ["v1"], True, "b")
    assert lookup.decide().version == "v1"
    lookup.add_reply("c1", None, ["v2"], True, "b")
    assert lookup.decide().version is None
