"""Types of simulated machines."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class MachineType:
    """A machine type."""

    name: str
    cpus: float
    memory: float
    boot_s: float
    capacity: int  # most machines in a zone
