from lavendershift.tools.capacity import (
    BEGIN,
    END,
    PAGE,
    load_probes,
    render_tables,
    replace_tables,
)
from lavendershift.tools.capacity_probes import PROBES, Role, Row


def read_slopes():
    page = PAGE.read_text("utf-8")
    assert page.count(BEGIN) == page.count(END) == 1
    return page, page.partition(BEGIN)[2].partition(END)[0]


def test_the_page_has_every_role_and_every_slope():
    load_probes()
    page, slopes = read_slopes()
    rows = [line.split(" | ") for line in slopes.splitlines() if line.startswith("| ")]
    listed = {row[0].removeprefix("| ") for row in rows[1:]} - {"what"}
    assert listed == set(PROBES)
    for role in Role:
        assert f"## The {role.value}\n" in page


def test_only_the_slopes_are_replaced():
    row = Row("a", Role.RELAY.value, "b", 1234.5, None, 0.25)
    page = replace_tables(f"before\n{BEGIN}\nold\n{END}\nafter\n", render_tables([row]))
    assert page.startswith(f"before\n{BEGIN}\n")
    assert page.endswith(f"{END}\nafter\n")
    assert "| a | b | 1,234 |  | 0.2 |" in page or "| a | b | 1,235 |" in page
    assert "old" not in page
