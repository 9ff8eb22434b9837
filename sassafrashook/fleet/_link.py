"""Bandwidth that is assumed for a node's link."""

DEFAULT_LINK_BYTES_PER_S = 125_000_000.0  # 1 Gbit/s
