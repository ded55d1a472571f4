"""Hooks of the test run."""

from __future__ import annotations

import gc
from collections.abc import Iterator

import pytest

from tests.known_red import KnownRedPlugin

pytest_plugins = ["pytester", "tests.inner_run"]


def pytest_configure(config: pytest.Config) -> None:
    """Registers the plugin for tests that are known to fail."""
    config.pluginmanager.register(KnownRedPlugin(config.rootpath))


@pytest.fixture(scope="module", autouse=True)
def _collect_garbage() -> Iterator[None]:
    """Collects garbage after each module, so that resources left unclosed fail the last test of that module.

    Unclosed resources fail the test during which they are collected. Without this fixture they would fail a test of
    another module, or none: at its end, a worker process of pytest-xdist reports no further failures.
    """
    yield
    gc.collect()
