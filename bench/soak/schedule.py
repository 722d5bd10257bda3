"""Draws a schedule of faults and changes from a seed, writes it and reads it again."""

import dataclasses
import enum
import json
import pathlib
import random

# Actions start within this time, in seconds; afterwards everything is mended and has to recover.
FAULT_SECONDS = 20.0
RECOVERY_SECONDS = 8.0
# Share of the actions that are changes by operators, so that they overlap every kind of fault.
CHANGE_PART = 0.4


class Kind(enum.Enum):
    """What is done."""

    KILL = "kill"
    TERM = "term"
    FREEZE = "freeze"
    HANGUP = "hangup"
    STORE_SILENT = "store silent"
    STORE_RESET = "store reset"
    STORE_CUT = "store cut"
    STORE_ONE_WAY = "store one way"
    STORE_DELAY = "store delay"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    STORE_FORGETS = "store forgets"
    STORE_COPY = "store copy"
    SERVER_HANGS = "server hangs"
    SERVER_CRASHES = "server crashes"
    SERVER_LIES = "server lies"
    SERVER_LEAVES = "server leaves"
    SERVER_LIMITS = "server limits"
    SERVER_RESTS = "server rests"
    SERVER_SAYS_LEAVING = "server says leaving"
    CHANGE_ADD = "change add"
    CHANGE_MOVE = "change move"
    CHANGE_DROP = "change drop"
    EVACUATE = "evacuate"


CHANGES = (Kind.CHANGE_ADD, Kind.CHANGE_ADD, Kind.CHANGE_MOVE, Kind.CHANGE_DROP, Kind.EVACUATE)
FAULTS = tuple(kind for kind in Kind if kind not in CHANGES)


@dataclasses.dataclass(frozen=True, slots=True)
class Action:
    """One thing that is done.

    :param at: time from the start of the faults, in seconds.
    :param targets: numbers of the gateways or servers that it is done to.
    :param seconds: how long it lasts.
    """

    at: float
    kind: Kind
    targets: tuple[int, ...]
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """What is done in one run.

    :param gateways: number of gateway processes.
    """

    seed: int
    gateways: int
    actions: tuple[Action, ...]


def draw(seed: int, gateways: int, servers: int, count: int) -> Schedule:
    """Returns the schedule of a seed; actions come in series and overlap.

    In each one some servers name limits and rests, and one says that it leaves, since their words
    must hold through every other fault.
    """
    chance = random.Random(seed)
    limited = tuple(sorted(chance.sample(range(servers), max(1, servers // 4))))
    at, seconds = round(chance.uniform(0.0, FAULT_SECONDS / 2), 2), round(chance.uniform(1, 9), 2)
    actions = [Action(at, Kind.SERVER_LIMITS, limited, seconds)]
    resting = tuple(sorted(chance.sample(range(servers), max(1, servers // 4))))
    at, seconds = round(chance.uniform(0.0, FAULT_SECONDS / 2), 2), round(chance.uniform(2, 9), 2)
    actions.append(Action(at, Kind.SERVER_RESTS, resting, seconds))
    at = round(chance.uniform(0.0, FAULT_SECONDS / 2), 2)
    actions.append(Action(at, Kind.SERVER_SAYS_LEAVING, (servers - 2,), 0.0))
    while len(actions) < count:
        kind = chance.choice(CHANGES if chance.random() < CHANGE_PART else FAULTS)
        size = servers if kind.value.startswith("server") else gateways
        hit = chance.choice((1, 1, 2, max(1, size // 2)))
        at = chance.uniform(0.0, FAULT_SECONDS)
        for number in range(chance.choice((1, 1, 1, 3))):
            targets = tuple(sorted(chance.sample(range(size), min(hit, size))))
            seconds = round(chance.uniform(0.5, 5.0), 2)
            start = round(min(FAULT_SECONDS, at + number * chance.uniform(0.1, 1.5)), 2)
            actions.append(Action(start, kind, targets, seconds))
    return Schedule(seed, gateways, tuple(sorted(actions[:count], key=lambda item: item.at)))


def write(schedule: Schedule, path: pathlib.Path) -> None:
    """Writes a schedule so that it can be played again."""
    document = dataclasses.asdict(schedule)
    for item in document["actions"]:
        item["kind"] = item["kind"].value
    path.write_text(json.dumps(document, indent=1))


def read(path: pathlib.Path) -> Schedule:
    """Returns a schedule that was written."""
    document = json.loads(path.read_text())
    actions = [
        Action(item["at"], Kind(item["kind"]), tuple(item["targets"]), item["seconds"])
        for item in document["actions"]
    ]
    return Schedule(document["seed"], document["gateways"], tuple(actions))


def shorten(schedule: Schedule, fails) -> Schedule:
    """Drops actions one by one while a run still fails.

    :param fails: plays a schedule and tells whether the failure is still there.
    """
    kept = list(schedule.actions)
    for action in schedule.actions:
        without = [item for item in kept if item is not action]
        if fails(dataclasses.replace(schedule, actions=tuple(without))):
            kept = without
    return dataclasses.replace(schedule, actions=tuple(kept))
