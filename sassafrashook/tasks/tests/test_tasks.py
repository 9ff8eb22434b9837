"""A failed task is reported; a failed greenlet of another kind is not."""

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

gevent.spawn(fail, "ordinary").join()
spawn_task(gevent.sleep, 60).kill()
spawn_task(fail, "owner")
failed.wait()
"""


def test_only_tasks_are_reported():
    command = [sys.executable, "-c", PROGRAM]
    result = subprocess.run(command, capture_output=True, text=True, check=True)
    assert result.stdout.splitlines() == ["ValueError('owner')"]
