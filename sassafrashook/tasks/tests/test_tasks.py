"""Tests of which greenlets' failures are reported as those of the process."""

import subprocess
import sys

PROGRAM = """
import gevent
from gevent.event import Event
from sassafrashook.tasks import spawn_contained, spawn_task, watch_tasks

failed = Event()
watch_tasks(lambda task, error: (print(repr(error)), failed.set()))

def fail(text):
    raise ValueError(text)

gevent.spawn(fail, "greenlet").join()
spawn_contained(lambda error: print("contained", error), fail, "connection").join()
spawn_task(gevent.sleep, 60).kill()
spawn_task(fail, "task")
failed.wait()
"""


def test_only_failed_tasks_are_reported():
    """Guards against a process that ends with a connection, or goes on without a task."""
    command = [sys.executable, "-c", PROGRAM]
    result = subprocess.run(command, capture_output=True, text=True, check=True)
    assert result.stdout.splitlines() == ["contained connection", "ValueError('task')"]
