"""Adapter to the users' platform: its names, formats and calls, and no decisions.

The product's words on the left, the platform's on the right: availability zone - zone, client
account - tenant, upstream - engine or back end, host - machine, registration - instance.
"""
