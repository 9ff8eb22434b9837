"""Tests of documents and commands that need no running fleet."""

import subprocess
import sys

import pytest

from fakes.fleet import ROOT
from sassafrashook.operations._client import ExitCode
from sassafrashook.operations._output import format_pairs, format_table

EXAMPLES = sorted((ROOT / "examples").glob("*/*.yaml"))


def run_cli(*words):
    command = [sys.executable, "-m", "sassafrashook", *words]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)


def test_every_example_document_is_valid():
    assert len(EXAMPLES) == 22
    for path in EXAMPLES:
        assert run_cli("config", "check", str(path)).returncode == ExitCode.SUCCESS, path


@pytest.mark.parametrize("role", ["router", "controller"])
def test_process_exits_on_invalid_settings(tmp_path, role):
    text = (ROOT / "examples" / "trust" / f"{role}-1.yaml").read_text()
    path = tmp_path / "settings.yaml"
    path.write_text(text + "colour: red\n")
    result = run_cli(role, "run", f"--settings={path}")
    assert result.returncode == ExitCode.USAGE_ERROR
    assert f"{path}:" in result.stderr
    assert "colour" in result.stderr


def test_non_loopback_endpoint_without_keys_is_rejected(tmp_path):
    text = (ROOT / "examples" / "trust" / "router-1.yaml").read_text()
    path = tmp_path / "settings.yaml"
    path.write_text(
        text.replace("caller_endpoint: {host: 127.0.0.1", "caller_endpoint: {host: 0.0.0.0")
    )
    result = run_cli("router", "run", f"--settings={path}")
    assert result.returncode == ExitCode.USAGE_ERROR
    assert "without keys.callers only loopback" in result.stderr


def test_exit_code_distinguishes_unreachable_controllers_from_invalid_addresses():
    result = run_cli("zone", "list", "--controllers=127.0.0.1:1", "--timeout_ms=300")
    assert result.returncode == ExitCode.UNAVAILABLE
    assert run_cli("zone", "list", "--controllers=nonsense").returncode == ExitCode.USAGE_ERROR
    status = run_cli("status", "--controllers=127.0.0.1:1,127.0.0.1:2", "--timeout_ms=300")
    assert status.returncode == ExitCode.UNAVAILABLE
    assert status.stdout.count("refuses connections") == 2


def test_text_output_is_aligned():
    table = format_table(["name", "votes"], [["controller-1", True], ["c2", False]])
    assert table.splitlines() == ["name          votes", "controller-1  yes", "c2            no"]
    assert format_pairs({"a": [], "long": "x"}).splitlines() == ["a     -", "long  x"]
