"""Command line interface and the processes that it starts."""

from sassafrashook.operations._cli import main

__all__ = ["main"]
