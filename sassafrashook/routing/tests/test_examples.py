"""Doctests of the routing modules."""

import doctest
import importlib

import pytest


@pytest.mark.parametrize("module", ["_client", "_deadlines", "_ledger", "_retries", "_warmup"])
def test_doctests_pass(module):
    result = doctest.testmod(importlib.import_module(f"sassafrashook.routing.{module}"))
    assert result.attempted > 0 and result.failed == 0
