"""Unexpected errors of the tasks that serve one connection, or read one file."""

import gc

import gevent
from gevent.event import Event

from sassafrashook.daemons import _process
from sassafrashook.http1._server import ServerConnection
from sassafrashook.http1._upstream import UpstreamConnection
from sassafrashook.platform.tests.scripted_upstreams import respond_with_name, wait_for
from sassafrashook.tasks import Task

LARGE_BODY = bytes(90_000)  # sent by a task of its own


def fail_once(monkeypatch, owner, name):
    """Let a method fail unexpectedly at its first call."""
    method, errors = getattr(owner, name), [RuntimeError("odd")]

    def fail(*arguments):
        if errors:
            raise errors.pop()
        return method(*arguments)

    monkeypatch.setattr(owner, name, fail)


def test_error_while_receiving_from_a_client_ends_only_its_connection(start_harness, monkeypatch):
    """Guards against a task of one connection that counts as one of the process."""
    harness = start_harness(respond_with_name)
    fail_once(monkeypatch, ServerConnection, "_record_held")
    with gevent.Timeout(2.0):
        assert harness.send_request("/orders/7")[0] == 0
    assert harness.send_request("/orders/7")[0] == 200


def test_error_while_sending_to_an_upstream_ends_only_its_connection(start_harness, monkeypatch):
    """Guards against the same of a task that sends a long request."""
    harness = start_harness(respond_with_name, respond_with_name)
    fail_once(monkeypatch, UpstreamConnection, "_send_all")
    with gevent.Timeout(4.5):
        harness.send_request("/counts/7", LARGE_BODY)
    assert harness.send_request("/counts/7", LARGE_BODY)[0] == 200


def test_no_task_of_a_connection_counts_as_one_of_the_process(start_harness):
    """Guards against a further task whose end ends the process with all its requests."""
    harness = start_harness(respond_with_name)
    before = {id(task) for task in list_tasks()}
    sock = harness.connect()
    assert harness.send_request("/orders/7", LARGE_BODY, sock=sock)[0] == 200
    assert [task for task in list_tasks() if id(task) not in before] == []


def list_tasks():
    return [item for item in gc.get_objects() if isinstance(item, Task) and not item.ready()]


def test_settings_that_cannot_be_read_or_applied_leave_the_process_as_it_is(tmp_path):
    """Guards against a process that ends because of a file that is read again."""
    file, calls, requested = tmp_path / "settings", [], Event()
    file.write_text("1")

    def load(path):
        calls.append(path)
        raise RuntimeError("odd")

    task = gevent.spawn(_process._watch_settings, str(file), load, None, requested, None)
    for count in (1, 2):
        requested.set()
        assert wait_for(lambda count=count: len(calls) >= count)
        gevent.sleep(0.05)
    assert not task.ready()
    task.kill()
