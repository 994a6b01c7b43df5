"""Evacuations at a store that is restored from an older copy."""

from lavendershift.evacuation.evacuations import Evacuations


def test_an_evacuation_that_a_copy_lacks_lasts_until_its_time_to_be_written_is_over():
    """Requests went to an evacuated domain between the restore and the new record."""
    evacuations = Evacuations()
    evacuations.begin("rennes")
    evacuations.begin("brest")
    evacuations.note_restore()
    assert evacuations.includes("rennes") and evacuations.includes("brest")
    evacuations.begin("rennes")
    evacuations.end_unconfirmed()
    assert evacuations.includes("rennes")
    assert not evacuations.includes("brest")
