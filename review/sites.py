"""The settings of the site that the cases use, as its file and DEPLOY state them."""

from __future__ import annotations

from fleet import MachineType
from installation import Site

KIGALI, HUYE, MUSANZE, RUBAVU = "kigali-east", "huye-south", "musanze-north", "rubavu-west"
SMALL, HEAVY = "umusozi-small", "kivu-heavy"
OBJECTIVES = """[[deployment.objectives]]
kind = "deadline"
class = "slope-sweep"
share = 0.96
times = 1.0
[[deployment.objectives]]
kind = "wait"
class = "profile-desk"
within_s = 1.0
share = 0.8"""


def ikirere_routes(machines: list[tuple[str, str, bool]]) -> Site:
    """Returns the site `ikirere-routes` with these machines up at the start: type, zone, cheap."""
    zones = [HUYE, KIGALI, MUSANZE, RUBAVU]
    return Site(
        controllers=[KIGALI, HUYE, MUSANZE],
        zones=zones,
        teams={f"survey-cell-{number:02}": (32.0, 80.0) for number in range(8)},
        workers={"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 30.0, "gang_peer_s": 4.0, "cancel_s": 30.0},
        state={"rps": 200.0, "write_rps": 80.0, "value_kb": 16.0, "txn_ops": 24},
        cloud={"rps": 8.0, "list_lag_s": 5.0},
        limits={"cpu": 0.54, "mem_mb": 146.0, "fd_limit": 800},
        kinds=[
            MachineType(SMALL, 4.0, 16.0, 0.22, 0.07, 30.0, 0.15, {KIGALI: 6, HUYE: 4, MUSANZE: 5, RUBAVU: 4}),
            MachineType(HEAVY, 32.0, 256.0, 1.92, 0.53, 25.0, 0.1, dict.fromkeys(zones, 1)),
        ],
        machines=machines,
        objectives=OBJECTIVES,
    )
