"""Random schedules of faults and changes: generated from a seed, stored and read."""

import dataclasses
import enum
import json
import pathlib
import random

# Actions start within this period; afterwards all faults end and the fleet has to recover.
FAULT_PERIOD_S = 20.0
RECOVERY_PERIOD_S = 8.0
# Ratio of actions that are changes by operators, so that changes overlap every kind of fault.
CHANGE_RATIO = 0.4


class Kind(enum.Enum):
    """Kind of an action."""

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
    PATH_HANGING = "path hanging"
    PATH_RESET = "path reset"
    PATH_NEW_REFUSED = "path new refused"
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


PATH_CUTS = (Kind.PATH_HANGING, Kind.PATH_RESET, Kind.PATH_NEW_REFUSED)
# Duration of a cut of the path to the servers, in seconds: its callers are judged from some time
# after its start.
CUT_DURATION_S = (5.0, 9.0)
# Start of a cut, in seconds: late, as its callers are not judged while many servers are limited or
# faulty. Their faults end while it lasts.
CUT_START_S = (15.0, 20.0)
# Failure domains over which gateways are spread in turn.
DOMAINS = 3
CHANGES = (Kind.CHANGE_ADD, Kind.CHANGE_ADD, Kind.CHANGE_MOVE, Kind.CHANGE_DROP, Kind.EVACUATE)
FAULTS = tuple(kind for kind in Kind if kind not in CHANGES and kind not in PATH_CUTS)


@dataclasses.dataclass(frozen=True, slots=True)
class Action:
    """One fault or change.

    :param at: time from the start of the faults, in seconds.
    :param targets: numbers of the affected gateways or servers.
    :param seconds: duration.
    """

    at: float
    kind: Kind
    targets: tuple[int, ...]
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """All actions of one run.

    :param gateways: number of gateway processes.
    """

    seed: int
    gateways: int
    actions: tuple[Action, ...]


def draw(seed: int, gateways: int, servers: int, count: int) -> Schedule:
    """Generates the schedule of a seed; actions come in series and overlap.

    In every schedule some servers advertise limits and request backoffs, and one announces that
    it leaves, since these announcements must be respected during every other fault. One, most or
    all gateways of a failure domain lose their path to the servers.
    """
    generator = random.Random(seed)
    limited = tuple(sorted(generator.sample(range(servers), max(1, servers // 4))))
    at, seconds = round(generator.uniform(0.0, FAULT_PERIOD_S / 2), 2), round(
        generator.uniform(1, 9), 2
    )
    actions = [Action(at, Kind.SERVER_LIMITS, limited, seconds)]
    resting = tuple(sorted(generator.sample(range(servers), max(1, servers // 4))))
    at, seconds = round(generator.uniform(0.0, FAULT_PERIOD_S / 2), 2), round(
        generator.uniform(2, 9), 2
    )
    actions.append(Action(at, Kind.SERVER_RESTS, resting, seconds))
    at = round(generator.uniform(0.0, FAULT_PERIOD_S / 2), 2)
    actions.append(Action(at, Kind.SERVER_SAYS_LEAVING, (servers - 2,), 0.0))
    actions.append(_draw_path_cut(generator, gateways))
    while len(actions) < count:
        kind = generator.choice(CHANGES if generator.random() < CHANGE_RATIO else FAULTS)
        size = servers if kind.value.startswith("server") else gateways
        target_count = generator.choice((1, 1, 2, max(1, size // 2)))
        at = generator.uniform(0.0, FAULT_PERIOD_S)
        for number in range(generator.choice((1, 1, 1, 3))):
            targets = tuple(sorted(generator.sample(range(size), min(target_count, size))))
            seconds = round(generator.uniform(0.5, 5.0), 2)
            start = round(min(FAULT_PERIOD_S, at + number * generator.uniform(0.1, 1.5)), 2)
            actions.append(Action(start, kind, targets, seconds))
    return Schedule(seed, gateways, tuple(sorted(actions[:count], key=lambda item: item.at)))


def _draw_path_cut(generator: random.Random, gateways: int) -> Action:
    domain = generator.randrange(min(DOMAINS, gateways))
    members = list(range(domain, gateways, DOMAINS))
    targets = generator.sample(members, generator.randint(1, len(members)))
    at = round(generator.uniform(*CUT_START_S), 2)
    seconds = round(generator.uniform(*CUT_DURATION_S), 2)
    return Action(at, generator.choice(PATH_CUTS), tuple(sorted(targets)), seconds)


def write(schedule: Schedule, path: pathlib.Path) -> None:
    """Stores a schedule as JSON, for a replay."""
    document = dataclasses.asdict(schedule)
    for item in document["actions"]:
        item["kind"] = item["kind"].value
    path.write_text(json.dumps(document, indent=1))


def read(path: pathlib.Path) -> Schedule:
    """Reads a stored schedule."""
    document = json.loads(path.read_text())
    actions = [
        Action(item["at"], Kind(item["kind"]), tuple(item["targets"]), item["seconds"])
        for item in document["actions"]
    ]
    return Schedule(document["seed"], document["gateways"], tuple(actions))


def shorten(schedule: Schedule, fails) -> Schedule:
    """Removes each action without which the run still fails.

    :param fails: runs a schedule and returns whether it still fails.
    """
    kept = list(schedule.actions)
    for action in schedule.actions:
        without = [item for item in kept if item is not action]
        if fails(dataclasses.replace(schedule, actions=tuple(without))):
            kept = without
    return dataclasses.replace(schedule, actions=tuple(kept))
