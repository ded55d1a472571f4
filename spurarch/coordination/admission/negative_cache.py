"""Searches for a machine that found nothing in this round, so that hundreds of equal tasks do not repeat them."""

from __future__ import annotations

from spurarch.coordination.fleet.capacity import Requirements


class NegativeCache:
    """Requirements for which no machine was found: in one zone, or in all zones (None)."""

    __slots__ = ("_failed_by_zone",)

    def __init__(self) -> None:
        self._failed_by_zone: dict[int | None, list[Requirements]] = {}

    def add(self, requirements: Requirements, zone: int | None) -> None:
        """Records a search that found nothing."""
        self._failed_by_zone.setdefault(zone, []).append(requirements)

    def covers(self, requirements: Requirements, zone: int | None) -> bool:
        """Whether a search for a task with no greater requirements found nothing there, or in all zones."""
        for scope in (None,) if zone is None else (None, zone):
            for failed in self._failed_by_zone.get(scope, ()):
                if requirements.requires_at_least(failed):
                    return True
        return False
