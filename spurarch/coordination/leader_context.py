"""The components of a controller that the leader's work depends on."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.membership.membership import Membership
from spurarch.coordination.runtime.stall_detector import StallDetector
from spurarch.settings import Deployment, Tuning
from spurarch.storage.cloud import Cloud
from spurarch.storage.replica import Replica


@dataclass(frozen=True, slots=True)
class LeaderContext:
    """Components and settings that the leader's rounds and those of scale out use."""

    replica: Replica
    membership: Membership
    view: FleetView
    cloud: Cloud
    stall_detector: StallDetector
    deployment: Deployment
    tuning: Tuning
    process_incarnation: str
    notify_peers: Callable[[], Awaitable[None]]
