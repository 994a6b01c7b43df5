"""What admission under overload considers of a request."""

from collections.abc import Hashable
from datetime import timedelta
from typing import NamedTuple

from lavendershift.attempts import CallerRequest
from lavendershift.routes import Customer, Route

OUTPUT_WEIGHT = 10  # value of an output token, relative to an input token


class Work(NamedTuple):
    """What admission considers of a request.

    ``size`` is 0 if it is unknown. ``identity`` is what a caller sends again when it
    retries the request.
    """

    customer: str
    kind: str
    urgency: int
    target: timedelta
    deadline: timedelta
    size: int
    identity: Hashable


def describe_work(
    request: CallerRequest, route: Route, customer: Customer | None
) -> Work:
    """Return what admission considers of a request."""
    prompt, size = request.prompt, 0
    if prompt is not None:
        size = prompt.input_tokens + prompt.max_output_tokens * OUTPUT_WEIGHT
    return Work(
        customer.name if customer else "",
        route.name,
        find_urgency(route, customer),
        route.target,
        min(request.deadline, request.received + route.timeout),
        size,
        (request.key, request.target, request.body),
    )


def find_urgency(route: Route, customer: Customer | None) -> int:
    """Return the urgency of a customer's requests on a route."""
    if customer is not None and customer.urgency is not None:
        return customer.urgency
    return route.urgency
