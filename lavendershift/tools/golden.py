"""Record the golden sessions anew: ``python -m lavendershift.tools.golden``.

Names of sessions as arguments limit it to these. The texts are to be reviewed
as a diff; ``tests/test_golden.py`` compares them with what is played then.
"""

import sys

from lavendershift.tests.golden_sessions import GOLDEN_PATH, SESSIONS, play_session


def main() -> None:
    """Play the sessions and write their texts."""
    GOLDEN_PATH.mkdir(exist_ok=True)
    for name in sys.argv[1:] or SESSIONS:
        path = GOLDEN_PATH / f"{name}.txt"
        path.write_text(play_session(name), encoding="utf-8")
        print(path.name)


if __name__ == "__main__":
    main()
