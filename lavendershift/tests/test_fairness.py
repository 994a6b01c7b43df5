from lavendershift.fairness import MAX_VIRTUAL_TIMES, FairShare


def test_a_waiting_customer_is_not_served_alone_once_its_virtual_time_is_dropped():
    shares = FairShare()
    for number in range(MAX_VIRTUAL_TIMES - 1):
        shares.activate(f"idle-{number:04}")
    shares.activate("old")
    for _ in range(100):
        shares.charge("old", 1.0, 1.0)
    waiting = ["new", "old"]
    shares.activate("new")
    shares.charge("idle-0000", 200.0, 1.0)  # drops all that owe nothing
    served = []
    for _ in range(20):
        customer = shares.choose(waiting)
        shares.charge(customer, 1.0, 1.0)
        served.append(customer)
    assert abs(served.count("old") - served.count("new")) <= 2
