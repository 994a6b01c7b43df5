"""Places that follow from a customer's name, the same on all VMs."""

import xxhash


def find_partition(customer: str, partitions: int) -> int:
    """Return the partition of a customer's row, the same on all VMs."""
    return xxhash.xxh3_64_intdigest(customer.encode()) % partitions


def find_position(customer: str, vm: str) -> float:
    """Return the place of a VM, from 0 to 1, in an order by customer."""
    return xxhash.xxh3_64_intdigest(f"{customer}/{vm}".encode()) / 2**64
