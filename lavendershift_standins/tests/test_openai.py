import openai
import pytest

from lavendershift_standins.answers import check_answer, hash_prompt

MESSAGES = [{"role": "user", "content": "Summarise consignment 12"}]
PROMPT = "user\nSummarise consignment 12\n"


@pytest.mark.parametrize("streams", [True, False])
def test_unmodified_openai_client_reads_its_completion(run, streams):
    async def scenario(standins):
        engine = await standins.engine()
        url = f"http://127.0.0.1:{engine.port}/v1"
        async with openai.AsyncOpenAI(base_url=url, api_key="none") as client:
            if streams:
                return await read_stream(client)
            result = await client.chat.completions.create(
                model="index-large", messages=MESSAGES
            )
            return result.choices[0].message.content, result.usage.completion_tokens

    text, tokens = run(scenario)
    check = check_answer(text, hash_prompt("index-large", PROMPT))
    assert (check.own, check.whole, check.tokens) == (True, True, tokens)


async def read_stream(client):
    parts = []
    usage = None
    stream = await client.chat.completions.create(
        model="index-large",
        messages=MESSAGES,
        stream=True,
        stream_options={"include_usage": True},
    )
    async for chunk in stream:
        parts += [choice.delta.content for choice in chunk.choices]
        usage = chunk.usage or usage
    return "".join(parts), usage.completion_tokens
