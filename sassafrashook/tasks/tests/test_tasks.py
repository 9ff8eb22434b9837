"""Tests that only the failure of a task is reported, not that of another greenlet."""

import subprocess
import sys

PROGRAM = """
import gevent
from gevent.event import Event
from sassafrashook.tasks import spawn_task, watch_tasks

failed = Event()
watch_tasks(lambda task, error: (print(repr(error)), failed.set()))

def fail(text):
    raise ValueError(text)

gevent.spawn(fail, "greenlet").join()
spawn_task(gevent.sleep, 60).kill()
spawn_task(fail, "task")
failed.wait()
"""


def test_only_failed_tasks_are_reported():
    command = [sys.executable, "-c", PROGRAM]
    result = subprocess.run(command, capture_output=True, text=True, check=True)
    assert result.stdout.splitlines() == ["ValueError('task')"]
