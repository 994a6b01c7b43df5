"""Stored and sent bytes stay the same when identifiers are renamed.

Records, checkpoints, messages and datagrams are encoded by the name or the position
of their fields. A rename or a new order of these fields changes data that routers of
two builds share: one of them then rejects what the other wrote, or misreads it. The
literals here were written by the build of commit c614204, before a renaming of
identifiers.
"""

import asyncio

import msgspec
import pytest

from lavendershift import datagrams, gossip
from lavendershift.balances import BudgetView
from lavendershift.configuration import Configuration
from lavendershift.configuration_state import (
    ConfigurationState,
    NodeState,
    decode_state,
)
from lavendershift.datagrams import Datagrams
from lavendershift.evacuation.coldgossip import ServerCold
from lavendershift.gossip import LoadUpdate, ServerLeaving, VmLeaving
from lavendershift.grantnotices import GrantInquiry, GrantNotice, GrantReply
from lavendershift.incarnations import IncarnationState, Membership
from lavendershift.ledger import Ledger
from lavendershift.limitgossip import Limit, LimitUpdate
from lavendershift.messages import (
    MESSAGE_KINDS,
    Appended,
    AppendRequest,
    AttemptNote,
    AttemptsNotice,
    BorrowRequest,
    CustomerDemand,
    Expired,
    Failure,
    Heartbeat,
    LoanGrant,
    NoticeAck,
    ReadReply,
    ReadRequest,
    decode_message,
    encode_message,
)
from lavendershift.permits import ColdPermitRequest, PermitReply, PermitRequest
from lavendershift.quarantinegossip import (
    AnsweredParts,
    CrashReport,
    QuarantineFact,
    QuarantineUpdate,
    SuspectPrompt,
)
from lavendershift.recordexchange import VersionInquiry, VersionNotice
from lavendershift.records import (
    RECORD_KINDS,
    Abandon,
    Change,
    Charge,
    Checkpoint,
    Claim,
    Close,
    Evict,
    EvictAck,
    Grant,
    Join,
    Outcome,
    Recall,
    Recover,
    Release,
    Return,
    Setting,
    TopUp,
    Transfer,
    Unspent,
    decode_entry,
    decode_record,
    encode_record,
)
from lavendershift.relay import StreamCache
from lavendershift.requeststates import AttemptCharge, RequestState
from lavendershift.serverplaces import PlaceRelease, PlaceReply, PlaceRequest
from lavendershift.tokenloans import Loan, LoanRequest
from lavendershift.tokenstocks import StockReport
from lavendershift.topups import TopUpEntry
from lavendershift.trials import TrialNotice, TrialReply, TrialRequest
from lavendershift.verdicts import Status, Verdict

BUDGET = "desks/rennes/plume"
KEY = "desks/rennes/plume/k1"

RECORDS = [
    (
        '["change","c-1",4,"ana",[["desks/rennes","requests_per_s",5]]]',
        Change(
            id="c-1",
            base_offset=4,
            author="ana",
            settings=[Setting(path="desks/rennes", key="requests_per_s", value=5)],
        ),
    ),
    (
        '["top_up","t-1","desks/rennes/plume",100000,"ana"]',
        TopUp(id="t-1", budget=BUDGET, tokens=100000, author="ana"),
    ),
    (
        '["join","j-1","1-a","r1","rennes",3]',
        Join(
            id="j-1",
            incarnation="1-a",
            vm="r1",
            failure_domain="rennes",
            config_offset=3,
        ),
    ),
    (
        '["grant","g-1","desks/rennes/plume","1-a",5000,3]',
        Grant(id="g-1", budget=BUDGET, incarnation="1-a", tokens=5000, config_offset=3),
    ),
    (
        '["return","r-1","desks/rennes/plume","1-a",100]',
        Return(id="r-1", budget=BUDGET, incarnation="1-a", tokens=100),
    ),
    (
        '["transfer","x-1","desks/rennes/plume","1-a","2-b",50,"l-1"]',
        Transfer(
            id="x-1",
            budget=BUDGET,
            sender="1-a",
            receiver="2-b",
            tokens=50,
            loan="l-1",
        ),
    ),
    (
        '["recall","rc-1","desks/rennes/plume","1-a",70]',
        Recall(id="rc-1", budget=BUDGET, incarnation="1-a", tokens=70),
    ),
    (
        '["charge","ch-1","desks/rennes/plume","1-a","desks/rennes/plume/k1",12,"a-1"]',
        Charge(
            id="ch-1",
            budget=BUDGET,
            incarnation="1-a",
            request=KEY,
            tokens=12,
            attempt="a-1",
        ),
    ),
    (
        '["claim","cl-1","desks/rennes/plume/k1","desks/rennes/plume","1-a","f00d"]',
        Claim(
            id="cl-1",
            request=KEY,
            budget=BUDGET,
            incarnation="1-a",
            fingerprint="f00d",
        ),
    ),
    (
        '["abandon","ab-1","desks/rennes/plume/k1","1-a"]',
        Abandon(id="ab-1", request=KEY, incarnation="1-a"),
    ),
    (
        '["outcome","o-1","desks/rennes/plume/k1","desks/rennes/plume","1-a",3,200,'
        '"application/json","{}","a-1"]',
        Outcome(
            id="o-1",
            request=KEY,
            budget=BUDGET,
            incarnation="1-a",
            tokens=3,
            status=200,
            content_type="application/json",
            body="{}",
            attempt="a-1",
        ),
    ),
    (
        '["evict","e-1","1-a","r2"]',
        Evict(id="e-1", incarnation="1-a", author="r2"),
    ),
    (
        '["evict_ack","ea-1","1-a","2-b"]',
        EvictAck(id="ea-1", evicted="1-a", incarnation="2-b"),
    ),
    (
        '["close","cs-1","1-a",[["desks/rennes/plume",30]]]',
        Close(
            id="cs-1", incarnation="1-a", unspent=[Unspent(budget=BUDGET, tokens=30)]
        ),
    ),
    (
        '["release","rl-1","desks/rennes/plume","1-a",10,"vm lost","ana"]',
        Release(
            id="rl-1",
            budget=BUDGET,
            incarnation="1-a",
            tokens=10,
            evidence="vm lost",
            author="ana",
        ),
    ),
    (
        '["recover","rv-1","desks/rennes/plume","1-a","desks/rennes/plume/k1",5,"a-1",'
        '"r2"]',
        Recover(
            id="rv-1",
            budget=BUDGET,
            incarnation="1-a",
            request=KEY,
            tokens=5,
            attempt="a-1",
            author="r2",
        ),
    ),
    (
        '["checkpoint","k-1","ledger-0",12,0,1,"{}"]',
        Checkpoint(
            id="k-1", stream="ledger-0", next_offset=12, part=0, parts=1, state="{}"
        ),
    ),
]


def list_type_names(table):
    return [type(value).__name__ for _, value in table]


def encode_json(record):
    return msgspec.json.encode(encode_record(record)).decode()


@pytest.mark.parametrize("text, record", RECORDS, ids=list_type_names(RECORDS))
def test_a_record_keeps_its_json_form(text, record):
    decoded = decode_record(msgspec.json.decode(text))
    assert type(decoded) is type(record)
    assert decoded == record
    assert encode_json(decoded) == text


def test_every_kind_of_record_is_covered():
    assert {type(record) for _, record in RECORDS} == set(RECORD_KINDS.values())


ABANDON_ENTRY = [3, 1000, ["abandon", "ab-1", KEY, "1-a"]]

MESSAGES = [
    (
        "93a6617070656e64a86c65646765722d309191a56772616e74",
        AppendRequest(stream="ledger-0", records=[["grant"]]),
    ),
    ("92a8617070656e64656407", Appended(first_offset=7)),
    (
        "95a472656164a86c65646765722d300364cd01f4",
        ReadRequest(stream="ledger-0", offset=3, limit=100, wait_ms=500),
    ),
    (
        "95a7656e74726965739007070c",
        ReadReply(entries=[], next_offset=7, end_offset=7, confirmed_ms=12),
    ),
    (
        "95a7656e7472696573919303cd03e894a76162616e646f6ea461622d31"
        "b56465736b732f72656e6e65732f706c756d652f6b31a3312d6104070c",
        ReadReply(
            entries=[ABANDON_ENTRY], next_offset=4, end_offset=7, confirmed_ms=12
        ),
    ),
    ("92a76578706972656403", Expired(first_offset=3)),
    (
        "98a9686561727462656174a27231a3312d61a672656e6e6573c304099192"
        "b26465736b732f72656e6e65732f706c756d65cb3ff8000000000000",
        Heartbeat(
            vm="r1",
            incarnation="1-a",
            failure_domain="rennes",
            ready=True,
            config_offset=4,
            ledger_offset=9,
            demands=[CustomerDemand(customer=BUDGET, requests_per_s=1.5)],
        ),
    ),
    (
        "95a6626f72726f77a3622d31b26465736b732f72656e6e65732f706c756d65a3312d615a",
        BorrowRequest(id="b-1", budget=BUDGET, incarnation="1-a", tokens=90),
    ),
    (
        "96a46c656e74a3622d31b26465736b732f72656e6e65732f706c756d65a3312d61a3322d625a",
        LoanGrant(id="b-1", budget=BUDGET, sender="1-a", receiver="2-b", tokens=90),
    ),
    (
        "95a8617474656d707473a3312d61c39195a3312d61a3612d31"
        "b56465736b732f72656e6e65732f706c756d652f6b31"
        "b26465736b732f72656e6e65732f706c756d65ad31302e302e302e393a3830303091a3612d30",
        AttemptsNotice(
            incarnation="1-a",
            whole=True,
            sent=[
                AttemptNote(
                    incarnation="1-a",
                    attempt="a-1",
                    request=KEY,
                    budget=BUDGET,
                    server="10.0.0.9:8000",
                )
            ],
            charged=["a-0"],
        ),
    ),
    ("92a56e6f746564a3312d61", NoticeAck(incarnation="1-a")),
    (
        "93a76661696c757265aa756e6578706563746564a178",
        Failure(reason="unexpected", detail="x"),
    ),
]


@pytest.mark.parametrize("data, message", MESSAGES, ids=list_type_names(MESSAGES))
def test_a_message_keeps_its_bytes(data, message):
    decoded = decode_message(bytes.fromhex(data))
    assert type(decoded) is type(message)
    assert decoded == message
    assert encode_message(decoded).hex() == data


def test_every_kind_of_message_is_covered():
    assert {type(message) for _, message in MESSAGES} == set(MESSAGE_KINDS.values())


def test_a_relay_sends_entries_in_the_same_bytes():
    """A relay encodes an entry once and splices its bytes into all replies."""
    [data] = [d for d, m in MESSAGES if isinstance(m, ReadReply) and m.entries]
    cache = StreamCache(capacity=10)
    cache.add_entries([tuple(ABANDON_ENTRY)])
    entries = cache.read_entries(offset=3, limit=100)
    reply = ReadReply(entries, next_offset=4, end_offset=7, confirmed_ms=12)
    assert encode_message(reply).hex() == data


VM_INCARNATION = "1700000000000-4f2a9c"

# The update of an earlier version, which has no speeds and estimates.
LOAD_UPDATE_WITHOUT_SPEEDS = (
    "95a46e657773a6656467652d31b4313730303030303030303030302d346632613963"
    "099194a3692d3103cd038491a26162"
)

DATAGRAMS = [
    (
        "9ba776657273696f6e0ead31302e302e302e393a38323233040c09cf2000000000000007"
        "cd012c0201c40928b52ffd2002110000",
        VersionNotice(
            14,
            "10.0.0.9:8223",
            4,
            12,
            9,
            2**61 + 7,
            300,
            2,
            1,
            bytes.fromhex("28b52ffd2002110000"),
        ),
    ),
    (
        "95af76657273696f6e5f696e7175697279cd012c09039102",
        VersionInquiry(300, 9, 3, [2]),
    ),
    (
        "94a76772616e746564a5706c756d65cd038404",
        GrantNotice("plume", 900, 4),
    ),
    (
        "94ad6772616e745f696e7175697279ad31302e302e302e393a383232330581a5706c756d65cd0384",
        GrantInquiry("10.0.0.9:8223", 5, {"plume": 900}),
    ),
    (
        "93ab6772616e745f7265706c790581a5706c756d65cd04b0",
        GrantReply(5, {"plume": 1200}),
    ),
    (
        "96ad706c6163655f7265717565737404a66c656467657205cb3fe0000000000000cb"
        "3ff8000000000000",
        PlaceRequest(4, "ledger", 5, 0.5, 1.5),
    ),
    (
        "95a5706c61636504a66c6564676572a3692d31cb0000000000000000",
        PlaceReply(4, "ledger", "i-1", 0.0),
    ),
    (
        "94ad706c6163655f72656c6561736504a66c6564676572c3",
        PlaceRelease(4, "ledger", True),
    ),
    (
        "97a46e657773a6656467652d31b4313730303030303030303030302d346632613963"
        "099194a3692d3103cd038491a261629090",
        LoadUpdate(
            vm="edge-1",
            incarnation=VM_INCARNATION,
            number=9,
            changes=[
                gossip._LoadChange(
                    server="i-1", in_flight=3, unread_tokens=900, parts=["ab"]
                )
            ],
        ),
    ),
    (
        "93a76c656176696e67a6656467652d31b4313730303030303030303030302d346632613963",
        VmLeaving(vm="edge-1", incarnation=VM_INCARNATION),
    ),
    (
        "93a9646570617274757265a3692d31cf0000018bcfe56800",
        ServerLeaving(server="i-1", born=1700000000000),
    ),
    (
        "97ac6c6f616e5f72657175657374a6656467652d3104a5706c756d6564cd0384c3",
        LoanRequest(
            borrower="edge-1",
            number=4,
            customer="plume",
            least=100,
            most=900,
            is_urgent=True,
        ),
    ),
    (
        "95a46c6f616ea6656467652d3104a5706c756d65cd0384",
        Loan(borrower="edge-1", number=4, customer="plume", tokens=900),
    ),
    (
        "95a573746f636ba6656467652d31b4313730303030303030303030302d346632613963c3"
        "81a5706c756d65cd0384",
        StockReport(
            vm="edge-1",
            incarnation=VM_INCARNATION,
            is_store_reachable=True,
            tokens={"plume": 900},
        ),
    ),
    (
        "92a66c696d6974739294a3692d31cf0000018bcfe56800cb3ff333333333333303"
        "94a3692d32cf0000018bcfe56800c004",
        LimitUpdate(
            limits=[
                Limit("i-1", 1700000000000, 1.2, 3),
                Limit("i-2", 1700000000000, None, 4),
            ]
        ),
    ),
    (
        "95a56372617368a3692d31cf0000018bcfe56800929292a435633165a439"
        "316264c39291a437376161c291a435633165",
        CrashReport(
            "i-1",
            1700000000000,
            [SuspectPrompt(["5c1e", "91bd"], True), SuspectPrompt(["77aa"], False)],
            ["5c1e"],
        ),
    ),
    (
        "93ae616e7377657265645f706172747391a43563316591cb3fe0000000000000",
        AnsweredParts(["5c1e"], [0.5]),
    ),
    (
        "92ab71756172616e74696e6573919592a435633165a439316264c30201cb403e800000000000",
        QuarantineUpdate([QuarantineFact(["5c1e", "91bd"], True, 2, 1, 30.5)]),
    ),
    (
        "94ad747269616c5f72657175657374049591a439316264c30201cbbfe0000000000000c0",
        TrialRequest(4, QuarantineFact(["91bd"], True, 2, 1, -0.5)),
    ),
    (
        "94a5747269616c04c39591a439316264c20301cbbfe0000000000000",
        TrialReply(4, True, QuarantineFact(["91bd"], False, 3, 1, -0.5)),
    ),
    (
        "92ac747269616c5f6e6f746963659591a439316264c30201cbbfe0000000000000",
        TrialNotice(QuarantineFact(["91bd"], True, 2, 1, -0.5)),
    ),
    (
        "98ae7065726d69745f7265717565737404a3692d31cf0000018bcfe56800"
        "cb3ff33333333333330305c0",
        PermitRequest(4, "i-1", 1700000000000, 1.2, 3, 5),
    ),
    (
        "98ae7065726d69745f7265717565737404a3692d31cf0000018bcfe56800"
        "cb3ff3333333333333030592a831302e302e302e32cd1cac",
        PermitRequest(4, "i-1", 1700000000000, 1.2, 3, 5, ("10.0.0.2", 7340)),
    ),
    (
        "97a67065726d697404a3692d31cf0000018bcfe56800c004cb3fd0000000000000",
        PermitReply(4, "i-1", 1700000000000, None, 4, 0.25),
    ),
    (
        "99b3636f6c645f7065726d69745f7265717565737404a3692d31cf0000018bcfe56800"
        "c00005c0cb4008000000000000",
        ColdPermitRequest(4, "i-1", 1700000000000, None, 0, 5, cold_rate=3.0),
    ),
    (
        "93a4636f6c64a3692d31cf0000018bcfe56800",
        ServerCold("i-1", 1700000000000),
    ),
]


class RecordingTransport:
    """Records the datagrams that are sent."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, peer):
        self.sent.append(data.hex())


@pytest.mark.parametrize("data, message", DATAGRAMS, ids=list_type_names(DATAGRAMS))
def test_a_datagram_keeps_its_bytes(data, message):
    async def work():
        received, transport, peer = [], RecordingTransport(), ("127.0.0.1", 9)
        wire = Datagrams()
        wire.handle(type(message), lambda decoded, sender: received.append(decoded))
        await wire.listen("127.0.0.1", 0)
        wire.datagram_received(bytes.fromhex(data), peer)
        wire.close()
        wire.use(transport)
        wire.send(received[0], [peer])
        return received, transport.sent

    assert asyncio.run(work()) == ([message], [data])


def test_load_updates_of_earlier_and_later_versions_are_read():
    """During a rolling restart VMs of both versions read each other's updates."""

    class EarlierUpdate(msgspec.Struct, array_like=True, tag="news"):
        vm: str
        incarnation: str
        number: int
        changes: list[gossip._LoadChange]

    data, message = next(d for d in DATAGRAMS if isinstance(d[1], LoadUpdate))
    earlier = bytes.fromhex(LOAD_UPDATE_WITHOUT_SPEEDS)
    assert msgspec.msgpack.decode(earlier, type=LoadUpdate) == message
    read = msgspec.msgpack.decode(bytes.fromhex(data), type=EarlierUpdate)
    assert (read.vm, read.changes) == (message.vm, message.changes)
    assert msgspec.msgpack.encode(read).hex() == LOAD_UPDATE_WITHOUT_SPEEDS


def test_every_kind_of_datagram_is_covered():
    assert {type(message) for _, message in DATAGRAMS} == set(datagrams.MESSAGES)


FIRST = "1767225600000-4f2a9c"
SECOND = "1767225600500-abcdef"
THIRD = "1767225600700-c0ffee"
LOG_START_MS = 1767225600000
DAY_MS = 86_400_000

# Ledger streams as pairs of log time and stored record.
SERVED_REQUESTS = [
    (LOG_START_MS + 1000 * offset, text)
    for offset, text in enumerate(
        [
            f'["join","{FIRST}/1","{FIRST}","r1","rennes",0]',
            f'["join","{SECOND}/1","{SECOND}","r2","rennes",0]',
            f'["grant","{FIRST}/2","{BUDGET}","{FIRST}",5000,0]',
            f'["charge","{FIRST}/3","{BUDGET}","{FIRST}","{KEY}",12,"{FIRST}-a1"]',
            f'["claim","{FIRST}/4","{BUDGET}/k2","{BUDGET}","{FIRST}","f00d"]',
            f'["outcome","{FIRST}/5","{BUDGET}/k2","{BUDGET}","{FIRST}",3,200,'
            f'"application/json","{{}}","{FIRST}-a2"]',
            f'["transfer","{FIRST}/6","{BUDGET}","{FIRST}","{SECOND}",50,"l-1"]',
            f'["claim","{SECOND}/2","{BUDGET}/k3","{BUDGET}","{SECOND}","beef"]',
        ]
    )
]
SERVED_REQUESTS_STATE = (
    "[2,1,8,0,1767225607000,"
    '[[["1767225600000-4f2a9c","r1","rennes","joined",0,-1,[]],'
    '["1767225600500-abcdef","r2","rennes","joined",1,-1,[]]],'
    '{"1767225600000-4f2a9c":6,"1767225600500-abcdef":2},{}],'
    '[[["desks/rennes/plume/k1","desks/rennes/plume",1767225603000,12,'
    '[["1767225600000-4f2a9c-a1",12]]],'
    '["desks/rennes/plume/k2","desks/rennes/plume",1767225605000,3,'
    '[["1767225600000-4f2a9c-a2",3]],"1767225600000-4f2a9c","f00d",4,'
    '["1767225600000-4f2a9c/5","desks/rennes/plume/k2","desks/rennes/plume",'
    '"1767225600000-4f2a9c",3,200,"application/json","{}",'
    '"1767225600000-4f2a9c-a2"]],'
    '["desks/rennes/plume/k3","desks/rennes/plume",1767225607000,null,[],'
    '"1767225600500-abcdef","beef",7]],[],[]],'
    '{"desks/rennes/plume":[5000,15,15,0,'
    '{"1767225600000-4f2a9c":4935,"1767225600500-abcdef":50},{}]},'
    '[["1767225600000-4f2a9c","l-1","1767225600500-abcdef"]],[]]'
)

# A ledger with an evicted and a closed incarnation. The claim of k0 expires after a
# day, k1 is charged for two attempts, and the generated key ~g1 overdraws the budget.
LOST_VM = [
    (LOG_START_MS + 1000 * offset + (DAY_MS + 1 if offset >= 4 else 0), text)
    for offset, text in enumerate(
        [
            f'["join","{FIRST}/1","{FIRST}","r1","rennes",0]',
            f'["join","{SECOND}/1","{SECOND}","r2","vitre",0]',
            f'["join","{THIRD}/1","{THIRD}","r3","rennes",0]',
            f'["claim","{FIRST}/2","{BUDGET}/k0","{BUDGET}","{FIRST}","f00d"]',
            f'["grant","{FIRST}/3","{BUDGET}","{FIRST}",5000,2]',
            f'["grant","{SECOND}/2","{BUDGET}","{SECOND}",700,2]',
            f'["grant","{THIRD}/2","{BUDGET}","{THIRD}",60,2]',
            f'["evict","{FIRST}/4","{SECOND}","r1"]',
            f'["evict_ack","{FIRST}/5","{SECOND}","{FIRST}"]',
            f'["evict_ack","{THIRD}/3","{SECOND}","{THIRD}"]',
            f'["recover","{FIRST}/6","{BUDGET}","{SECOND}","{KEY}",5,"{SECOND}-a1",'
            '"r1"]',
            f'["release","rl-1","{BUDGET}","{SECOND}",10,"vm lost","ana"]',
            f'["charge","{FIRST}/7","{BUDGET}","{FIRST}","{KEY}",8,"{FIRST}-a1"]',
            f'["charge","{FIRST}/8","{BUDGET}","{FIRST}","{BUDGET}/~g1",6000,'
            f'"{FIRST}-a2"]',
            f'["return","{THIRD}/4","{BUDGET}","{THIRD}",20]',
            f'["close","{THIRD}/5","{THIRD}",[["{BUDGET}",40]]]',
        ]
    )
]
LOST_VM_STATE = (
    "[2,1,16,2,1767312015001,"
    '[[["1767225600000-4f2a9c","r1","rennes","joined",0,-1,[]],'
    '["1767225600500-abcdef","r2","vitre","evicted",1,7,'
    '["1767225600000-4f2a9c","1767225600700-c0ffee"]]],'
    '{"1767225600000-4f2a9c":8,"1767225600500-abcdef":2},'
    '{"1767225600700-c0ffee":1767312015001}],'
    '[[["desks/rennes/plume/k1","desks/rennes/plume",1767312012001,5,'
    '[["1767225600500-abcdef-a1",5],["1767225600000-4f2a9c-a1",8]]]],'
    '[["desks/rennes/plume/~g1","desks/rennes/plume",1767312013001,4992,'
    '[["1767225600000-4f2a9c-a2",4992]]]],'
    '[["desks/rennes/plume/k0","desks/rennes/plume",1767225603000,null,[],'
    '"1767225600000-4f2a9c","f00d",3,null,true]]],'
    '{"desks/rennes/plume":[5690,5005,4997,1008,'
    '{"1767225600500-abcdef":685},{"1767225600500-abcdef":10}]},[],["rl-1"]]'
)

LEDGERS = [
    pytest.param(SERVED_REQUESTS, SERVED_REQUESTS_STATE, id="served_requests"),
    pytest.param(LOST_VM, LOST_VM_STATE, id="lost_vm"),
]


def find_prepaid(budget, offset):
    return 100_000


def make_ledger_checkpoint(state):
    next_offset = msgspec.json.decode(state)[2]
    return Checkpoint(
        id="k-9",
        stream="ledger-0",
        next_offset=next_offset,
        part=0,
        parts=1,
        state=state,
    )


@pytest.mark.parametrize("records, state", LEDGERS)
def test_replayed_ledger_records_give_the_stored_checkpoint(records, state):
    ledger = Ledger("ledger-0", find_prepaid)
    for offset, (time_ms, text) in enumerate(records):
        data = msgspec.json.decode(text)
        ledger.apply(decode_entry("ledger-0", offset, time_ms, data))
    assert ledger.make_checkpoint("k-9") == [make_ledger_checkpoint(state)]


@pytest.mark.parametrize("records, state", LEDGERS)
def test_a_ledger_checkpoint_keeps_its_bytes(records, state):
    ledger = Ledger.restore([make_ledger_checkpoint(state)], find_prepaid)
    assert ledger.make_checkpoint("k-9") == [make_ledger_checkpoint(state)]


def test_the_checkpoint_of_served_requests_is_restored():
    checkpoint = make_ledger_checkpoint(SERVED_REQUESTS_STATE)
    ledger = Ledger.restore([checkpoint], find_prepaid)
    assert (ledger.stream, ledger.shards, ledger.next_offset) == ("ledger-0", 1, 8)
    assert (ledger.config_offset, ledger.time_ms) == (0, LOG_START_MS + 7000)
    assert ledger.list_live() == [FIRST, SECOND]
    assert ledger.find_incarnation(SECOND) == IncarnationState(
        vm="r2", failure_domain="rennes", state=Membership.JOINED, join_offset=1
    )
    assert ledger.find_request(KEY) == RequestState(
        request=KEY,
        budget=BUDGET,
        updated_ms=LOG_START_MS + 3000,
        billed=12,
        charges=(AttemptCharge(attempt=f"{FIRST}-a1", tokens=12),),
    )
    assert ledger.find_request(f"{BUDGET}/k2") == RequestState(
        request=f"{BUDGET}/k2",
        budget=BUDGET,
        updated_ms=LOG_START_MS + 5000,
        billed=3,
        charges=(AttemptCharge(attempt=f"{FIRST}-a2", tokens=3),),
        claimant=FIRST,
        fingerprint="f00d",
        claim_offset=4,
        outcome=Outcome(
            id=f"{FIRST}/5",
            request=f"{BUDGET}/k2",
            budget=BUDGET,
            incarnation=FIRST,
            tokens=3,
            status=200,
            content_type="application/json",
            body="{}",
            attempt=f"{FIRST}-a2",
        ),
    )
    assert ledger.find_request(f"{BUDGET}/k3") == RequestState(
        request=f"{BUDGET}/k3",
        budget=BUDGET,
        updated_ms=LOG_START_MS + 7000,
        claimant=SECOND,
        fingerprint="beef",
        claim_offset=7,
    )
    assert ledger.find_budget(BUDGET) == BudgetView(
        prepaid=100_000,
        available=95_000,
        spent=15,
        billed=15,
        overdrawn=0,
        held={FIRST: 4935, SECOND: 50},
        in_doubt=0,
    )
    assert ledger.loans == {(FIRST, "l-1"): SECOND}


def test_the_checkpoint_of_a_lost_vm_is_restored():
    ledger = Ledger.restore([make_ledger_checkpoint(LOST_VM_STATE)], find_prepaid)
    day_later_ms = LOG_START_MS + DAY_MS + 1
    assert (ledger.next_offset, ledger.config_offset) == (16, 2)
    assert ledger.list_live() == [FIRST]
    assert ledger.find_incarnation(SECOND) == IncarnationState(
        vm="r2",
        failure_domain="vitre",
        state=Membership.EVICTED,
        join_offset=1,
        evict_offset=7,
        acks=(FIRST, THIRD),
    )
    assert ledger.incarnations.finished == {THIRD: day_later_ms + 15_000}
    assert ledger.find_request(KEY) == RequestState(
        request=KEY,
        budget=BUDGET,
        updated_ms=day_later_ms + 12_000,
        billed=5,
        charges=(
            AttemptCharge(attempt=f"{SECOND}-a1", tokens=5),
            AttemptCharge(attempt=f"{FIRST}-a1", tokens=8),
        ),
    )
    assert ledger.find_request(f"{BUDGET}/~g1") == RequestState(
        request=f"{BUDGET}/~g1",
        budget=BUDGET,
        updated_ms=day_later_ms + 13_000,
        billed=4992,
        charges=(AttemptCharge(attempt=f"{FIRST}-a2", tokens=4992),),
    )
    assert ledger.find_request(f"{BUDGET}/k0") == RequestState(
        request=f"{BUDGET}/k0",
        budget=BUDGET,
        updated_ms=LOG_START_MS + 3000,
        claimant=FIRST,
        fingerprint="f00d",
        claim_offset=3,
        expired=True,
    )
    assert ledger.find_budget(BUDGET) == BudgetView(
        prepaid=100_000,
        available=94_310,
        spent=5005,
        billed=4997,
        overdrawn=1008,
        held={SECOND: 685},
        in_doubt=685,
    )
    assert ledger.find_balance(BUDGET).released == {SECOND: 10}
    assert ledger.operator_ids == {"rl-1": None}


CONFIGURATION_RECORDS = [
    '["change","c-1",4,"ana",[["desks/rennes","requests_per_s",5]]]',
    '["change","c-2",1,"ana",[["desks/rennes/plume","priority","batch"]]]',
    '["top_up","t-1","desks/rennes/plume",100000,"ana"]',
]
CONFIGURATION_STATE = (
    '[2,3,[["desks/rennes/plume",{"priority":"batch"},{"priority":1}]],'
    '[[2,"desks/rennes/plume",100000,"t-1"]],'
    '[[0,0,"change","c-1","ana","rejected","base_offset: 4 is not from 0 to 0"],'
    '[1,1000,"change","c-2","ana","accepted",""],'
    '[2,2000,"top_up","t-1","ana","accepted",""]]]'
)


def test_replayed_configuration_records_give_the_stored_checkpoint():
    configuration = Configuration()
    for offset, text in enumerate(CONFIGURATION_RECORDS):
        data = msgspec.json.decode(text)
        configuration.apply(decode_entry("config", offset, 1000 * offset, data))
    assert configuration.encode_state() == CONFIGURATION_STATE


def test_the_configuration_checkpoint_keeps_its_bytes():
    restored = Configuration.restore(CONFIGURATION_STATE)
    assert restored.encode_state() == CONFIGURATION_STATE
    verdicts = [
        Verdict(
            offset=0,
            time_ms=0,
            kind="change",
            id="c-1",
            author="ana",
            status=Status.REJECTED,
            reason="base_offset: 4 is not from 0 to 0",
        ),
        Verdict(
            offset=1,
            time_ms=1000,
            kind="change",
            id="c-2",
            author="ana",
            status=Status.ACCEPTED,
        ),
        Verdict(
            offset=2,
            time_ms=2000,
            kind="top_up",
            id="t-1",
            author="ana",
            status=Status.ACCEPTED,
        ),
    ]
    top_up = TopUpEntry(offset=2, budget=BUDGET, tokens=100_000, id="t-1")
    assert decode_state(CONFIGURATION_STATE) == ConfigurationState(
        version=2,
        next_offset=3,
        nodes=[
            NodeState(
                path=BUDGET, values={"priority": "batch"}, changed_at={"priority": 1}
            )
        ],
        top_ups=[top_up],
        verdicts=verdicts,
    )
    assert restored.verdicts() == verdicts
    assert restored.top_ups() == [top_up]
    assert restored.nodes() == {BUDGET: {"priority": "batch"}}
