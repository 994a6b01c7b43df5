from datetime import timedelta

from lavendershift.clocks import ManualClock
from lavendershift.tokenstocks import MAX_TOLD, STOCK_LIFE, TokenStocks

SECOND = timedelta(seconds=1)


class Wire:
    """Hands each message to the other stocks at once, unless it is cut."""

    def __init__(self):
        self.handlers = {}
        self.is_cut = False
        self.sent = []

    def connect(self, name):
        wire = self

        class Datagrams:
            def handle(self, kind, handler):
                wire.handlers[name] = handler

            def send(self, message, peers):
                wire.sent.append(message)
                for peer in peers:
                    if not wire.is_cut:
                        wire.handlers[peer](message, name)

        return Datagrams()


class Fleet:
    """VMs that tell each other what they hold."""

    def __init__(self, *names):
        self.clock = ManualClock()
        self.wire = Wire()
        self.free = {name: {} for name in names}
        self.reached = dict.fromkeys(names, True)
        self.active = set(names)
        self.starts = dict.fromkeys(names, 0)
        self.stocks = {}
        for name in names:
            self.start(name)

    def start(self, name):
        self.starts[name] += 1
        self.stocks[name] = TokenStocks(
            self.clock,
            name,
            f"{name}/{self.starts[name]}",
            lambda: self.free[name],
            lambda: self.reached[name],
            lambda: sorted(self.active - {name}) if name in self.active else [],
            self.wire.connect(name),
        )

    def tell(self):
        for stocks in self.stocks.values():
            stocks.tell()


def test_lenders_are_asked_in_the_order_of_what_they_hold():
    fleet = Fleet("a", "b", "c")
    fleet.free["b"] = {"plume": 300}
    fleet.free["c"] = {"plume": 9000}
    fleet.tell()
    assert fleet.stocks["a"].rank_holders("plume", ["b", "c"]) == ["c", "b"]


def test_what_was_spent_is_told_as_well():
    fleet = Fleet("a", "b")
    fleet.free["b"] = {"plume": 300, "encre": 50}
    fleet.tell()
    fleet.free["b"] = {"plume": 0, "encre": 50}
    fleet.tell()
    assert fleet.stocks["a"].estimate("b", "plume") == 0
    assert fleet.stocks["a"].estimate("b", "encre") == 50


def test_old_news_counts_for_less():
    fleet = Fleet("a", "b")
    fleet.free["b"] = {"plume": 1000}
    fleet.tell()
    fleet.clock.advance(STOCK_LIFE / 2)
    assert fleet.stocks["a"].estimate("b", "plume") == 500
    fleet.clock.advance(STOCK_LIFE)
    assert fleet.stocks["a"].estimate("b", "plume") == 0


def test_a_started_process_holds_what_it_tells_itself():
    fleet = Fleet("a", "b")
    fleet.free["b"] = {"plume": 1000, "encre": 5}
    fleet.tell()
    fleet.start("b")
    fleet.free["b"] = {"encre": 5}
    fleet.tell()
    assert fleet.stocks["a"].estimate("b", "plume") == 0


def test_a_vm_that_stands_by_tells_nothing():
    fleet = Fleet("a", "b")
    fleet.active = {"b"}
    fleet.free["a"] = {"plume": 9}
    fleet.stocks["a"].tell()
    assert fleet.wire.sent == []


def test_many_customers_take_several_datagrams():
    fleet = Fleet("a", "b")
    fleet.free["b"] = {f"customer-{n}": 7 for n in range(2 * MAX_TOLD + 1)}
    fleet.tell()
    assert max(len(message.tokens) for message in fleet.wire.sent) == MAX_TOLD
    last = f"customer-{2 * MAX_TOLD}"
    assert fleet.stocks["a"].estimate("b", last) == 7


def test_another_vm_that_reaches_the_store_may_draw_any_number():
    fleet = Fleet("a", "b")
    fleet.tell()
    assert fleet.stocks["a"].estimate_largest("plume", ["b"]) is None


def test_vms_that_are_all_cut_off_hold_what_they_told_last():
    fleet = Fleet("a", "b", "c")
    fleet.free["b"] = {"plume": 800}
    fleet.tell()
    fleet.wire.is_cut = True
    fleet.clock.advance(4 * SECOND)
    largest = fleet.stocks["a"].estimate_largest("plume", ["b", "c"])
    assert largest == 400


def test_nothing_is_known_of_vms_that_told_nothing():
    fleet = Fleet("a", "b")
    assert fleet.stocks["a"].estimate_largest("plume", ["b"]) is None
