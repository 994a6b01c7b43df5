"""The steps that a schedule is made of, by weight."""

STEPS: list[str] = []


def step(weight):
    def register(function):
        STEPS.extend([function.__name__] * weight)
        return function

    return register
