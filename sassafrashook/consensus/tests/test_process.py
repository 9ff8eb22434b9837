"""Durability of a process that is killed during writes."""

import subprocess
import sys

KILL_COUNT = 5
REPLIES_PER_START = 100


def test_acknowledged_commands_survive_kills_during_writes(tmp_path):
    acknowledged = 0
    for _ in range(KILL_COUNT):
        with start_writing_process(tmp_path) as process:
            recovered = int(process.stdout.readline())
            assert acknowledged <= recovered <= acknowledged + 1
            for _ in range(REPLIES_PER_START):
                acknowledged = int(process.stdout.readline())
            process.kill()
            acknowledged = max(
                [acknowledged, *map(int, split_complete_lines(process.stdout.read()))]
            )


def split_complete_lines(text):
    return text.rpartition("\n")[0].split()


def start_writing_process(folder):
    command = [sys.executable, "-m", "sassafrashook.consensus.tests.writing_process", str(folder)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
