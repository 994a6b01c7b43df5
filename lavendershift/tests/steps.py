"""Registry of the steps of a schedule.

``STEPS`` lists the name of each step as often as its weight. Its order decides
which step a byte of a schedule selects.
"""

STEPS: list[str] = []


def step(weight):
    def register(function):
        STEPS.extend([function.__name__] * weight)
        return function

    return register
