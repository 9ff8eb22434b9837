"""Test of the example that embeds the routing cores in another program."""

from examples import embed_routing


def test_returning_chat_is_routed_to_its_previous_engine(capsys):
    assert embed_routing.main()
    assert "chat 0 returned" in capsys.readouterr().out
