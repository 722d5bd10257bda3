"""Targets leave without reporting draining while gateways restart; some go on getting requests."""

import asyncio
import itertools
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins_2 import standins

ZONES = {"jhb-midrand": "gauteng", "jhb-isando": "gauteng"}
GATEWAYS = 4
SERVICE = "projview"
TARGETS = 16
SLOTS = 8
WORK_S = 0.1
OBJECTS = 66
# Requests per second at each gateway.
REQUESTS_PER_S = 20
DEADLINE_MS = 3000
TEST_S = 85.0
# The targets are replaced one after the other: a new one starts, and the old one leaves.
REPLACE_GAP_S = 1.0
# A leaving target "continues serving for the same time (drainMs after the store has accepted) and
# a little longer (at times many seconds)".
SERVES_ON_S = 10.0
DRAIN_S = standins.BOUNDS["drainMs"] / 1000
GRACE_S = standins.BOUNDS["graceS"]
STABLE_WINDOW_S = 4.0
# The machines are stopped and started in turn.
RESTART_GAP_S = 1.3


class Environment:
    """The store, the targets and the gateways of the case."""

    def __init__(self, record, folder: pathlib.Path, gateways: list) -> None:
        self.record, self.folder, self.gateways = record, folder, gateways
        self.store = standins.Store()
        self.targets: list[LeavingTarget] = []
        self._names = itertools.count()
        # Time since which each gateway runs without a SIGTERM or start; None from SIGTERM to start.
        self.calm_since: dict[str, float | None] = {}
        # Gateway and time of sending of each request.
        self.sent: dict[str, tuple[str, float]] = {}
        self.late: list[str] = []

    async def add_target(self) -> None:
        """Starts one more target and registers it."""
        number = next(self._names)
        zone = tuple(ZONES)[number % len(ZONES)]
        target = LeavingTarget(
            f"i-{number}", SERVICE, zone, SLOTS, lambda _: (WORK_S, 400), self.record
        )
        target.environment = self
        await target.start(self.store)
        self.targets.append(target)
        self.record.add(f"{target.name} starts")

    async def remove_target(self) -> None:
        """Lets the oldest target leave; it never reports draining."""
        target = self.targets.pop(0)
        await self.store.drop("servers", target.name)
        target.gone_at = time.monotonic()
        self.record.add(f"{target.name} leaves: the store has removed its entry")
        asyncio.get_running_loop().call_later(SERVES_ON_S, target.end)

    def start_gateway(self, gateway: standins.Gateway) -> None:
        """Starts a gateway."""
        gateway.start(self.store.address)
        self.calm_since[gateway.name] = time.monotonic()
        self.record.add(f"{gateway.name} starts")

    def is_in_touch(self, name: str, since: float) -> bool:
        """Returns whether a gateway is in touch now and was at an earlier time."""
        calm_since = self.calm_since[name]
        return calm_since is not None and calm_since + STABLE_WINDOW_S <= since


class LeavingTarget(standins.Target):
    """A target that notes requests that reach it too late."""

    environment: Environment
    gone_at: float | None = None

    async def _run(self, first: str, request: str, writer: asyncio.StreamWriter) -> None:
        now, gone_at = time.monotonic(), self.gone_at
        gateway, sent_at = self.environment.sent[request]
        if gone_at is not None and sent_at > gone_at + DRAIN_S:
            in_touch = self.environment.is_in_touch(gateway, sent_at)
            text = f"{request} reaches {self.name} {now - gone_at:.2f} s after its removal"
            text += f", from {gateway}{'' if in_touch else ' (not in touch)'}"
            self._record.add(text)
            if in_touch:
                self.environment.late.append(text)
        await super()._run(first, request, writer)

    def end(self) -> None:
        """Ends the target."""
        self._record.add(f"{self.name} has ended")
        self._server.close()
        for task in self.tasks:
            task.cancel()

    @property
    def tasks(self) -> set[asyncio.Task]:
        """Tasks of its connections."""
        return self.__dict__.setdefault("_tasks", set())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await super()._serve(reader, writer)
        finally:
            self.tasks.discard(task)


async def call(environment: Environment, gateway: standins.Gateway, counts: dict) -> None:
    """Sends requests to one gateway, each on a new connection."""
    tasks = set()

    async def send(request: str, key: str) -> None:
        path = f"/view/{key}"
        environment.sent[request] = gateway.name, time.monotonic()
        answer = await standins.send_request(
            gateway.addresses["front"], "GET", path, request, DEADLINE_MS, key=key
        )
        counts[answer.status] = counts.get(answer.status, 0) + 1
        environment.record.add(f"{request} to {gateway.name} answered: {answer}")

    for number in itertools.count():
        if environment.calm_since[gateway.name] is not None:
            key = str(number % OBJECTS)
            task = asyncio.create_task(send(f"view-{gateway.name}-{number}", key))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def restart_in_turn(environment: Environment) -> None:
    """Stops and starts the gateways one after the other, forever."""
    for gateway in itertools.cycle(environment.gateways):
        await asyncio.sleep(RESTART_GAP_S)
        environment.calm_since[gateway.name] = None
        environment.record.add(f"{gateway.name} gets SIGTERM")
        gateway.process.send_signal(signal.SIGTERM)
        killed_at = time.monotonic() + GRACE_S
        while gateway.is_running and time.monotonic() < killed_at:
            await asyncio.sleep(0.02)
        gateway.kill()
        await asyncio.sleep(standins.RESTART_DELAY_S)
        environment.start_gateway(gateway)
        await gateway.wait_until_ready()


async def replace_targets(environment: Environment) -> None:
    """Replaces the targets one after the other, forever."""
    while True:
        await environment.add_target()
        await asyncio.sleep(REPLACE_GAP_S)
        await environment.remove_target()


async def run(record, folder: pathlib.Path, gateways: list) -> int:
    """Returns the exit status."""
    environment = Environment(record, folder, gateways)
    await environment.store.start()
    for _ in range(TARGETS):
        await environment.add_target()
    route = standins.make_route("/view/", "safe", SERVICE, 2000, 500)
    await environment.store.put("op", "config", standins.make_configuration(1, {"r-view": route}))
    for number in range(GATEWAYS):
        zone = tuple(ZONES)[number % len(ZONES)]
        gateways.append(standins.Gateway(folder, f"front-{number + 1}", ZONES, zone))
    for gateway in gateways:
        gateway.seeds = [other.addresses["control"] for other in gateways[:3]]
        environment.start_gateway(gateway)
    for gateway in gateways:
        await gateway.wait_until_ready()
    await asyncio.sleep(STABLE_WINDOW_S)
    counts: dict[int, int] = {}
    tasks = [asyncio.create_task(call(environment, gateway, counts)) for gateway in gateways]
    tasks.append(asyncio.create_task(replace_targets(environment)))
    if standins.has_trouble():
        tasks.append(asyncio.create_task(restart_in_turn(environment)))
    done, _ = await asyncio.wait(tasks, timeout=TEST_S, return_when=asyncio.FIRST_EXCEPTION)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for task in done:
        task.result()
    record.conclude(f"answers by status: {counts}")
    record.conclude(f"{len(environment.late)} requests reached targets that had left: too late")
    for text in environment.late[:5]:
        print(f"  {text}")
    if environment.late:
        record.conclude("BROKEN")
        return standins.BROKEN
    record.conclude("HELD")
    return standins.HELD


if __name__ == "__main__":
    sys.exit(standins.run_case(run))
