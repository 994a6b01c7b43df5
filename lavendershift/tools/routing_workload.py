"""Seeded open-loop traffic for the routing experiment.

Interactive requests are turns of conversations. The conversations of a customer
share a system prompt, and each turn adds a block to the prompt. Batch requests are
long documents, each with a prompt of its own. Arrivals are a Poisson process whose
rate may change once.
"""

import random
from collections.abc import Iterator
from typing import NamedTuple

from lavendershift.prefixes import BLOCK_TOKENS

CUSTOMERS = 10
CONVERSATIONS = 12  # concurrent conversations of a customer
MAX_TURNS = 10  # turns after which a new conversation replaces the old one
SYSTEM_BLOCKS = 4  # prefix blocks of a customer's system prompt
BATCH_FRACTION = 0.05  # fraction of the requests with priority "batch"
INTERACTIVE_DEADLINE_S = 10.0
BATCH_DEADLINE_S = 120.0


class Arrival(NamedTuple):
    """A request; ``time`` and ``deadline`` are seconds from the start of the run."""

    id: str
    time: float
    customer: str
    priority: str
    prefix: tuple[str, ...]
    prompt_tokens: int
    output_tokens: int
    deadline: float


class Load(NamedTuple):
    """Arrivals per second before ``change_at`` seconds, and the rate from then on."""

    rate: float
    change_at: float
    later_rate: float


class Traffic:
    """Generates the arrivals of one run from a seed."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._names = [f"c{number}" for number in range(CUSTOMERS)]
        self._weights = [1 / (number + 1) for number in range(CUSTOMERS)]
        self._turns: dict[str, list[tuple[int, int]]] = {
            name: [(slot, 0) for slot in range(CONVERSATIONS)] for name in self._names
        }
        self._last_conversation = CONVERSATIONS

    def generate(self, load: Load, duration: float) -> Iterator[Arrival]:
        """Yield the arrivals of the first ``duration`` seconds in order of time."""
        time, number = 0.0, 0
        while True:
            rate = load.rate if time < load.change_at else load.later_rate
            time += self._rng.expovariate(rate)
            if time >= duration:
                return
            number += 1
            yield self._make_arrival(f"q{number}", time)

    def _make_arrival(self, name: str, time: float) -> Arrival:
        [customer] = self._rng.choices(self._names, self._weights)
        if self._rng.random() < BATCH_FRACTION:
            return self._make_batch(name, time, customer)
        return self._make_turn(name, time, customer)

    def _make_batch(self, name: str, time: float, customer: str) -> Arrival:
        blocks = self._rng.randint(16, 48)
        prefix = tuple(f"{name}:{block}" for block in range(blocks))
        tokens = blocks * BLOCK_TOKENS
        output = self._rng.randint(200, 600)
        deadline = time + BATCH_DEADLINE_S
        return Arrival(name, time, customer, "batch", prefix, tokens, output, deadline)

    def _make_turn(self, name: str, time: float, customer: str) -> Arrival:
        turns = self._turns[customer]
        slot = self._rng.randrange(CONVERSATIONS)
        conversation, turn = turns[slot]
        if turn >= MAX_TURNS:
            self._last_conversation += 1
            conversation, turn = self._last_conversation, 0
        turns[slot] = (conversation, turn + 1)
        system = [f"{customer}/{block}" for block in range(SYSTEM_BLOCKS)]
        own = [f"{customer}/{conversation}:{block}" for block in range(turn + 1)]
        prefix = (*system, *own)
        tokens = len(prefix) * BLOCK_TOKENS + self._rng.randint(20, 200)
        output = self._rng.randint(20, 180)
        deadline = time + INTERACTIVE_DEADLINE_S
        return Arrival(
            name, time, customer, "interactive", prefix, tokens, output, deadline
        )
