"""Regions to which requests are restricted.

Routes and customers may have *homes*: regions whose servers may get their requests.
Where both have homes, both bind::

    regions = Regions({"rennes": "bretagne", "lille": "nord"})
    homes = find_homes(route, customer)
    regions.allows(homes, "rennes")
"""

from collections.abc import Iterable, Mapping

from lavendershift.routes import Customer, Route

Homes = frozenset[str]


def find_homes(route: Route, customer: Customer | None) -> Homes | None:
    """Return the regions whose servers may get a request, ``None`` for all.

    It is empty if the homes of the route and of the customer have none in common.
    """
    if customer is None or not customer.homes:
        return route.homes or None
    return route.homes & customer.homes if route.homes else customer.homes


class Regions:
    """The regions of failure domains."""

    def __init__(self, by_domain: Mapping[str, str]) -> None:
        self.by_domain = by_domain

    def allows(self, homes: Homes | None, failure_domain: str) -> bool:
        """Whether servers of a failure domain may get a request with ``homes``.

        Those of a domain without a known region may not.
        """
        return homes is None or self.by_domain.get(failure_domain, "") in homes

    def choose_domains(
        self, domains: Iterable[str], region: str, homes: Iterable[Homes]
    ) -> set[str]:
        """Return the failure domains of ``domains`` whose VMs a caller is sent to.

        A body may go to VMs of the caller's own region whatever its homes are, and
        else to those of all the ``homes`` that its requests may have.
        """
        domains, homes = set(domains), list(homes)
        if not homes:
            return domains
        in_region = {d for d in domains if self.by_domain.get(d, "") == region}
        at_home = {d for d in domains if all(self.allows(each, d) for each in homes)}
        return in_region or at_home or domains
