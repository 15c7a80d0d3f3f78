"""Points a stock client library of the models' interface at an entry host and checks what it sees."""

import sys
import time

import openai


def main() -> int:
    host, service, customer = sys.argv[1:4]
    client = openai.OpenAI(
        base_url=f"http://{host}/v1",
        api_key="unused",
        default_headers={"x-organisation": customer},
    )
    message = [{"role": "user", "content": "draft the changelog"}]
    wrong = 0

    def check(what: str, held: bool, seen: object) -> None:
        nonlocal wrong
        wrong += not held
        print("ok   " if held else "WRONG", f"{what}: {seen}")

    names = [model.id for model in client.models.list()]
    check("models are listed", service in names, names)

    whole = client.chat.completions.create(model=service, messages=message, max_tokens=40)
    text = whole.choices[0].message.content
    check("an answer at once", bool(text) and whole.usage.completion_tokens == 40, whole.usage)

    begun = time.monotonic()
    times, parts, reason = [], [], None
    stream = client.chat.completions.create(
        model=service, messages=message, max_tokens=40, stream=True
    )
    for chunk in stream:
        if not chunk.choices:
            continue
        if chunk.choices[0].delta.content:
            times.append(time.monotonic() - begun)
            parts.append(chunk.choices[0].delta.content)
        reason = chunk.choices[0].finish_reason or reason
    check("the same answer as a stream", "".join(parts) == text, f"{len(parts)} parts, {reason}")
    spread = f"first after {times[0] * 1e3:.0f} ms, last after {times[-1] * 1e3:.0f} ms"
    check("its tokens come as they exist", times[0] < times[-1] / 2, spread)

    plain = client.completions.create(model=service, prompt="draft", max_tokens=8)
    check("a plain completion", plain.usage.completion_tokens == 8, plain.choices[0].finish_reason)

    try:
        client.chat.completions.create(model="no-such-service", messages=message)
        check("an unknown model is refused", False, "answered")
    except openai.NotFoundError as err:
        check("an unknown model is refused", err.code == "RS104", f"{err.status_code} {err.code}")
    return min(wrong, 1)


if __name__ == "__main__":
    sys.exit(main())
