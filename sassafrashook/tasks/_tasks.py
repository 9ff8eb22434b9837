"""Long-lived tasks: an unexpected error in one is handed to whoever runs the process."""

import gevent


class Task(gevent.Greenlet):
    """A task that owns state; the process can't go on without it.

    See also :func:`watch_tasks`.

    >>> task = spawn_task(len, "four")
    >>> task.get()
    4
    """


def spawn_task(function, *arguments):
    """Start a task; return it."""
    return Task.spawn(function, *arguments)


def watch_tasks(on_failure):
    """Have the failure of any task reported; other greenlets keep gevent's own handling.

    :param on_failure: called with the task and the error, in the hub, so it must not block.
    """
    hub = gevent.get_hub()
    handle_error = hub.handle_error

    def handle(context, kind, value, traceback):
        handle_error(context, kind, value, traceback)
        if isinstance(context, Task) and not issubclass(kind, gevent.GreenletExit):
            on_failure(context, value)

    hub.handle_error = handle
