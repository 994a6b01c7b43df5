import pytest
from tornado.httputil import HTTPHeaders, RequestStartLine

from lavendershift.clocks import ManualClock
from lavendershift.errors import ANSWERS, ErrorKind, Ran, RequestError
from lavendershift.platform.callers import (
    choose_status,
    decode_request,
    select_headers,
)

START = RequestStartLine("POST", "/index/2f?x=1", "HTTP/1.1")
PROMISING = {408, 421, 429, 503}


def make_headers(**extra):
    headers = HTTPHeaders(
        {
            "Host": "Books.example:80",
            "X-Lavendershift-Attempt-Id": "9c41",
            "X-Lavendershift-Deadline-Ms": "1500",
            "Authorization": "Bearer key-1",
        }
    )
    for name, value in extra.items():
        headers.add(name.replace("_", "-"), value)
    return headers


def decode(headers):
    return decode_request(START, headers, b"", ManualClock().elapsed())


def test_a_request_is_decoded():
    request = decode(
        make_headers(
            X_Lavendershift_Token_Usage="1460,80",
            X_Lavendershift_Prompt_Prefix="5c1e07a2:800, 91bd3f06:410,e4402b7d:250",
        )
    )
    assert (request.id, request.host, request.key) == ("9c41", "books.example", "key-1")
    assert request.target == "/index/2f?x=1"
    assert (request.deadline - request.received).total_seconds() == 1.5
    assert request.prompt.input_tokens == 1460
    assert [part.id for part in request.prompt.parts][1] == "91bd3f06"


@pytest.mark.parametrize(
    "name",
    [
        "X-Lavendershift-Attempt-Id",
        "x-lavendershift-deadline-ms",
        "Authorization",
        "Host",
    ],
)
def test_a_repeated_header_could_be_read_in_two_ways(name):
    headers = make_headers()
    headers.add(name, "other")
    with pytest.raises(RequestError) as caught:
        decode(headers)
    assert caught.value.kind is ErrorKind.INVALID_REQUEST


@pytest.mark.parametrize("tokens", ["", "5", "a,b", "1,2,3", "-1,5"])
def test_unreadable_sizes_are_refused(tokens):
    with pytest.raises(RequestError):
        decode(make_headers(X_Lavendershift_Token_Usage=tokens))


@pytest.mark.parametrize(
    "name",
    [
        "X-Lavendershift-Tenant",
        "X-LAVENDERSHIFT-TENANT",
        "x-lavendershift-expect-instance",
        "X-Lavendershift-Hold",
        "X-Lavendershift-Pin-Ms",
        "X-Lavendershift-Kv-Backup",
        "X-Lavendershift-Request-Urgency",
        "Kv-From",
        "kv-fetch",
        "Authorization",
    ],
)
def test_a_forged_header_of_the_system_is_not_passed_on(name):
    headers = make_headers()
    headers.add(name, "forged")
    headers.add(name, "again")
    assert not select_headers(headers).get_list(name)


def test_headers_of_the_connection_are_not_passed_on():
    headers = make_headers(Connection="keep-alive, X-Private", X_Private="1", TE="x")
    names = {name.lower() for name, _ in select_headers(headers).get_all()}
    assert names.isdisjoint({"connection", "x-private", "te"})


def test_a_caller_can_not_have_its_own_headers_dropped():
    headers = make_headers(Connection="X-Lavendershift-Attempt-Id, Host")
    selected = select_headers(headers)
    assert selected["X-Lavendershift-Attempt-Id"] == "9c41"
    assert "Host" in selected


def test_other_headers_pass_unchanged():
    headers = make_headers(X_Custom="a b", Accept="*/*", Last_Event_Id="12")
    selected = select_headers(headers)
    assert selected["X-Custom"] == "a b"
    assert selected["Last-Event-Id"] == "12"


@pytest.mark.parametrize("kind", ErrorKind)
def test_only_what_did_not_run_gets_a_status_that_says_so(kind):
    answer = ANSWERS[kind]
    if answer.ran is not Ran.NO:
        assert choose_status(answer) not in PROMISING
