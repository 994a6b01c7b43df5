"""Decoding of the operator's records of evacuations."""

from collections.abc import Callable

from lavendershift.decoding import decode_identifier
from lavendershift.errors import DecodeError
from lavendershift.evacuation.evacuations import Evacuations
from lavendershift.platform import names
from lavendershift.platform.store import Record


def apply_evacuations(
    evacuations: Evacuations,
    records: list[Record],
    is_snapshot: bool,
    on_odd: Callable[[DecodeError], None],
) -> None:
    """Apply the evacuations among the operator's ``records``.

    A snapshot lacks the records that were deleted. One without a configuration isn't
    what the operator has written, as the configuration is never deleted: it is read
    from a store that is being filled again, and ends no evacuation.
    """
    states: dict[str, bool] = {}
    for record in records:
        if record.key.startswith(names.EVACUATION_PREFIX):
            name = record.key.removeprefix(names.EVACUATION_PREFIX)
            try:
                domain = decode_identifier(name, "evacuation")
            except DecodeError as error:
                on_odd(error)
            else:
                states[domain] = bool(record.value)
    for domain, is_evacuated in states.items():
        if is_evacuated:
            evacuations.begin(domain)
        else:
            evacuations.end(domain)
    if is_snapshot and any(r.key == names.CONFIGURATION_KEY for r in records):
        evacuations.keep_only(domain for domain in states if states[domain])
