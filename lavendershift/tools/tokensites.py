"""Deployments and request classes of the token experiment."""

from typing import NamedTuple


class RequestClass(NamedTuple):
    """A class of requests and its ``share`` of all requests.

    ``prompt_tokens`` is the mean size of a prompt. A response is worth ``value``, or
    ``late_value`` if its tokens are reserved too late for the latency ``target``.
    ``duration``, ``target`` and ``deadline`` are in seconds.
    """

    share: float
    prompt_tokens: float
    max_output_tokens: int
    duration: float
    value: float
    late_value: float
    target: float
    deadline: float
    is_urgent: bool


PROMPT_SIZE_SIGMA = 0.6  # standard deviation of the logarithm of a prompt's size
CLASSES = (
    RequestClass(0.32, 11_900, 380, 2.5, 3.8, 1.1, 0.8, 15, False),
    RequestClass(0.28, 820, 290, 2.0, 1.7, 0.5, 0.4, 15, True),
    RequestClass(0.40, 2_370, 25, 0.2, 0.42, 0.13, 0.5, 3, False),
)


class Site(NamedTuple):
    """A deployment with ``vms`` VMs in each failure domain.

    ``prompt_rate`` is the requests/s of all customers. ``supply_ratio`` is a customer's
    full total over its usual demand. ``surging_customers`` customers send
    ``surge_factor`` times their usual rate for a while. ``single_domain_share`` is the
    fraction of the customers whose callers are all in one domain.
    """

    domains: int
    vms: int
    customers: int
    prompt_rate: float
    supply_ratio: float
    surging_customers: int
    surge_factor: float = 2.5
    single_domain_share: float = 0.3


SITES = {
    "small": Site(3, 3, 10, 32.0, 1.0, 3),
    "small, scarce": Site(3, 3, 10, 32.0, 0.8, 3),
    "small, abundant": Site(3, 3, 10, 32.0, 1.3, 2),
    "large": Site(5, 39, 40, 200.0, 1.0, 3),
}
