"""Regenerate the golden files: ``python -m lavendershift.tools.golden``.

Arguments are the names of sessions to record; all are recorded without any.
Review the changed files as a diff: ``tests/test_golden.py`` compares them with
the transcripts of new runs.
"""

import sys

from lavendershift.tests.golden_sessions import GOLDEN_PATH, SESSIONS, play_session


def main() -> None:
    """Run the sessions and write their transcripts."""
    GOLDEN_PATH.mkdir(exist_ok=True)
    for name in sys.argv[1:] or SESSIONS:
        path = GOLDEN_PATH / f"{name}.txt"
        path.write_text(play_session(name), encoding="utf-8")
        print(path.name)


if __name__ == "__main__":
    main()
