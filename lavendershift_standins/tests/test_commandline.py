import cappa
import pytest

from lavendershift_standins.commandline import load_settings
from lavendershift_standins.engine import EngineSettings


def test_later_sources_override_earlier_ones(tmp_path):
    config = tmp_path / "engine.toml"
    config.write_text('step_ms = 5\ncapacity = 4\nmodels = ["a"]\n')
    flags = {"port": 7140, "name": None}
    settings = load_settings(EngineSettings, str(config), ["capacity=9"], flags)
    assert settings == EngineSettings(step_ms=5, capacity=9, models=["a"], port=7140)


@pytest.mark.parametrize("value", ["capacty=1", "capacity='many'", "capacity="])
def test_error_names_the_invalid_setting(value):
    with pytest.raises(cappa.Exit) as raised:
        load_settings(EngineSettings, None, [value], {})
    assert "settings" in str(raised.value.message)
    assert raised.value.code == 2
