from lavendershift.tools.capacity import (
    BEGIN,
    END,
    PAGE,
    load_probes,
    render_tables,
    replace_tables,
)
from lavendershift.tools.capacity_probes import PROBES, Role, Row


def read_page():
    page = PAGE.read_text("utf-8")
    assert page.count(BEGIN) == page.count(END) == 1
    return page, page.partition(BEGIN)[2].partition(END)[0]


def test_page_lists_all_registered_probes_and_roles():
    load_probes()
    page, generated = read_page()
    rows = [
        line.split(" | ") for line in generated.splitlines() if line.startswith("| ")
    ]
    listed = {row[0].removeprefix("| ") for row in rows[1:]} - {"what"}
    assert listed == set(PROBES)
    for role in Role:
        assert f"## The {role.value}\n" in page


def test_replace_tables_keeps_the_text_around_them():
    row = Row("a", Role.RELAY.value, "b", 1234.5, None, 0.25)
    page = replace_tables(f"before\n{BEGIN}\nold\n{END}\nafter\n", render_tables([row]))
    assert page.startswith(f"before\n{BEGIN}\n")
    assert page.endswith(f"{END}\nafter\n")
    assert "| a | b | 1,234 |  | 0.2 |" in page or "| a | b | 1,235 |" in page
    assert "old" not in page
