"""A real process killed in the middle of its writes."""

import subprocess
import sys

KILLS = 5
REPLIES = 100


def test_nothing_acknowledged_is_lost_by_kills_during_writes(tmp_path):
    acknowledged = 0
    for _ in range(KILLS):
        with start_writer(tmp_path) as process:
            recovered = int(process.stdout.readline())
            assert acknowledged <= recovered <= acknowledged + 1
            for _ in range(REPLIES):
                acknowledged = int(process.stdout.readline())
            process.kill()
            acknowledged = max([acknowledged, *map(int, whole_lines(process.stdout.read()))])


def whole_lines(text):
    return text.rpartition("\n")[0].split()


def start_writer(folder):
    command = [sys.executable, "-m", "sassafrashook.consensus.tests.writing_process", str(folder)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
