"""Heads of callers with odd numbers get a refusal, and the process goes on."""

import pytest

from lavendershift.platform.tests.live_nodes import Platform
from lavendershift.platform.tests.test_nodes import exchange_raw
from lavendershift_standins.platformserver import make_head

HEAD = (
    b"POST /record/x HTTP/1.1\r\nHost: books.example\r\nAuthorization: Bearer key-1\r\n"
)


@pytest.fixture
def platform(tmp_path):
    platform = Platform(tmp_path, servers=1)
    platform.start()
    yield platform
    platform.stop()


@pytest.mark.parametrize(
    ("length", "status"),
    [
        (b"9" * 5000, b"413"),
        (b"9" * 400, b"413"),
        (b"\xb2", b"400"),
        (b"-1", b"400"),
        (b"+5", b"400"),
    ],
    ids=["5000_digits", "400_digits", "superscript", "negative", "plus"],
)
def test_an_odd_content_length_is_refused(platform, length, status):
    (node,) = platform.nodes
    received = exchange_raw(node, HEAD + b"Content-Length: " + length + b"\r\n\r\n")
    assert received.startswith(b"HTTP/1.1 " + status), received[:200]
    assert node.ask("later").status == 200


@pytest.mark.parametrize("digits", ["9" * 400, "9" * 5000])
@pytest.mark.parametrize("place", ["input", "output", "part"])
def test_odd_sizes_of_a_prompt_are_refused(platform, digits, place):
    (node,) = platform.nodes
    sizes = {"input": "100", "output": "40", "part": "50"} | {place: digits}
    reply = node.ask(
        "odd",
        tokens=(sizes["input"], sizes["output"]),
        X_Lavendershift_Prompt_Prefix=f"ab:{sizes['part']}",
    )
    assert reply.status == 400
    assert node.find_log_lines("internal_error") == []
    assert node.ask("later").status == 200


def answer_with_head(**headers):
    """Return a behaviour whose complete response has further headers."""

    async def behave(received, writer):
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        head = make_head(received, 200, {"Content-Length": "4"} | fields)
        writer.write(head + b"done")

    return behave


@pytest.mark.parametrize("value", ["²", "9" * 5000, "9" * 400, "-1", "1e999", "nan"])
@pytest.mark.parametrize("name", ["Keep_Alive", "Retry_After", "Server_Limit"])
def test_a_response_with_an_odd_number_in_its_head_arrives(platform, name, value):
    (node,) = platform.nodes
    (server,) = platform.servers["ledger"]
    text = f"timeout={value}" if name == "Keep_Alive" else value
    server.script.append(answer_with_head(**{name: text}))
    reply = node.ask("odd", path="/record/x", tokens=None)
    assert (reply.status, reply.body) == (200, b"done")
    assert node.find_log_lines("internal_error") == []
    assert node.ask("later", path="/record/x", tokens=None).status == 200


@pytest.mark.parametrize("value", ["²", "9" * 5000, "-1", "1,2"])
def test_a_response_with_an_odd_length_is_that_of_a_failed_server(platform, value):
    (node,) = platform.nodes
    (server,) = platform.servers["ledger"]
    server.script.append(answer_with_head(Content_Length=value))
    # Both statuses leave open whether the request was executed.
    assert node.ask("odd", path="/record/x", tokens=None).status in (502, 504)
    assert node.find_log_lines("internal_error") == []
    assert node.ask("later", path="/record/x", tokens=None).status == 200
