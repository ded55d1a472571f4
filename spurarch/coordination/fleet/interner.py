"""Dense indices in place of names: decisions work on small integers, never on strings."""

from __future__ import annotations


class StringInterner:
    """Gives each new name the next free index, for the life of the process."""

    __slots__ = ("_index", "_names")

    def __init__(self) -> None:
        self._index: dict[str, int] = {}
        self._names: list[str] = []

    def index(self, name: str) -> int:
        """The index of a name, new or known."""
        found = self._index.get(name)
        if found is None:
            found = self._index[name] = len(self._names)
            self._names.append(name)
        return found

    def name(self, index: int) -> str:
        """The name with an index."""
        return self._names[index]
