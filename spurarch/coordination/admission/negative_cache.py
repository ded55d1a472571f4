"""Cache of failed searches for a machine, so that hundreds of equal tasks do not repeat them within a round."""

from __future__ import annotations

from spurarch.coordination.fleet.capacity import Requirements


class NegativeCache:
    """Requirements for which no machine was found, by zone; the zone None means all zones.

    Priorities are not compared.
    """

    __slots__ = ("_failed_by_zone",)

    def __init__(self) -> None:
        self._failed_by_zone: dict[int | None, list[Requirements]] = {}

    def add(self, requirements: Requirements, zone: int | None) -> None:
        """Records a search in one zone, or in all zones, that found no machine."""
        self._failed_by_zone.setdefault(zone, []).append(requirements)

    def covers(self, requirements: Requirements, zone: int | None) -> bool:
        """Returns whether a search with no greater requirements has already failed in the zone or in all zones."""
        for scope in (None,) if zone is None else (None, zone):
            for failed in self._failed_by_zone.get(scope, ()):
                if requirements.requires_at_least(failed):
                    return True
        return False
