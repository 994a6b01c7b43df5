import pytest

from lavendershift.tools.token_experiment import VARIANTS, average_figures, simulate_day
from lavendershift.tools.tokendays import TokenDay, Variant
from lavendershift.tools.tokensites import SITES

SEEDS = (1, 2, 3)


def run_all(variant, end, site="small"):
    return average_figures([simulate_day(site, variant, end, seed) for seed in SEEDS])


@pytest.mark.parametrize("end", ["kill", "power"])
@pytest.mark.parametrize("name", VARIANTS)
def test_no_variant_spends_more_than_the_totals(name, end):
    day = TokenDay(SITES["small, scarce"], VARIANTS[name]._replace(end=end), 1)
    day.run()
    for customer, total in day.totals.items():
        assert day.consumed[customer] <= day.granted[customer] <= total


@pytest.mark.parametrize("end", ["kill", "power"])
def test_few_vms_serve_more_than_all_of_them(end):
    """What each VM holds ahead serves only the callers that come to it."""
    few, all_of_them = run_all(Variant(active=1), end), run_all(Variant(active=0), end)
    assert few["credit"] > all_of_them["credit"]
    assert few["lost"] < all_of_them["lost"]


def test_loans_serve_what_a_vm_lacks_in_a_cut():
    with_loans = run_all(Variant(), "kill")
    without = run_all(Variant(is_isolated=True), "kill")
    assert with_loans["in_cuts"] < 0.7 * without["in_cuts"]


def test_one_purse_bounds_what_can_be_served():
    bound = run_all(Variant(is_oracle=True), "kill")
    assert bound["in_cuts"] == 0
    assert bound["credit"] > run_all(Variant(), "kill")["credit"]
