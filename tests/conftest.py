"""Hooks of the test run."""

from __future__ import annotations

import pytest

from tests.known_red import KnownRedPlugin

pytest_plugins = ["pytester"]


def pytest_configure(config: pytest.Config) -> None:
    """Reads the list of tests that are known to fail."""
    config.pluginmanager.register(KnownRedPlugin(config.rootpath))
