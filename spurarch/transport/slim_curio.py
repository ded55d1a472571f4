"""Loads curio without the parts that a controller never uses.

A plain ``import curio`` also loads asyncio, multiprocessing, ssl, subprocess and concurrent.futures, because curio can
talk to threads, worker processes and TLS peers. They cost more processor time than the rest of a controller's start,
and a controller that starts again has to answer workers before their leases run out. This module imports only the
event loop, its tasks, timers, locks and sockets, and binds their public names to the package as curio itself does.
"""

from __future__ import annotations

import sys
from importlib import import_module
from importlib.machinery import PathFinder
from types import ModuleType

PARTS = ("errors", "traps", "task", "time", "kernel", "sync", "queue", "io")


class _UnusedFuture:
    """Stands for concurrent.futures.Future, which curio needs only to talk to threads."""

    def __init__(self) -> None:
        raise RuntimeError("threads are not available in this process")


class _NoTlsError(OSError):
    """Stands for the two errors of TLS sockets; nothing here raises it."""


def _placeholders() -> dict[str, ModuleType]:
    """Modules that curio's event loop imports and then uses for threads, processes and TLS only."""
    futures, ssl = ModuleType("concurrent.futures"), ModuleType("ssl")
    futures.__dict__["Future"] = _UnusedFuture
    ssl.__dict__.update(SSLWantReadError=_NoTlsError, SSLWantWriteError=_NoTlsError)
    return {"asyncio": ModuleType("asyncio"), "concurrent.futures": futures, "ssl": ssl}


def install() -> None:
    """Makes ``import curio`` mean its event loop alone, unless curio has been imported already."""
    if "curio" in sys.modules:
        return
    spec = PathFinder.find_spec("curio")
    if spec is None or spec.submodule_search_locations is None:
        return  # the import itself then says what is missing
    package = ModuleType("curio")
    package.__path__ = spec.submodule_search_locations
    package.__spec__ = spec
    placeholders = {name: module for name, module in _placeholders().items() if name not in sys.modules}
    sys.modules.update(placeholders)
    sys.modules["curio"] = package
    sys.modules["curio.workers"] = package.__dict__["workers"] = ModuleType("curio.workers")
    for name in PARTS:
        module = import_module(f"curio.{name}")
        package.__dict__.update({public: getattr(module, public) for public in module.__all__})
    for name in placeholders:
        del sys.modules[name]  # whoever else imports them gets the real ones
