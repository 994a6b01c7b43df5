"""Answer texts that tell whose they are and whether they are whole.

Token ``i`` of an answer is the hash of the prompt and the model, a colon and
``i``; the last one ends with ``$``::

    >>> text = "".join(make_token("9f3c", i, i == 2) for i in range(3))
    >>> text
    '9f3c:0 9f3c:1 9f3c:2$'
    >>> check_answer(text, "9f3c")
    AnswerCheck(own=True, whole=True, tokens=3)
"""

from typing import NamedTuple

import xxhash


class AnswerCheck(NamedTuple):
    """What can be said of an answer text.

    ``own`` means that all of it belongs to the prompt and is in order,
    ``whole`` that nothing is missing either.
    """

    own: bool
    whole: bool
    tokens: int


def hash_prompt(model: str, prompt: str) -> str:
    """Return the hash that answers to ``prompt`` by ``model`` carry."""
    return xxhash.xxh64_hexdigest(f"{model}\0{prompt}".encode())


def make_token(prompt_hash: str, index: int, is_last: bool) -> str:
    """Return the text of one token."""
    return f"{prompt_hash}:{index}{'$' if is_last else ' '}"


def check_answer(text: str, prompt_hash: str) -> AnswerCheck:
    """Return whether ``text`` is the answer to the prompt, and all of it."""
    whole = text.endswith("$")
    tokens = text.rstrip("$").split()
    own = all(token == f"{prompt_hash}:{i}" for i, token in enumerate(tokens))
    return AnswerCheck(own and bool(tokens), own and whole, len(tokens))
