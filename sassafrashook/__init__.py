"""A router fleet for returning chats, and a library of coordination parts that others embed."""

__version__ = "0.1.0"

__all__ = ["__version__"]
