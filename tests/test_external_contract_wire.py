"""Every message to and from users, workers, the cloud and the state service, as documented in the protocols.

The bytes are literal. Messages that are sent are compared byte for byte; messages that are received are decoded.
"""

from __future__ import annotations

import msgspec
import pytest

from spurarch.protocol import wire
from spurarch.protocol.wire import (
    Changes,
    Command,
    Delete,
    DirectCommands,
    ErrorBody,
    Event,
    Grant,
    GrantRequest,
    Guard,
    Heartbeat,
    HeartbeatResponse,
    Item,
    JobState,
    ListedMachine,
    MachineList,
    MachineNames,
    MachineType,
    MachineTypes,
    Page,
    Put,
    Redirect,
    ScaleOutRequest,
    Submission,
    TaskStatus,
    Txn,
    TxnAnswer,
)
from spurarch.storage.records import AllocationRecord, FinalRecord, TaskEntry

SENT: list[tuple[str, bytes, msgspec.Struct]] = [
    ("job-accepted", b'{"ref":"job-000412","standing":"pending"}', JobState("job-000412", "pending")),
    (
        "job-running",
        b'{"ref":"job-000412","standing":"running","done":3,"running":13}',
        JobState("job-000412", "running", 3, 13),
    ),
    (
        "job-without-a-task-done",
        b'{"ref":"job-1","standing":"pending","done":0,"running":0}',
        JobState("job-1", "pending", 0, 0),
    ),
    ("job-cancelled", b'{"ref":"job-000412","standing":"aborted"}', JobState("job-000412", "aborted")),
    (
        "answer-to-a-report",
        b'{"baton":41,"orders":[{"verb":"run","leg":"job-000412/4","try":2},'
        b'{"verb":"halt","leg":"job-000377/1","try":1,"leeway_s":10.0},'
        b'{"verb":"forget","leg":"job-000398/0","try":1}]}',
        HeartbeatResponse(
            41,
            [
                Command("run", "job-000412/4", 2),
                Command("halt", "job-000377/1", 1, 10.0),
                Command("forget", "job-000398/0", 1),
            ],
        ),
    ),
    ("answer-without-commands", b'{"baton":41,"orders":[]}', HeartbeatResponse(41, [])),
    ("to-another-controller", b'{"steward":"croft-2"}', Redirect("croft-2")),
    ("to-any-controller", b"{}", Redirect()),
    (
        "direct-commands",
        b'{"baton":41,"tenure":1,"orders":[{"verb":"halt","leg":"job-000377/1","try":1,"leeway_s":0.0}]}',
        DirectCommands(41, 1, [Command("halt", "job-000377/1", 1, 0.0)]),
    ),
    ("error", b'{"error":"no such job"}', ErrorBody("no such job")),
    (
        "rental",
        b'{"hire":"r-17","build":"g8","district":"a","lendable":true,"how_many":12}',
        ScaleOutRequest("r-17", "g8", "a", True, 12),
    ),
    ("machines-returned", b'{"crofts":["vm-000231","vm-000232"]}', MachineNames(["vm-000231", "vm-000232"])),
    ("lease-requested", b'{"life_ms":5000}', GrantRequest(5000)),
    (
        "transaction",
        b'{"guards":[{"key":"live/part/a","stamp":0},{"key":"history/open/01ab","stamp":9}],'
        b'"then":[{"write":"final/job-1","value":{"state":"done","tasks":2}},'
        b'{"write":"live/member/n0","value":{"node":"n0"},"tether":7},'
        b'{"write":"live/allot/a/job-1/0","value":[[[0,1,1,"vm-1",1]]]},{"drop":"live/job/job-1"}]}',
        Txn(
            [Guard("live/part/a", 0), Guard("history/open/01ab", 9)],
            [
                Put("final/job-1", FinalRecord("done", 2)),
                Put("live/member/n0", {"node": "n0"}, 7),
                Put("live/allot/a/job-1/0", AllocationRecord([TaskEntry(0, 1, 1, "vm-1", 1)])),
                Delete("live/job/job-1"),
            ],
        ),
    ),
    ("transaction-that-compares", b'{"guards":[{"key":"a/b","stamp":3}],"then":[]}', Txn([Guard("a/b", 3)], [])),
]


@pytest.mark.parametrize(("body", "message"), [case[1:] for case in SENT], ids=[case[0] for case in SENT])
def test_a_message_is_sent_as_exactly_these_bytes(body: bytes, message: msgspec.Struct) -> None:
    assert wire.encode(message) == body


# Messages of users and workers


@pytest.mark.parametrize(
    ("body", "submission"),
    [
        (
            b'{"ref":"job-000412","circuit":"train","crew":"vision","gait":"batch","precedence":"high","legs":16,'
            b'"vcpus":8.0,"gpus":1.0,"memory_gb":64.0,"kit":"img-07","pull_gb":6.2,'
            b'"builds":["g8"],"district":null,"together":true,"spread":false,"lendable":true,'
            b'"reckon_s":240.0,"waypoint_s":30.0,"stow_s":4.0,"cutoff_s":900.0}',
            Submission(
                "job-000412",
                "train",
                "vision",
                "batch",
                "high",
                16,
                8.0,
                1.0,
                64.0,
                "img-07",
                6.2,
                True,
                False,
                True,
                240.0,
                30.0,
                4.0,
                ["g8"],
                None,
                900.0,
            ),
        ),
        (
            b'{"ref":"job-1","circuit":"","crew":"t","gait":"daemon","precedence":"production","legs":1,'
            b'"vcpus":1,"gpus":0,"memory_gb":1,"kit":"i","pull_gb":0,"district":"b",'
            b'"together":false,"spread":true,"lendable":false,"reckon_s":0,"waypoint_s":0,"stow_s":0,'
            b'"later":{"x":[1]}}',
            Submission(
                "job-1",
                "",
                "t",
                "daemon",
                "production",
                1,
                1.0,
                0.0,
                1.0,
                "i",
                0.0,
                False,
                True,
                False,
                0.0,
                0.0,
                0.0,
                None,
                "b",
                None,
            ),
        ),
    ],
    ids=["full", "short"],
)
def test_a_submission_is_understood(body: bytes, submission: Submission) -> None:
    assert wire.submission_decoder.decode(body) == submission


@pytest.mark.parametrize("gait", ["batch", "gang", "daemon"])
@pytest.mark.parametrize("precedence", ["production", "high", "normal", "low"])
def test_every_kind_and_priority_is_taken(gait: str, precedence: str) -> None:
    body = (
        f'{{"ref":"job-1","circuit":"c","crew":"t","gait":"{gait}","precedence":"{precedence}","legs":1,'
        '"vcpus":1,"gpus":0,"memory_gb":1,"kit":"i","pull_gb":0,'
        '"together":false,"spread":false,"lendable":false,"reckon_s":0,"waypoint_s":0,"stow_s":0}'
    )

    submission = wire.submission_decoder.decode(body)

    assert (submission.kind, submission.priority) == (gait, precedence)


REPORT_BYTES = (
    b'{"croft":"vm-000231","addr":"10.1.0.232:9000","build":"g8","district":"a","lendable":true,'
    b'"tenure":1,"tally":88,"baton":41,"warning_s":30.5,'
    b'"legs":[{"leg":"job-000412/3","try":2,"standing":"running"},'
    b'{"leg":"job-000398/0","try":1,"standing":"ended","cause":"halted","stored":true}]}'
)
REPORT = Heartbeat(
    "vm-000231",
    "10.1.0.232:9000",
    "g8",
    "a",
    1,
    88,
    41,
    [TaskStatus("job-000412/3", 2, "running"), TaskStatus("job-000398/0", 1, "ended", "halted", True)],
    True,
    30.5,
)


@pytest.mark.parametrize(
    ("body", "heartbeat"),
    [
        (REPORT_BYTES, REPORT),
        (
            b'{"croft":"vm-1","addr":"10.1.0.1:9000","build":"g8","district":"a","tenure":1,"tally":0,"baton":0,'
            b'"warning_s":null,"legs":[],"later":1}',
            Heartbeat("vm-1", "10.1.0.1:9000", "g8", "a", 1, 0, 0, [], False, None),
        ),
    ],
    ids=["full", "short"],
)
def test_a_heartbeat_is_understood(body: bytes, heartbeat: Heartbeat) -> None:
    assert wire.heartbeat_decoder.decode(body) == heartbeat


# Responses of the cloud and the state service

RECEIVED_TYPES = (
    b'{"builds":[{"sku":"g8","vcpus":96,"gpus":8,"memory_gb":768,"local_gb":200,"fetch_gb_per_s":1.0,'
    b'"hourly":12.0,"spot_price":4.5,"boot_s":45,"districts":["a","b"]},'
    b'{"sku":"c4","vcpus":4,"gpus":0,"memory_gb":16,"hourly":0.2,"spot_price":0.1,"boot_s":30,"districts":["a"]}]}'
)


def test_the_price_list_is_understood() -> None:
    assert wire.types_decoder.decode(RECEIVED_TYPES) == MachineTypes(
        [
            MachineType("g8", 96.0, 8.0, 768.0, 12.0, 4.5, 45.0, ["a", "b"], 200.0, 1.0),
            MachineType("c4", 4.0, 0.0, 16.0, 0.2, 0.1, 30.0, ["a"], 0.0, 0.0),
        ]
    )


def test_the_names_of_requested_machines_are_understood() -> None:
    assert wire.names_decoder.decode(b'{"crofts":["vm-000231"]}') == MachineNames(["vm-000231"])


@pytest.mark.parametrize(("tail", "more"), [(b"", False), (b',"has_next":false', False), (b',"has_next":true', True)])
def test_a_page_of_the_machine_list_is_understood(tail: bytes, more: bool) -> None:
    body = (
        b'{"crofts":[{"ref":"vm-000231","addr":"10.1.0.232:9000","build":"g8","district":"a","lendable":true,'
        b'"standing":"running","held_s":61.5}]%s}' % tail
    )
    machine = ListedMachine("vm-000231", "10.1.0.232:9000", "g8", "a", True, "running", 61.5)
    assert wire.list_decoder.decode(body) == MachineList([machine], more)


def test_a_key_of_the_state_service_is_understood() -> None:
    item = wire.item_decoder.decode(b'{"key":"a/b","value":{"x": 1},"stamp":412,"tether":7}')
    assert (item.key, bytes(item.value), item.version, item.lease) == ("a/b", b'{"x": 1}', 412, 7)


def test_a_page_of_keys_is_understood() -> None:
    page = wire.page_decoder.decode(b'{"items":[{"key":"a/b","value":[1],"stamp":412}],"has_next":true,"ledger":431}')
    item: Item = page.items[0]
    assert (item.key, bytes(item.value), item.version, item.lease) == ("a/b", b"[1]", 412, None)
    assert (page.revision, page.more) == (431, True)
    assert wire.page_decoder.decode(b'{"items":[],"ledger":1}') == Page([], 1, False)


def test_the_answer_of_a_watch_is_understood() -> None:
    changes: Changes = wire.changes_decoder.decode(
        b'{"ledger":433,"news":[{"write":"c/9","value":{"x":1},"stamp":433},{"drop":"c/d","stamp":432}]}'
    )
    put, deletion = changes.events
    assert changes.revision == 433
    assert (put.version, put.put, put.delete, bytes(put.value)) == (433, "c/9", None, b'{"x":1}')
    assert (deletion.version, deletion.put, deletion.delete, bytes(deletion.value)) == (432, None, "c/d", b"null")
    assert isinstance(put, Event)


@pytest.mark.parametrize(
    ("body", "answer"),
    [
        (b'{"ledger":432}', TxnAnswer(432, [])),
        (b'{"failed":["a/b"],"ledger":431}', TxnAnswer(431, ["a/b"])),
    ],
    ids=["done", "conflict"],
)
def test_the_answer_to_a_transaction_is_understood(body: bytes, answer: TxnAnswer) -> None:
    assert wire.txn_decoder.decode(body) == answer


def test_a_granted_lease_is_understood() -> None:
    assert wire.grant_decoder.decode(b'{"tether":7}') == Grant(7)


# Protocol constants, paths and names


def test_the_paths_are_those_of_the_protocols() -> None:
    assert (wire.PATH_JOBS, wire.PATH_CANCEL, wire.PATH_HEALTH) == ("/submissions", "cancel", "/up")
    assert (wire.PATH_HEARTBEAT, wire.PATH_COMMANDS) == ("/agent/beat", "/do")
    assert (wire.PATH_TYPES, wire.PATH_MACHINES, wire.PATH_RELEASE) == (
        "/machine_types",
        "/machines",
        "/machines/release",
    )
    assert (wire.PATH_KV, wire.PATH_TXN, wire.PATH_WATCH) == ("/kv", "/txn", "/watch")
    assert (wire.PATH_GRANTS, wire.PATH_EXTEND) == ("/grants", "extend")


def test_the_words_are_those_of_the_protocols() -> None:
    assert (wire.BATCH, wire.GANG, wire.SERVICE) == ("batch", "gang", "daemon")
    assert wire.PRIORITIES == {"production": 0, "high": 1, "normal": 2, "low": 3}
    assert (wire.QUEUED, wire.RUNNING, wire.DONE, wire.CANCELLED) == ("pending", "running", "done", "aborted")
    assert (wire.FETCHING, wire.GATHERING, wire.CHECKPOINTING, wire.EXITED) == (
        "fetching",
        "gathering",
        "saving",
        "ended",
    )
    assert (wire.REASON_DONE, wire.REASON_ERROR, wire.REASON_STOPPED) == ("done", "error", "halted")
    assert (wire.REASON_PEER_LOST, wire.REASON_GANG_INCOMPLETE) == ("peers", "incomplete")
    assert (wire.REASON_NO_CAPACITY, wire.REASON_TASK_PRESENT, wire.REASON_UNKNOWN_TASK) == (
        "full",
        "in_use",
        "no_such",
    )
    assert (wire.START, wire.STOP, wire.FORGET) == ("run", "halt", "forget")
    assert (wire.BOOTING, wire.FAILED) == ("booting", "failed")
    assert wire.MAX_TASKS == 100_000


@pytest.mark.parametrize(
    ("name", "task"),
    [
        ("job-000412/3", ("job-000412", 3)),
        ("job-1/99999", ("job-1", 99_999)),
        ("a/b/0", ("a/b", 0)),
        ("job-1", None),
        ("job-1/", None),
        ("job-1/x", None),
        ("job-1/1000000", None),
    ],
)
def test_the_name_of_a_task_is_split(name: str, task: tuple[str, int] | None) -> None:
    assert wire.split_task(name) == task


def test_a_task_is_named_by_its_job_and_index() -> None:
    assert wire.task_name("job-000412", 3) == "job-000412/3"


@pytest.mark.parametrize(
    ("name", "valid"),
    [
        ("job-1", True),
        ("job-" + "9" * 24, True),
        ("job-" + "9" * 25, False),
        ("job-", False),
        ("Job-1", False),
        ("1", False),
    ],
)
def test_the_form_of_a_job_name_stands(name: str, valid: bool) -> None:
    assert bool(wire.JOB_ID_PATTERN.fullmatch(name)) is valid
