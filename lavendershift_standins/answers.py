"""Completion texts that identify their prompt and show whether they are complete.

Token ``i`` of a completion is the hash of model and prompt, a colon and ``i``;
the last token ends with ``$``::

    >>> text = "".join(make_token("9f3c", i, i == 2) for i in range(3))
    >>> text
    '9f3c:0 9f3c:1 9f3c:2$'
    >>> check_answer(text, "9f3c")
    AnswerCheck(own=True, whole=True, tokens=3)
"""

from typing import NamedTuple

import xxhash


class AnswerCheck(NamedTuple):
    """The result of checking a completion text against its prompt.

    ``own`` means that every token belongs to the prompt and is in order,
    ``whole`` that no token is missing either.
    """

    own: bool
    whole: bool
    tokens: int


def hash_prompt(model: str, prompt: str) -> str:
    """Return the hash of ``model`` and ``prompt`` that starts each token."""
    return xxhash.xxh64_hexdigest(f"{model}\0{prompt}".encode())


def make_token(prompt_hash: str, index: int, is_last: bool) -> str:
    """Return the text of token ``index``."""
    return f"{prompt_hash}:{index}{'$' if is_last else ' '}"


def check_answer(text: str, prompt_hash: str) -> AnswerCheck:
    """Check whether ``text`` belongs to the prompt and is complete."""
    whole = text.endswith("$")
    tokens = text.rstrip("$").split()
    own = all(token == f"{prompt_hash}:{i}" for i, token in enumerate(tokens))
    return AnswerCheck(own and bool(tokens), own and whole, len(tokens))
