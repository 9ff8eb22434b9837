"""The command line, and the processes that it runs."""

from sassafrashook.operations._cli import main

__all__ = ["main"]
