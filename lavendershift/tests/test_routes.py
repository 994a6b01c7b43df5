from datetime import timedelta

from lavendershift.routes import (
    CallerLimits,
    Customer,
    Repeat,
    Route,
    RoutingTable,
    ServiceShare,
)


def make_route(name, prefix, host="books.example"):
    second = timedelta(seconds=1)
    shares = (ServiceShare("index", 1.0),)
    return Route(name, host, prefix, shares, Repeat.NEVER, False, second, second)


def make_table(routes, customers=()):
    return RoutingTable(1, routes, (), customers, CallerLimits())


def test_the_longest_prefix_wins():
    table = make_table([make_route("a", "/a/"), make_route("ab", "/a/b/")])
    assert table.find_route("books.example", "/a/b/c").name == "ab"
    assert table.find_route("books.example", "/a/bc").name == "a"
    assert table.find_route("books.example", "/a/").name == "a"


def test_other_hosts_and_paths_have_no_route():
    table = make_table([make_route("a", "/a/")])
    assert table.find_route("other.example", "/a/b") is None
    assert table.find_route("books.example", "/ab/") is None
    assert table.find_route("books.example", "/a") is None
    assert table.find_route("books.example", "") is None


def test_root_prefix_matches_all_other_paths():
    table = make_table([make_route("root", "/"), make_route("a", "/a/")])
    assert table.find_route("books.example", "/x").name == "root"


def test_revoked_key_belongs_to_no_customer():
    before = make_table([], [Customer("plume", frozenset({"k1", "k2"}))])
    after = make_table([], [Customer("plume", frozenset({"k2"}))])
    assert before.find_customer("k1").name == "plume"
    assert after.find_customer("k1") is None
    assert after.find_customer("k2").name == "plume"


def test_api_keys_are_required_if_there_are_customers():
    assert not make_table([]).needs_keys
    assert make_table([], [Customer("plume", frozenset())]).needs_keys
