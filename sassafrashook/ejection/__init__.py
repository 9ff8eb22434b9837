"""Fleet-wide ejection of upstreams that fail, or are slow, compared with others of their service.

Routers count results, controllers compare them, and routers apply what the controllers decide. All
classes are without I/O. The modules are imported on first access, so that a process loads only
those of its own role.
"""

from sassafrashook.utils import make_lazy_getattr

__all__ = [
    "Ejection",
    "EjectionReason",
    "EjectionView",
    "OutlierDetector",
    "ResultCounter",
    "UpstreamResults",
]

__getattr__ = make_lazy_getattr(
    __name__,
    {
        "_detector": ("OutlierDetector",),
        "_results": ("Ejection", "EjectionReason", "ResultCounter", "UpstreamResults"),
        "_view": ("EjectionView",),
    },
)
