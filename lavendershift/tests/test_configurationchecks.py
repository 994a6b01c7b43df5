"""Checks of a configuration name what the routers would skip or never use."""

from datetime import timedelta

import pytest

from lavendershift.configurationchecks import (
    Draft,
    Severity,
    check_configuration,
)
from lavendershift.configurationdiffs import compare
from lavendershift.routes import (
    CallerLimits,
    Customer,
    Repeat,
    Route,
    Service,
    ServiceShare,
)

INDEX = Service("index", slots=8, max_connections=100)
PLUME = Customer("plume", frozenset({"k1"}), prepaid=500)
SECOND = timedelta(seconds=1)


def make_route(name="a", prefix="/a/", **changes):
    route = Route(
        name,
        "books.example",
        prefix,
        (ServiceShare("index", 1.0),),
        Repeat.NEVER,
        False,
        5 * SECOND,
        SECOND,
    )
    return route._replace(**changes)


def make_draft(**changes):
    draft = Draft(2, (make_route(),), (INDEX,), (PLUME,))
    return draft._replace(**changes)


FAULTS = {
    "unknown service": make_draft(services=()),
    "unused service": make_draft(services=(INDEX, Service("old"))),
    "few connections": make_draft(services=(INDEX._replace(max_connections=3),)),
    "no leading slash": make_draft(routes=(make_route(prefix="a/"),)),
    "no trailing slash": make_draft(routes=(make_route(prefix="/a"),)),
    "no host": make_draft(routes=(make_route(host=""),)),
    "same prefix": make_draft(routes=(make_route(), make_route("b"))),
    "same name": make_draft(routes=(make_route(), make_route(prefix="/b/"))),
    "weight 0": make_draft(
        services=(INDEX, Service("new")),
        routes=(
            make_route(shares=(ServiceShare("index", 1.0), ServiceShare("new", 0.0))),
        ),
    ),
    "target beyond timeout": make_draft(routes=(make_route(target=6 * SECOND),)),
    "no time": make_draft(routes=(make_route(timeout=timedelta()),)),
    "no key": make_draft(customers=(PLUME._replace(keys=frozenset()),)),
    "same key": make_draft(customers=(PLUME, PLUME._replace(name="sable"))),
    "negative total": make_draft(customers=(PLUME._replace(prepaid=-1),)),
    "no common region": make_draft(
        routes=(make_route(homes=frozenset({"brest"})),),
        customers=(PLUME._replace(homes=frozenset({"rennes"})),),
    ),
    "small headers": make_draft(limits=CallerLimits(header_bytes=100)),
    "no idle time": make_draft(limits=CallerLimits(idle_timeout=timedelta())),
}


def test_a_sound_configuration_has_no_findings():
    assert check_configuration(make_draft()) == []


@pytest.mark.parametrize("fault", FAULTS)
def test_each_fault_is_found_once(fault):
    assert len(check_configuration(FAULTS[fault])) == 1


def test_errors_come_before_warnings():
    draft = make_draft(services=(Service("old"),))
    severities = [finding.severity for finding in check_configuration(draft)]
    assert severities == [Severity.ERROR, Severity.WARNING]


def test_a_version_that_is_not_newer_is_an_error():
    (finding,) = check_configuration(make_draft(), make_draft())
    assert (finding.severity, finding.place) == (Severity.ERROR, "version")


@pytest.mark.parametrize("prepaid", [None, 499])
def test_a_lower_prepaid_total_is_a_warning(prepaid):
    draft = make_draft(version=3, customers=(PLUME._replace(prepaid=prepaid),))
    (finding,) = check_configuration(draft, make_draft())
    assert (finding.severity, finding.place) == (Severity.WARNING, "customer plume")


def test_differences_name_entries_and_fields_but_no_api_key():
    draft = make_draft(
        version=3,
        routes=(make_route(timeout=8 * SECOND), make_route("b", "/b/")),
        services=(Service("index", slots=8),),
        customers=(PLUME._replace(keys=frozenset({"k2", "k3"})),),
        limits=CallerLimits(body_bytes=100),
    )
    lines = [str(difference) for difference in compare(make_draft(), draft)]
    assert lines == [
        "changed version: 2 -> 3",
        "changed route a: timeout 5000 ms -> 8000 ms",
        "added route b",
        "changed service index: max connections 100 -> 0",
        "changed customer plume: 2 API keys added, 1 removed",
        "changed limits: body bytes 4194304 -> 100",
    ]


def test_a_configuration_doesnt_differ_from_itself():
    assert list(compare(make_draft(), make_draft())) == []
