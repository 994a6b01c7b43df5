"""Measurements of servers' speeds as they are sent between VMs."""

from datetime import timedelta

import msgspec

from lavendershift.capacity.estimates import Measurement
from lavendershift.capacity.servercapacity import Size
from lavendershift.decoding import Count, Seconds


class SpeedRecord(msgspec.Struct, array_like=True):
    """A ``Measurement``; ``size`` is one of ``Size``, perhaps of a later version."""

    server: str
    born: Count
    size: Count
    value: Seconds
    number: Count
    age_s: Seconds

    @classmethod
    def make(cls, measurement: Measurement) -> "SpeedRecord":
        """Return the record of a measurement, with as many digits as are useful."""
        return cls(
            measurement.server,
            measurement.born,
            int(measurement.size),
            round(measurement.value, 3),
            measurement.number,
            round(measurement.age.total_seconds(), 2),
        )

    def read(self) -> Measurement | None:
        """Return the measurement, ``None`` if its size is unknown."""
        if self.size not in Size._value2member_map_:
            return None
        age = timedelta(seconds=max(self.age_s, 0.0))
        return Measurement(
            self.server, self.born, Size(self.size), self.value, self.number, age
        )
