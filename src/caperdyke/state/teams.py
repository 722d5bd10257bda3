"""Teams of a customer in one version of the configuration: keys, priorities, quotas and homes."""

import collections.abc
import dataclasses
import hashlib

from caperdyke.state import ids

KEY_DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """One team.

    :param priority: rank of the team's requests instead of their route's, 0 being the most urgent;
        None where the route's applies.
    :param rate_per_second: requests per second of all instances together; 0 if there is no limit.
    :param burst: requests beyond the rate.
    :param homes: regions that may serve the team; empty where any may.
    """

    name: ids.TeamName
    priority: int | None = None
    rate_per_second: float = 0.0
    burst: float = 0.0
    homes: frozenset[ids.RegionName] = frozenset()

    @property
    def has_limit(self) -> bool:
        """Whether the team has a quota."""
        return self.rate_per_second > 0


@dataclasses.dataclass(frozen=True, slots=True)
class TeamDirectory:
    """All teams, by key and by name.

    :param by_key: teams by the digest of each of their keys.
    :param faults: descriptions of invalid entries, without keys.
    """

    by_key: dict[ids.KeyDigest, Team] = dataclasses.field(default_factory=dict)
    by_name: dict[ids.TeamName, Team] = dataclasses.field(default_factory=dict)
    faults: tuple[str, ...] = ()

    def find(self, digest: ids.KeyDigest) -> Team | None:
        """Returns the team that holds a key, or None."""
        return self.by_key.get(digest)

    def find_by_name(self, name: ids.TeamName) -> Team | None:
        """Returns a team by its name, or None."""
        return self.by_name.get(name)


def digest_key(key: bytes) -> ids.KeyDigest:
    """Returns the digest by which a key is compared and stored."""
    return ids.KeyDigest(hashlib.blake2b(key, digest_size=KEY_DIGEST_BYTES).digest())


def make_directory(
    held_keys: collections.abc.Iterable[tuple[Team, collections.abc.Iterable[str]]],
    faults: collections.abc.Iterable[str] = (),
) -> TeamDirectory:
    """Returns the directory of some teams and their keys.

    A key that two teams list belongs to the first one.
    """
    by_key: dict[ids.KeyDigest, Team] = {}
    by_name: dict[ids.TeamName, Team] = {}
    all_faults = list(faults)
    for team, keys in held_keys:
        by_name[team.name] = team
        for key in keys:
            holder = by_key.setdefault(digest_key(key.encode()), team)
            if holder is not team:
                all_faults.append(f"team {team.name}: a key belongs to team {holder.name} already")
    return TeamDirectory(by_key, by_name, tuple(all_faults))
