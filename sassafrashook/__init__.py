"""Routers for multi-turn chats, and a library of coordination components to embed."""

__version__ = "0.1.0"

__all__ = ["__version__"]
