"""A small rebuild: every transaction of the controller that rebuilds the records, byte for byte.

The state service loses its data while a service runs and after an array is done; there is no archive. BOOT replaces a
process name, FIRST and NEXT the names of the two histories, MOMENT a timestamp.
"""

from __future__ import annotations

import json
import re

from tests.sim.exchanges import mask_random_values, record_exchanges
from tests.sim.recovery import RecoveryScenarioRun
from tests.sim.scenario import STATE_ADDRESS
from tests.sim.scenario_text import Scenario

DAY = """
controllers 1
zones a
archive off
team t cpus=8 max=16
type small cpus=4 boot=5
machines small a 1
at 3 submit job-1 tasks=1 run=3 cpus=1
at 10 submit job-2 kind=daemon priority=production tasks=1 cpus=1
at 20 wipe
end 45
"""
JOB_2 = (
    b'{"spec":{"ref":"job-2","circuit":"c","crew":"t","gait":"daemon","precedence":"production","legs":1,"vcpus":1.0,'
    b'"gpus":0.0,"memory_gb":1.0,"kit":"i","pull_gb":0.5,"together":false,"spread":false,"lendable":false,'
    b'"reckon_s":5.0,"waypoint_s":0.0,"stow_s":0.0,"builds":null,"district":null,"cutoff_s":null},'
    b'"at":MOMENT,"cancelled":false,"cancelled_at":0.0}'
)
TRANSACTIONS = [
    (
        b'{"guards":[{"key":"history/claim","stamp":0}],"then":[{"write":"history/claim",'
        b'"value":{"node":"n0","boot":"BOOT","name":"NEXT","beat":1,"epoch":0,"step":"sealing"}}]}'
    ),
    (
        b'{"guards":[{"key":"history/claim","stamp":1},{"key":"history/rebuild/NEXT","stamp":0}],'
        b'"then":[{"write":"history/claim","value":{"node":"n0","boot":"BOOT","name":"NEXT","beat":2,'
        b'"epoch":65538,"step":"sealing"}},{"write":"history/rebuild/NEXT","value":{"number":2}}]}'
    ),
    (
        b'{"guards":[{"key":"history/claim","stamp":2},{"key":"history/rebuild/NEXT","stamp":2}],'
        b'"then":[{"write":"history/claim","value":{"node":"n0","boot":"BOOT","name":"NEXT","beat":3,'
        b'"epoch":65538,"step":"collecting"}}]}'
    ),
    (
        b'{"guards":[{"key":"history/claim","stamp":3},{"key":"history/rebuild/NEXT","stamp":2}],'
        b'"then":[{"write":"history/claim","value":{"node":"n0","boot":"BOOT","name":"NEXT","beat":4,'
        b'"epoch":65538,"step":"collecting"}}]}'
    ),
    (
        b'{"guards":[{"key":"history/claim","stamp":4},{"key":"history/rebuild/NEXT","stamp":2}],'
        b'"then":[{"write":"history/claim","value":{"node":"n0","boot":"BOOT","name":"NEXT","beat":5,'
        b'"epoch":65538,"step":"writing"}},{"write":"h2.NEXT/live/job/job-2","value":'
        + JOB_2
        + b'},{"write":"h2.NEXT/live/allot/a/job-2/0","value":[[[0,1,1,"vm-000001",1]]]},'
        b'{"write":"h2.NEXT/packed/0","value":{"jobs":{"job-1":["done",1]}}},'
        b'{"write":"h2.NEXT/live/part/a","value":{"node":"","epoch":65538,"boot":""}}]}'
    ),
    (
        b'{"guards":[{"key":"history/claim","stamp":5},{"key":"history/rebuild/NEXT","stamp":2},'
        b'{"key":"history/open/NEXT","stamp":0}],"then":[{"write":"history/claim","value":{"node":"n0",'
        b'"boot":"BOOT","name":"NEXT","beat":6,"epoch":65538,"step":"opened"}},'
        b'{"write":"history/current","value":{"name":"NEXT","number":2,"epoch":65538,"packed":1,'
        b'"uncertain":true,"parent":"FIRST","archived_answers":false,"installation":"","seeded":false}},'
        b'{"write":"history/open/NEXT","value":{"number":2}},{"drop":"history/rebuild/NEXT"},'
        b'{"write":"live/leader","value":{"node":"","boot":""}}]}'
    ),
]


def test_a_rebuilding_makes_exactly_these_transactions() -> None:
    day = RecoveryScenarioRun(Scenario.parse(DAY, {}))
    exchanges = record_exchanges(day)

    day.run()

    made = [
        e.body for e in exchanges if e.source == "n0" and e.address == STATE_ADDRESS and b'"history/claim"' in e.body
    ]
    first, following = (name.encode() for name in _histories(made[-1]))
    made = [mask_random_values(body).replace(first, b"FIRST").replace(following, b"NEXT") for body in made]
    assert day.problems == []
    assert made == TRANSACTIONS


def _histories(last: bytes) -> tuple[str, str]:
    """Returns the names of the lost and the rebuilt history in the last transaction of a rebuild."""
    current = json.loads(last)["then"][1]["value"]
    return current["parent"], current["name"]


ARCHIVED_DAY = """
controllers 1
zones a
team t cpus=8 max=16
type small cpus=4 boot=5
machines small a 1
end 10
"""


def test_an_archiver_publishes_how_far_it_is_in_exactly_this_transaction() -> None:
    day = RecoveryScenarioRun(Scenario.parse(ARCHIVED_DAY, {}))
    exchanges = record_exchanges(day)

    day.run()

    made = {e.body for e in exchanges if e.source == "archive" and e.address == STATE_ADDRESS and e.line == "POST /txn"}
    name = day.store.keys["history/current"][0]["name"].encode()
    made = {re.sub(rb'"(stamp|revision)":[0-9]+', rb'"\1":N', body.replace(name, b"FIRST")) for body in made}
    made = {re.sub(rb'"archiver":"[0-9a-f]{12}"', b'"archiver":"WHO"', body) for body in made}
    assert day.problems == []
    assert made == {
        b'{"guards":[{"key":"history/open/FIRST","stamp":N}],'
        b'"then":[{"write":"history/archived","value":{"name":"FIRST","revision":N,"archiver":"WHO"}}]}'
    }
