"""Loads curio without the modules that a controller never uses.

A plain ``import curio`` also loads asyncio, multiprocessing, ssl, subprocess and concurrent.futures, since curio
supports threads, worker processes and TLS. Loading these takes more processor time than the rest of a controller's
start, and a restarted controller must answer workers before their leases expire. This module imports only the event
loop, its tasks, timers, locks and sockets, and adds their public names to the package as ``curio/__init__.py`` does.
"""

from __future__ import annotations

import sys
from importlib import import_module
from importlib.machinery import PathFinder
from types import ModuleType

CURIO_MODULES = ("errors", "traps", "task", "time", "kernel", "sync", "queue", "io")


class _PlaceholderFuture:
    """Replaces concurrent.futures.Future, which curio uses only to communicate with threads."""

    def __init__(self) -> None:
        raise RuntimeError("curio was loaded without thread support; see spurarch.transport.curio_loader")


class _PlaceholderTlsError(OSError):
    """Replaces the two ssl exceptions that curio catches; never raised."""


def _placeholder_modules() -> dict[str, ModuleType]:
    """Returns replacements, by name, of the modules that curio uses only for threads, processes and TLS."""
    futures, ssl = ModuleType("concurrent.futures"), ModuleType("ssl")
    futures.__dict__["Future"] = _PlaceholderFuture
    ssl.__dict__.update(SSLWantReadError=_PlaceholderTlsError, SSLWantWriteError=_PlaceholderTlsError)
    return {"asyncio": ModuleType("asyncio"), "concurrent.futures": futures, "ssl": ssl}


def install() -> None:
    """Loads curio reduced to `CURIO_MODULES`. Does nothing if curio has been imported already."""
    if "curio" in sys.modules:
        return
    spec = PathFinder.find_spec("curio")
    if spec is None or spec.submodule_search_locations is None:
        return  # curio is not installed: the later ``import curio`` raises the error
    package = ModuleType("curio")
    package.__path__ = spec.submodule_search_locations
    package.__spec__ = spec
    placeholders = {name: module for name, module in _placeholder_modules().items() if name not in sys.modules}
    sys.modules.update(placeholders)
    sys.modules["curio"] = package
    sys.modules["curio.workers"] = package.__dict__["workers"] = ModuleType("curio.workers")
    for name in CURIO_MODULES:
        module = import_module(f"curio.{name}")
        package.__dict__.update({public: getattr(module, public) for public in module.__all__})
    for name in placeholders:
        del sys.modules[name]  # other code that imports these modules gets the real ones
