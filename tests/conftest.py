"""Hooks of the test run."""

from __future__ import annotations

import gc
from collections.abc import Iterator

import pytest

from tests.known_red import KnownRedPlugin

pytest_plugins = ["pytester", "tests.inner_run"]


def pytest_configure(config: pytest.Config) -> None:
    """Reads the list of tests that are known to fail."""
    config.pluginmanager.register(KnownRedPlugin(config.rootpath))


@pytest.fixture(scope="module", autouse=True)
def _collect_garbage() -> Iterator[None]:
    """Has what the tests of a module left unclosed fail the last of them.

    Only what the collector finds while a test runs counts: a test of another module would fail for it, or none, as a
    worker process of pytest-xdist that ends reports nothing more.
    """
    yield
    gc.collect()
