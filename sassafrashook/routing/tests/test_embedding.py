"""The example of an embedding program runs."""

from examples import embed_routing


def test_returning_chat_comes_back_to_its_engine(capsys):
    assert embed_routing.main()
    assert "chat 0 returned" in capsys.readouterr().out
