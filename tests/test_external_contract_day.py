"""A short run of one controller: every record that it writes and every request that it makes, byte for byte.

The other contract tests freeze single messages; this one freezes their composition: keys, values, leases, rental
names, tokens and commands. Jobs are submitted far apart, so writes don't depend on what shares a transaction.
"""

from __future__ import annotations

import re

import msgspec
import pytest

from tests.sim.exchanges import Exchange, mask_random_values, record_exchanges
from tests.sim.scenario import CLOUD_ADDRESS, STATE_ADDRESS, ScenarioRun
from tests.sim.scenario_text import Scenario

DAY = """
controllers 1
zones a
team t cpus=8 max=16
type small cpus=4 boot=5
type big cpus=8 boot=5
machines small a 1
at 3 submit job-1 tasks=1 run=3 cpus=1
at 12 submit job-2 kind=daemon priority=production tasks=1 cpus=1 spot=1 zone=a
at 20 cancel job-2
at 25 submit job-3 kind=gang tasks=2 cpus=1 run=4
at 36 submit job-4 tasks=1 cpus=8 run=100 type=big spot=1 checkpoint=5 save=1
at 55 cancel job-4
end 70
"""

# Expected records, requests, commands and responses; BOOT replaces a process name, MOMENT a timestamp.

WRITTEN: set[bytes] = {
    b'{"drop":"live/allot/a/job-1/0"}',
    b'{"drop":"live/allot/a/job-2/0"}',
    b'{"drop":"live/allot/a/job-3/0"}',
    b'{"drop":"live/allot/a/job-4/0"}',
    b'{"drop":"live/job/job-1"}',
    b'{"drop":"live/job/job-2"}',
    b'{"drop":"live/job/job-3"}',
    b'{"drop":"live/job/job-4"}',
    b'{"drop":"live/machine/a/vm-000002"}',
    b'{"write":"final/job-1","value":{"state":"done","tasks":1}}',
    b'{"write":"final/job-2","value":{"state":"aborted","tasks":1}}',
    b'{"write":"final/job-3","value":{"state":"done","tasks":2}}',
    b'{"write":"final/job-4","value":{"state":"aborted","tasks":1}}',
    b'{"write":"live/allot/a/job-1/0","value":[[[0,0,0,"",0]]]}',
    b'{"write":"live/allot/a/job-1/0","value":[[[0,1,1,"vm-000001",1]]]}',
    b'{"write":"live/allot/a/job-1/0","value":[[[0,2,1,"",0]]]}',
    b'{"write":"live/allot/a/job-2/0","value":[[[0,0,0,"",0]]]}',
    b'{"write":"live/allot/a/job-2/0","value":[[[0,1,1,"vm-000001",1]]]}',
    b'{"write":"live/allot/a/job-3/0","value":[[[0,0,0,"",0],[1,0,0,"",0]]]}',
    b'{"write":"live/allot/a/job-3/0","value":[[[0,1,1,"vm-000001",1],[1,1,1,"vm-000001",1]]]}',
    b'{"write":"live/allot/a/job-3/0","value":[[[0,2,1,"",0],[1,2,1,"",0]]]}',
    b'{"write":"live/allot/a/job-4/0","value":[[[0,0,0,"",0]]]}',
    b'{"write":"live/allot/a/job-4/0","value":[[[0,1,1,"vm-000002",1]]]}',
    (
        b'{"write":"live/job/job-1","value":{"spec":{"ref":"job-1","circuit":"c","crew":"t",'
        b'"gait":"batch","precedence":"normal","legs":1,"vcpus":1.0,"gpus":0.0,"memory_gb":1.0,"kit":"i",'
        b'"pull_gb":0.5,"together":false,"spread":false,"lendable":false,"reckon_s":5.0,"waypoint_s":0.0,'
        b'"stow_s":0.0,"builds":null,"district":null,"cutoff_s":null},"at":MOMENT,"cancelled":false,'
        b'"cancelled_at":0.0}}'
    ),
    (
        b'{"write":"live/job/job-2","value":{"spec":{"ref":"job-2","circuit":"c","crew":"t",'
        b'"gait":"daemon","precedence":"production","legs":1,"vcpus":1.0,"gpus":0.0,"memory_gb":1.0,'
        b'"kit":"i","pull_gb":0.5,"together":false,"spread":false,"lendable":true,"reckon_s":5.0,'
        b'"waypoint_s":0.0,"stow_s":0.0,"builds":null,"district":"a","cutoff_s":null},"at":MOMENT,'
        b'"cancelled":false,"cancelled_at":0.0}}'
    ),
    (
        b'{"write":"live/job/job-2","value":{"spec":{"ref":"job-2","circuit":"c","crew":"t",'
        b'"gait":"daemon","precedence":"production","legs":1,"vcpus":1.0,"gpus":0.0,"memory_gb":1.0,'
        b'"kit":"i","pull_gb":0.5,"together":false,"spread":false,"lendable":true,"reckon_s":5.0,'
        b'"waypoint_s":0.0,"stow_s":0.0,"builds":null,"district":"a","cutoff_s":null},"at":MOMENT,'
        b'"cancelled":true,"cancelled_at":MOMENT}}'
    ),
    (
        b'{"write":"live/job/job-3","value":{"spec":{"ref":"job-3","circuit":"c","crew":"t",'
        b'"gait":"gang","precedence":"normal","legs":2,"vcpus":1.0,"gpus":0.0,"memory_gb":1.0,"kit":"i",'
        b'"pull_gb":0.5,"together":false,"spread":false,"lendable":false,"reckon_s":5.0,"waypoint_s":0.0,'
        b'"stow_s":0.0,"builds":null,"district":null,"cutoff_s":null},"at":MOMENT,"cancelled":false,'
        b'"cancelled_at":0.0}}'
    ),
    (
        b'{"write":"live/job/job-4","value":{"spec":{"ref":"job-4","circuit":"c","crew":"t",'
        b'"gait":"batch","precedence":"normal","legs":1,"vcpus":8.0,"gpus":0.0,"memory_gb":1.0,"kit":"i",'
        b'"pull_gb":0.5,"together":false,"spread":false,"lendable":true,"reckon_s":5.0,"waypoint_s":5.0,'
        b'"stow_s":1.0,"builds":["big"],"district":null,"cutoff_s":null},"at":MOMENT,"cancelled":false,'
        b'"cancelled_at":0.0}}'
    ),
    (
        b'{"write":"live/job/job-4","value":{"spec":{"ref":"job-4","circuit":"c","crew":"t",'
        b'"gait":"batch","precedence":"normal","legs":1,"vcpus":8.0,"gpus":0.0,"memory_gb":1.0,"kit":"i",'
        b'"pull_gb":0.5,"together":false,"spread":false,"lendable":true,"reckon_s":5.0,"waypoint_s":5.0,'
        b'"stow_s":1.0,"builds":["big"],"district":null,"cutoff_s":null},"at":MOMENT,"cancelled":true,'
        b'"cancelled_at":MOMENT}}'
    ),
    b'{"write":"live/leader","value":{"node":"n0","boot":"BOOT"},"tether":2}',
    (b'{"write":"live/machine/a/vm-000001","value":{"type":"small","spot":false,"addr":"10.1.0.1:9000","open":true}}'),
    (b'{"write":"live/machine/a/vm-000002","value":{"type":"big","spot":true,"addr":"10.1.0.2:9000","open":false}}'),
    (b'{"write":"live/machine/a/vm-000002","value":{"type":"big","spot":true,"addr":"10.1.0.2:9000","open":true}}'),
    (b'{"write":"live/machine/a/vm-000003","value":{"type":"big","spot":true,"addr":"10.1.0.3:9000","open":true}}'),
    (
        b'{"write":"live/member/n0","value":{"node":"n0","boot":"BOOT","area":"a","unfit":[],"dark":[],'
        b'"version":1},"tether":2}'
    ),
    b'{"write":"live/part/a","value":{"node":"n0","epoch":1,"boot":""}}',
    b'{"write":"live/part/a","value":{"node":"n0","epoch":2,"boot":"BOOT"}}',
}
STATE_REQUESTS: set[tuple[str, bytes]] = {
    ("GET /kv?prefix=live/&most=1000", b""),
    ("GET /kv?prefix=live/leader&most=1000", b""),
    ("GET /kv?prefix=live/member/&most=1000", b""),
    ("GET /kv?prefix=live/part/&most=1000", b""),
    ("GET /watch?prefix=&from=N&wait_ms=0", b""),
    ("GET /watch?prefix=&from=N&wait_ms=4000", b""),
    ("POST /grants", b'{"life_ms":4000}'),
    ("POST /grants/2/extend", b"{}"),
    ("POST /txn", b""),
}
CLOUD_REQUESTS: set[tuple[str, bytes]] = {
    ("GET /machine_types", b""),
    ("GET /machines?most=500", b""),
    ("POST /machines", b'{"hire":"BOOT-1","build":"big","district":"a","lendable":true,"how_many":1}'),
    ("POST /machines", b'{"hire":"BOOT-2","build":"big","district":"a","lendable":true,"how_many":1}'),
    ("POST /machines/release", b'{"crofts":["vm-000002"]}'),
}
DIRECT_COMMANDS: set[tuple[str, bytes]] = {
    ("POST /do", b'{"baton":137438953473,"tenure":1,"orders":[{"verb":"run","leg":"job-1/0","try":1}]}'),
    ("POST /do", b'{"baton":137438953474,"tenure":1,"orders":[{"verb":"run","leg":"job-2/0","try":1}]}'),
    (
        "POST /do",
        b'{"baton":137438953475,"tenure":1,"orders":[{"verb":"halt","leg":"job-2/0","try":1,"leeway_s":0.0}]}',
    ),
    (
        "POST /do",
        b'{"baton":137438953476,"tenure":1,"orders":[{"verb":"run","leg":"job-3/0","try":1},'
        b'{"verb":"run","leg":"job-3/1","try":1}]}',
    ),
    ("POST /do", b'{"baton":137438953480,"tenure":1,"orders":[{"verb":"run","leg":"job-4/0","try":1}]}'),
    (
        "POST /do",
        b'{"baton":137438953483,"tenure":1,"orders":[{"verb":"halt","leg":"job-4/0","try":1,"leeway_s":0.0}]}',
    ),
}
ANSWERED_COMMANDS: set[bytes] = {
    b'{"verb":"forget","leg":"job-1/0","try":1}',
    b'{"verb":"forget","leg":"job-2/0","try":1}',
    b'{"verb":"forget","leg":"job-3/0","try":1}',
    b'{"verb":"forget","leg":"job-3/1","try":1}',
    b'{"verb":"forget","leg":"job-4/0","try":1}',
}
USERS_ANSWERS: set[tuple[str, int, bytes]] = {
    ("GET /submissions/job-1", 200, b'{"ref":"job-1","standing":"done","done":1,"running":0}'),
    ("GET /submissions/job-1", 200, b'{"ref":"job-1","standing":"running","done":0,"running":1}'),
    ("GET /submissions/job-2", 200, b'{"ref":"job-2","standing":"aborted"}'),
    ("GET /submissions/job-2", 200, b'{"ref":"job-2","standing":"running","done":0,"running":1}'),
    ("GET /submissions/job-3", 200, b'{"ref":"job-3","standing":"done","done":2,"running":0}'),
    ("GET /submissions/job-3", 200, b'{"ref":"job-3","standing":"running","done":0,"running":2}'),
    ("GET /submissions/job-4", 200, b'{"ref":"job-4","standing":"aborted"}'),
    ("GET /submissions/job-4", 200, b'{"ref":"job-4","standing":"pending","done":0,"running":0}'),
    ("GET /submissions/job-4", 200, b'{"ref":"job-4","standing":"running","done":0,"running":1}'),
    ("POST /submissions", 201, b'{"ref":"job-1","standing":"pending"}'),
    ("POST /submissions", 201, b'{"ref":"job-2","standing":"pending"}'),
    ("POST /submissions", 201, b'{"ref":"job-3","standing":"pending"}'),
    ("POST /submissions", 201, b'{"ref":"job-4","standing":"pending"}'),
    ("POST /submissions/job-2/cancel", 200, b'{"ref":"job-2","standing":"aborted"}'),
    ("POST /submissions/job-4/cancel", 200, b'{"ref":"job-4","standing":"aborted"}'),
}


class Transaction(msgspec.Struct):
    """The part of a transaction that is compared: its changes, undecoded."""

    then: list[msgspec.Raw]


class Orders(msgspec.Struct):
    """The part of a heartbeat response that is compared: its commands, undecoded."""

    orders: list[msgspec.Raw] = []


@pytest.fixture(scope="module")
def exchanges() -> list[Exchange]:
    """Returns all requests of the run, with their responses."""
    day = ScenarioRun(Scenario.parse(DAY, {}))
    out = record_exchanges(day)
    day.run()
    assert day.problems == []
    return out


def test_the_day_writes_exactly_these_records(exchanges: list[Exchange]) -> None:
    written = {
        mask_random_values(bytes(change))
        for exchange in exchanges
        if exchange.address == STATE_ADDRESS and exchange.line == "POST /txn" and exchange.status == 200
        for change in msgspec.json.decode(exchange.body, type=Transaction).then
    }
    assert written == WRITTEN


def test_the_day_asks_the_state_service_exactly_so(exchanges: list[Exchange]) -> None:
    asked = {
        (re.sub(r"from=[0-9]+", "from=N", exchange.line), b"" if exchange.line == "POST /txn" else exchange.body)
        for exchange in exchanges
        if exchange.address == STATE_ADDRESS
    }
    assert asked == STATE_REQUESTS


def test_the_day_asks_the_cloud_exactly_so(exchanges: list[Exchange]) -> None:
    asked = {
        (exchange.line, mask_random_values(exchange.body))
        for exchange in exchanges
        if exchange.address == CLOUD_ADDRESS
    }
    assert asked == CLOUD_REQUESTS


def test_the_day_commands_its_workers_exactly_so(exchanges: list[Exchange]) -> None:
    direct = {
        (e.line, e.body) for e in exchanges if e.source == "n0" and e.address not in (STATE_ADDRESS, CLOUD_ADDRESS)
    }
    answered = {
        bytes(order)
        for exchange in exchanges
        if exchange.line == "POST /agent/beat"
        for order in msgspec.json.decode(exchange.answer, type=Orders).orders
    }
    assert direct == DIRECT_COMMANDS
    assert answered == ANSWERED_COMMANDS


def test_the_day_answers_its_users_exactly_so(exchanges: list[Exchange]) -> None:
    answers = {(e.line, e.status, e.answer) for e in exchanges if e.source == "users"}
    assert answers == USERS_ANSWERS
