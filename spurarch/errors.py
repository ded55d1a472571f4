"""The root of the project's exceptions.

Each layer derives its own errors from `SpurarchError` and defines them beside the code that raises them. A message says
what failed, of which object (a file, an address, a key), and what to do where that is not plain.
"""

from __future__ import annotations


class SpurarchError(Exception):
    """Base class of all errors that this package raises on purpose."""
