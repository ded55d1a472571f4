"""Interning of names: scheduling decisions use dense integer indices instead of strings."""

from __future__ import annotations


class StringInterner:
    """Assigns each new name the next index; an index never changes within the process."""

    __slots__ = ("_index", "_names")

    def __init__(self) -> None:
        self._index: dict[str, int] = {}
        self._names: list[str] = []

    def index(self, name: str) -> int:
        """Returns the index of a name; assigns one if the name is new."""
        found = self._index.get(name)
        if found is None:
            found = self._index[name] = len(self._names)
            self._names.append(name)
        return found

    def name(self, index: int) -> str:
        """Returns the name to which an index was assigned."""
        return self._names[index]
