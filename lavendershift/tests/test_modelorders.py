from datetime import timedelta

from lavendershift.clocks import ManualClock
from lavendershift.modelorders import MAX_OPEN_ORDERS, ORDER_TIMEOUT, OrderPlanner
from lavendershift.nodes import ServerSettings

VMS = ["r1", "r2", "r3"]


def make_engine(name, *models, state="live"):
    return ServerSettings(
        name, "engine", f"{name}:1", "rennes", models, "", 8, state, "ignored"
    )


ENGINES = {f"e{i}": make_engine(f"e{i}", "index", "draft") for i in range(20)}


def test_one_router_orders_each_missing_model_with_the_offset_as_fencing_token():
    clock = ManualClock()
    loaded = {name: () for name in ENGINES}
    ordered = []
    planners = [OrderPlanner(clock, vm) for vm in VMS]
    for _ in range(100):
        for planner in planners:
            orders = planner.plan(ENGINES, loaded.get, VMS, 7)
            assert len(orders) <= MAX_OPEN_ORDERS
            ordered += orders
            for order in orders:
                loaded[order.server] += (order.model,)
    assert len(ordered) == len(set(ordered)) == 40
    assert {order.fencing_token for order in ordered} == {7}


def test_an_order_without_effect_is_repeated_after_its_timeout():
    clock = ManualClock()
    planner = OrderPlanner(clock, "r1")
    engine = {"e1": make_engine("e1", "index")}
    assert len(planner.plan(engine, lambda name: (), ["r1"], 1)) == 1
    clock.advance(ORDER_TIMEOUT - timedelta(seconds=1))
    assert planner.plan(engine, lambda name: (), ["r1"], 1) == []
    clock.advance(timedelta(seconds=1))
    assert len(planner.plan(engine, lambda name: (), ["r1"], 2)) == 1


def test_engines_that_leave_or_have_no_report_get_no_orders():
    planner = OrderPlanner(ManualClock(), "r1")
    leaving = {"e1": make_engine("e1", "index", state="leaving")}
    assert planner.plan(leaving, lambda name: (), ["r1"], 1) == []
    unreported = {"e1": make_engine("e1", "index")}
    assert planner.plan(unreported, lambda name: None, ["r1"], 1) == []


def test_the_last_router_to_leave_sends_no_orders():
    planner = OrderPlanner(ManualClock(), "r1")
    assert (
        planner.plan({"e1": make_engine("e1", "index")}, lambda name: (), [], 1) == []
    )
