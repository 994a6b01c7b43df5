from datetime import timedelta

from lavendershift.clocks import ManualClock
from lavendershift.tokenstocks import MAX_REPORTED, STOCK_EXPIRY, TokenStocks

SECOND = timedelta(seconds=1)


class Wire:
    """Delivers each message to its receivers at once, unless it is cut."""

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
    """VMs that report their stocks to each other."""

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

    def report(self):
        for stocks in self.stocks.values():
            stocks.report()


def test_lenders_are_ranked_by_their_stocks():
    fleet = Fleet("a", "b", "c")
    fleet.free["b"] = {"plume": 300}
    fleet.free["c"] = {"plume": 9000}
    fleet.report()
    assert fleet.stocks["a"].rank_holders("plume", ["b", "c"]) == ["c", "b"]


def test_a_stock_that_ran_out_is_reported():
    fleet = Fleet("a", "b")
    fleet.free["b"] = {"plume": 300, "encre": 50}
    fleet.report()
    fleet.free["b"] = {"plume": 0, "encre": 50}
    fleet.report()
    assert fleet.stocks["a"].estimate("b", "plume") == 0
    assert fleet.stocks["a"].estimate("b", "encre") == 50


def test_estimates_shrink_with_the_age_of_the_report():
    fleet = Fleet("a", "b")
    fleet.free["b"] = {"plume": 1000}
    fleet.report()
    fleet.clock.advance(STOCK_EXPIRY / 2)
    assert fleet.stocks["a"].estimate("b", "plume") == 500
    fleet.clock.advance(STOCK_EXPIRY)
    assert fleet.stocks["a"].estimate("b", "plume") == 0


def test_reports_of_a_new_incarnation_replace_earlier_ones():
    fleet = Fleet("a", "b")
    fleet.free["b"] = {"plume": 1000, "encre": 5}
    fleet.report()
    fleet.start("b")
    fleet.free["b"] = {"encre": 5}
    fleet.report()
    assert fleet.stocks["a"].estimate("b", "plume") == 0


def test_a_vm_on_standby_sends_no_reports():
    fleet = Fleet("a", "b")
    fleet.active = {"b"}
    fleet.free["a"] = {"plume": 9}
    fleet.stocks["a"].report()
    assert fleet.wire.sent == []


def test_reports_of_many_customers_take_several_datagrams():
    fleet = Fleet("a", "b")
    fleet.free["b"] = {f"customer-{n}": 7 for n in range(2 * MAX_REPORTED + 1)}
    fleet.report()
    assert max(len(message.tokens) for message in fleet.wire.sent) == MAX_REPORTED
    last = f"customer-{2 * MAX_REPORTED}"
    assert fleet.stocks["a"].estimate("b", last) == 7


def test_a_vm_that_reaches_the_store_has_no_known_maximum():
    fleet = Fleet("a", "b")
    fleet.report()
    assert fleet.stocks["a"].estimate_largest("plume", ["b"]) is None


def test_vms_that_are_all_cut_off_hold_their_last_reported_stocks():
    fleet = Fleet("a", "b", "c")
    fleet.free["b"] = {"plume": 800}
    fleet.report()
    fleet.wire.is_cut = True
    fleet.clock.advance(4 * SECOND)
    largest = fleet.stocks["a"].estimate_largest("plume", ["b", "c"])
    assert largest == 400


def test_vms_without_reports_have_no_known_maximum():
    fleet = Fleet("a", "b")
    assert fleet.stocks["a"].estimate_largest("plume", ["b"]) is None
