"""Parameter validation, hashing, numbers in texts and comparison of hosts, for all packages."""

from sassafrashook.utils._clocks import read_boot_time
from sassafrashook.utils._hashing import hash_key, mix_hashes, rank_nodes
from sassafrashook.utils._hosts import normalize_host
from sassafrashook.utils._lazy_imports import make_lazy_getattr
from sassafrashook.utils._numbers import parse_decimal, parse_integer
from sassafrashook.utils._validation import Interval, Options, ParameterError, check_parameters

__all__ = [
    "Interval",
    "Options",
    "ParameterError",
    "check_parameters",
    "hash_key",
    "make_lazy_getattr",
    "mix_hashes",
    "normalize_host",
    "parse_decimal",
    "parse_integer",
    "rank_nodes",
    "read_boot_time",
]
