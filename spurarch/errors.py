"""Base class of the project's exceptions.

Each layer derives its own errors from `SpurarchError` and defines them next to the code that raises them. A message
names the operation that failed, its object (a file, an address, a key) and, unless it is obvious, the remedy.
"""

from __future__ import annotations


class SpurarchError(Exception):
    """Base class of all errors that this package defines."""
