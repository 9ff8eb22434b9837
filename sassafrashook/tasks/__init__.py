"""Greenlets whose failure must end the process, or only what they serve."""

from sassafrashook.tasks._tasks import Task, spawn_contained, spawn_task, watch_tasks

__all__ = ["Task", "spawn_contained", "spawn_task", "watch_tasks"]
