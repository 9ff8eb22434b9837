"""Documents and commands from a terminal, without a fleet."""

import subprocess
import sys

import pytest

from fakes.fleet import ROOT
from sassafrashook.operations._client import ExitCode
from sassafrashook.operations._output import format_pairs, format_table

EXAMPLES = sorted((ROOT / "examples").glob("*/*.yaml"))


def run(*words):
    command = [sys.executable, "-m", "sassafrashook", *words]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)


def test_every_example_is_accepted():
    assert len(EXAMPLES) == 22
    for path in EXAMPLES:
        assert run("config", "check", str(path)).returncode == ExitCode.DONE, path


@pytest.mark.parametrize("role", ["router", "controller"])
def test_bad_settings_end_the_process_before_it_listens(tmp_path, role):
    text = (ROOT / "examples" / "trust" / f"{role}-1.yaml").read_text()
    path = tmp_path / "settings.yaml"
    path.write_text(text + "colour: red\n")
    result = run(role, "run", f"--settings={path}")
    assert result.returncode == ExitCode.USAGE
    assert f"{path}:" in result.stderr
    assert "colour" in result.stderr


def test_exposed_endpoint_without_keys_is_refused(tmp_path):
    text = (ROOT / "examples" / "trust" / "router-1.yaml").read_text()
    path = tmp_path / "settings.yaml"
    path.write_text(
        text.replace("caller_endpoint: {host: 127.0.0.1", "caller_endpoint: {host: 0.0.0.0")
    )
    result = run("router", "run", f"--settings={path}")
    assert result.returncode == ExitCode.USAGE
    assert "without keys.callers only loopback" in result.stderr


def test_unreachable_controllers_are_told_apart_from_unknown_outcomes():
    result = run("zone", "list", "--controllers=127.0.0.1:1", "--timeout_ms=300")
    assert result.returncode == ExitCode.UNAVAILABLE
    assert run("zone", "list", "--controllers=nonsense").returncode == ExitCode.USAGE
    status = run("status", "--controllers=127.0.0.1:1,127.0.0.1:2", "--timeout_ms=300")
    assert status.returncode == ExitCode.UNAVAILABLE
    assert status.stdout.count("refuses connections") == 2


def test_text_output_is_aligned():
    table = format_table(["name", "votes"], [["controller-1", True], ["c2", False]])
    assert table.splitlines() == ["name          votes", "controller-1  yes", "c2            no"]
    assert format_pairs({"a": [], "long": "x"}).splitlines() == ["a     -", "long  x"]
