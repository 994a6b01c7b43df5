import gc

import pytest

from lavendershift.collector import pause_collection


@pytest.fixture(autouse=True)
def thaw():
    yield
    gc.unfreeze()


def test_what_a_block_builds_is_not_looked_through_again():
    with pause_collection():
        assert not gc.isenabled()
        built = [[number] for number in range(1000)]
    assert gc.isenabled()
    young = {id(found) for found in gc.get_objects()}
    assert not young & {id(item) for item in built}


def test_the_collector_runs_again_after_a_fault():
    with pytest.raises(ValueError), pause_collection():
        raise ValueError
    assert gc.isenabled()
