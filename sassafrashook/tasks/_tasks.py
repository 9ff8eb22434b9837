"""Greenlets whose unexpected errors end the process, or only the connection that they serve."""

import gevent
from absl import logging


class Task(gevent.Greenlet):
    """Greenlet that owns state and without which the process can't continue.

    Its errors are reported through :func:`watch_tasks`.

    >>> task = spawn_task(len, "four")
    >>> task.get()
    4
    """


def spawn_task(function, *arguments):
    """Start a :class:`Task`.

    :param function: function that the task runs.
    :param arguments: positional arguments of the function.
    :returns: the started :class:`Task`.
    """
    return Task.spawn(function, *arguments)


def spawn_contained(on_failure, function, *arguments):
    """Start a greenlet that serves one connection, and without which the process can continue.

    :param on_failure: called with an unexpected error of the function, after it has been logged;
        it must end the connection.
    :param function: function that the greenlet runs.
    :param arguments: positional arguments of the function.
    :returns: the started greenlet.
    """
    return gevent.spawn(_run_contained, on_failure, function, arguments)


def _run_contained(on_failure, function, arguments):
    try:
        return function(*arguments)
    except Exception as error:
        logging.exception("event=connection_task_failed task=%s", function.__qualname__)
        on_failure(error)


def watch_tasks(on_failure):
    """Report the failure of any :class:`Task`; other greenlets keep gevent's error handling.

    :param on_failure: called with the task and the exception; it runs in the hub and must not
        block.
    """
    hub = gevent.get_hub()
    default_handler = hub.handle_error

    def report_error(context, kind, value, traceback):
        default_handler(context, kind, value, traceback)
        if isinstance(context, Task) and not issubclass(kind, gevent.GreenletExit):
            on_failure(context, value)

    hub.handle_error = report_error
