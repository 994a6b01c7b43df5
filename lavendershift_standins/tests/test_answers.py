from hypothesis import given, settings
from hypothesis import strategies as st

from lavendershift_standins.answers import AnswerCheck, check_answer, make_token
from lavendershift_standins.prompts import BLOCK_BYTES, hash_prefixes, read_prompt

FIXED = settings(derandomize=True, database=None)
MESSAGE = st.fixed_dictionaries({"role": st.just("user"), "content": st.text()})


@FIXED
@given(st.integers(1, 40), st.data())
def test_checker_sees_cut_and_foreign_answers(count, data):
    tokens = [make_token("aa", i, i == count - 1) for i in range(count)]
    assert check_answer("".join(tokens), "aa") == AnswerCheck(True, True, count)
    assert not check_answer("".join(tokens), "ab").own
    cut = data.draw(st.integers(0, count - 1))
    assert not check_answer("".join(tokens[:cut]), "aa").whole
    without = tokens[:cut] + tokens[cut + 1 :]
    assert not check_answer("".join(without), "aa").whole


@FIXED
@given(st.lists(MESSAGE, min_size=1, max_size=5))
def test_prompt_tokens_are_bounded_by_bytes(messages):
    chat = read_prompt({"model": "m", "messages": messages}, is_chat=True)
    size = sum(len(message["content"].encode()) for message in messages)
    assert chat.tokens <= size + 8 * len(messages)
    text = messages[0]["content"]
    prompt = read_prompt({"model": "m", "prompt": text}, is_chat=False)
    assert prompt.tokens <= len(text.encode())


def test_equal_prefixes_have_equal_hashes():
    first, second = b"a" * BLOCK_BYTES * 2, b"a" * BLOCK_BYTES + b"b" * BLOCK_BYTES
    assert hash_prefixes(first)[0] == hash_prefixes(second)[0]
    assert hash_prefixes(first)[1] != hash_prefixes(second)[1]
    assert hash_prefixes(first[:-1]) == hash_prefixes(first)[:1]
