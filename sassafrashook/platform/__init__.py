"""Adapter to the users' platform: translates its names, formats and calls; no routing logic.

Terms of this package and of the platform: availability zone - zone, client account - tenant,
upstream - engine or back end, host - machine, registration - instance, heartbeat - liveness report,
request id - attempt id.
"""
