import gc

import pytest

from lavendershift.collector import pause_collection


@pytest.fixture(autouse=True)
def unfreeze():
    yield
    gc.unfreeze()


def test_objects_built_in_the_block_are_exempt_from_collection():
    with pause_collection():
        assert not gc.isenabled()
        built = [[number] for number in range(1000)]
    assert gc.isenabled()
    young = {id(found) for found in gc.get_objects()}
    assert not young & {id(item) for item in built}


def test_the_collector_is_enabled_after_an_exception():
    with pytest.raises(ValueError), pause_collection():
        raise ValueError
    assert gc.isenabled()
