from types import SimpleNamespace

import pytest
from tornado.httputil import HTTPHeaders, HTTPServerRequest, RequestStartLine

from lavendershift.errors import ErrorKind, RequestError
from lavendershift.handlers import ServiceHandler
from lavendershift.nodes import ServiceSettings


@pytest.mark.parametrize("path", ["/proofs/9", "/pr%6Fofs/9", "/%70roofs%2F9"])
def test_refusal_of_an_escaped_non_repeatable_call_does_not_deny_that_it_ran(path):
    service = ServiceSettings("desk", ("POST /proofs",), 0)
    handler = object.__new__(ServiceHandler)
    line = RequestStartLine("POST", f"/services/approvals{path}", "HTTP/1.1")
    headers = HTTPHeaders({"Host": "desk.example", "Idempotency-Key": "k"})
    handler.request = HTTPServerRequest(start_line=line, headers=headers)
    handler.path_args = ["approvals", "proofs/9"]
    handler.router = SimpleNamespace(
        configuration=SimpleNamespace(services=lambda: {"approvals": service})
    )
    assert handler.may_have_run(None, RequestError(ErrorKind.OVERLOADED))
