"""What upstreams say of themselves, merged alike wherever it is heard."""

from sassafrashook.registry._entries import Registration, RegistrationState
from sassafrashook.registry._registry import Registry

__all__ = ["Registration", "RegistrationState", "Registry"]
