"""Deployments and kinds of requests of the days of prepaid requests."""

from typing import NamedTuple


class RequestClass(NamedTuple):
    """A kind of request; ``share`` of them, sizes in tokens, times in s."""

    share: float
    read: float
    written: int
    duration: float
    worth: float
    late_worth: float
    target: float
    deadline: float
    is_urgent: bool


SPREAD = 0.6  # of the logarithm of a prompt's size
CLASSES = (
    RequestClass(0.32, 11_900, 380, 2.5, 3.8, 1.1, 0.8, 15, False),
    RequestClass(0.28, 820, 290, 2.0, 1.7, 0.5, 0.4, 15, True),
    RequestClass(0.40, 2_370, 25, 0.2, 0.42, 0.13, 0.5, 3, False),
)


class Site(NamedTuple):
    """A deployment: ``vms`` in each domain, ``rate`` prompts/s.

    ``abundance`` is a customer's whole total over its usual demand, ``surging`` the
    number of customers that send ``surge`` times the usual for a while, and ``stuck``
    the part of the customers whose callers are in one domain.
    """

    domains: int
    vms: int
    customers: int
    rate: float
    abundance: float
    surging: int
    surge: float = 2.5
    stuck: float = 0.3


SITES = {
    "small": Site(3, 3, 10, 32.0, 1.0, 3),
    "small, scarce": Site(3, 3, 10, 32.0, 0.8, 3),
    "small, abundant": Site(3, 3, 10, 32.0, 1.3, 2),
    "large": Site(5, 39, 40, 200.0, 1.0, 3),
}
