"""Registrations of upstreams, merged to the same result on every node."""

from sassafrashook.registry._entries import Registration, RegistrationState
from sassafrashook.registry._registry import Registry

__all__ = ["Registration", "RegistrationState", "Registry"]
