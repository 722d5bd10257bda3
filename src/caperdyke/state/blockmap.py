"""Map from IPv4 blocks of client addresses to home failure domains."""

import array
import bisect
import ipaddress
import itertools

from caperdyke.state import ids


class BlockMap:
    """Sorted, non-overlapping IPv4 blocks, each with the failure domain that is its home."""

    def __init__(self) -> None:
        self._starts = array.array("I")
        self._ends = array.array("I")
        self._domain_indexes = array.array("H")
        self._domains: list[ids.DomainName] = []
        self._index_by_domain: dict[ids.DomainName, int] = {}

    def __len__(self) -> int:
        return len(self._starts)

    def load(self, blocks: list[tuple[int, int, ids.DomainName]]) -> None:
        """Replaces the map.

        :param blocks: first address, last address and home of each block.
        :raises ValueError: where two blocks overlap.
        """
        ordered = sorted(blocks)
        for previous, following in itertools.pairwise(ordered):
            if following[0] <= previous[1]:
                message = f"block at {following[0]} overlaps the block that ends at {previous[1]}"
                raise ValueError(message)
        self._starts = array.array("I", (block[0] for block in ordered))
        self._ends = array.array("I", (block[1] for block in ordered))
        self._domain_indexes = array.array("H", (self._intern(block[2]) for block in ordered))

    def move(self, first: int, domain: ids.DomainName) -> bool:
        """Changes the home of the block that starts at an address; returns whether it exists."""
        position = bisect.bisect_left(self._starts, first)
        if position == len(self._starts) or self._starts[position] != first:
            return False
        self._domain_indexes[position] = self._intern(domain)
        return True

    def find(self, address: int) -> ids.DomainName | None:
        """Returns the home of an address, or None where no block covers it."""
        position = bisect.bisect_right(self._starts, address) - 1
        if position < 0 or address > self._ends[position]:
            return None
        return self._domains[self._domain_indexes[position]]

    def _intern(self, domain: ids.DomainName) -> int:
        index = self._index_by_domain.get(domain)
        if index is None:
            index = len(self._domains)
            self._domains.append(domain)
            self._index_by_domain[domain] = index
        return index


def parse_block(text: str) -> tuple[int, int]:
    """Returns the first and last address of a block such as ``10.1.0.0/16``.

    :raises ValueError: where the text is not an IPv4 network.
    """
    network = ipaddress.IPv4Network(text)
    return int(network.network_address), int(network.broadcast_address)


def parse_address(text: str) -> int | None:
    """Returns an IPv4 address as a number, or None where it is not one."""
    try:
        return int(ipaddress.IPv4Address(text))
    except ValueError:
        return None
