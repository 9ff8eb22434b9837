"""Long-lived greenlets whose failure must end the process."""

from sassafrashook.tasks._tasks import Task, spawn_task, watch_tasks

__all__ = ["Task", "spawn_task", "watch_tasks"]
