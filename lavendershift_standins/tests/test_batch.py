from hypothesis import given, settings
from hypothesis import strategies as st

from lavendershift_standins.batch import Batch, Caller, Run, RunState
from lavendershift_standins.prompts import Prompt


def make_run(n, priority=0, output_tokens=3, prompt_tokens=0):
    prompt = Prompt("m", prompt_tokens, f"h{n}", [], False, 0, True, True)
    return Run(prompt, Caller(f"a{n}", "", "", priority), output_tokens)


def make_batch(capacity=2, prefill=10.0):
    started = []

    def start(run):
        started.append(run)
        return 0

    return Batch(capacity, prefill, start), started


REQUEST = st.tuples(st.integers(0, 2), st.integers(1, 5), st.integers(0, 30))


@settings(derandomize=True, database=None)
@given(st.lists(REQUEST, max_size=12), st.integers(1, 4), st.data())
def test_all_requests_run_within_capacity_and_by_priority(requests, capacity, data):
    batch, started = make_batch(capacity)
    runs = [make_run(n, *request) for n, request in enumerate(requests)]
    for run in runs:
        batch.add(run)
    cancelled = data.draw(st.sampled_from(runs)) if runs else None
    for step in range(200):
        if step == 3 and cancelled:
            batch.cancel(cancelled)
        batch.step()
        assert len(batch.running) <= capacity
    assert batch.is_idle
    priorities = [run.caller.priority for run in started]
    assert priorities == sorted(priorities)
    for run in runs:
        if run.state is RunState.DONE:
            assert run.produced == run.output_tokens
        else:
            assert run is cancelled
            assert run.produced < run.output_tokens


def test_prefill_delays_the_first_token():
    batch, _ = make_batch(prefill=10.0)
    run = make_run(1, prompt_tokens=25)
    batch.add(run)
    produced = []
    for _ in range(4):
        batch.step()
        produced.append(run.produced)
    assert produced == [0, 0, 1, 2]
