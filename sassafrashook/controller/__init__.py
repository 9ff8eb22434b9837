"""Services that a controller process runs on top of its replicated log."""

from sassafrashook.controller._admin import AdminApplication
from sassafrashook.controller._claims import ClaimService
from sassafrashook.controller._clock import ClockService
from sassafrashook.controller._configuration import ConfigurationService, Rollout
from sassafrashook.controller._directories import Member, MemberDirectory, UpstreamDirectory
from sassafrashook.controller._documents import (
    DocumentProblem,
    check_configuration,
    convert_document,
)
from sassafrashook.controller._order_client import OrderDocument, OrderResponse, send_order
from sassafrashook.controller._orders import OrderRequest, OrderResult, OrderService
from sassafrashook.controller._permits import PermitService
from sassafrashook.controller._proposer import CommandProposer, read_wall_clock_ms
from sassafrashook.controller._service import ControllerService

__all__ = [
    "AdminApplication",
    "ClaimService",
    "ClockService",
    "CommandProposer",
    "ConfigurationService",
    "ControllerService",
    "DocumentProblem",
    "Member",
    "MemberDirectory",
    "OrderDocument",
    "OrderRequest",
    "OrderResponse",
    "OrderResult",
    "OrderService",
    "PermitService",
    "Rollout",
    "UpstreamDirectory",
    "check_configuration",
    "convert_document",
    "read_wall_clock_ms",
    "send_order",
]
