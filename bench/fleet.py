"""Starts the programs as separate processes on loopback, for the demo and for measurements."""

import contextlib
import dataclasses
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

START_TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True)
class ServicePlan:
    """Backend servers of one service in one failure domain."""

    service: str
    count: int
    slots: int
    service_ms: int
    download_bytes: int = 1 << 20
    download_ms: int = 0
    cold_requests: int = 0
    cold_factor: int = 1


@dataclasses.dataclass(frozen=True)
class DomainPlan:
    """One failure domain."""

    name: str
    entries: int
    services: tuple[ServicePlan, ...]
    region: str = ""


@dataclasses.dataclass
class Entry:
    """One started entry instance."""

    name: str
    domain: str
    caller_address: str
    peer_address: str
    advertised_address: str
    platform_address: str
    process: subprocess.Popen | None = None


class Fleet:
    """Processes of one run; leaving the context kills exactly those that it started."""

    def __init__(
        self,
        domains: tuple[DomainPlan, ...],
        extra: str = "",
        list_lag_ms: int = 0,
        delays_us: tuple[int, int] | None = None,
    ):
        """Plans a fleet without starting it.

        :param delays_us: one-way delays within and between regions; adds relays between domains.
        """
        self.domains = domains
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="caperdyke-"))
        self.platform = ""
        self.network_address = ""
        self._delays_us = delays_us
        self.entries: list[Entry] = []
        self.backends: dict[str, str] = {}
        self._entry_settings = extra
        self._list_lag_ms = list_lag_ms
        self._processes: list[subprocess.Popen] = []
        self._ports = _find_free_ports(400)

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_) -> None:
        self.close()

    def start(self, documents: list[tuple[str, str]]) -> None:
        """Starts all processes and applies documents, given as path and operator."""
        self.start_platform()
        self.start_backends()
        for file, operator in documents:
            self.run_operator("apply", file, "--operator", operator, "--platform", self.platform)
        self.start_entries()
        self.wait_ready()

    def start_platform(self) -> None:
        """Starts the stand-in for the platform."""
        self.platform = self._next_address()
        text = f"[platform]\naddress = {self.platform}\nlist_lag_ms = {self._list_lag_ms}\n"
        self._spawn("platform", text, "caperdyke.programs.platform")
        wait_for(lambda: _can_connect(self.platform), "platform")

    def start_backends(self) -> None:
        """Starts one process for the backend servers of each failure domain."""
        for domain in self.domains:
            sections = [self._add_backend(domain, plan, n) for plan, n in _list_servers(domain)]
            self._spawn(
                f"backends-{domain.name}", "\n".join(sections), "caperdyke.programs.backend"
            )
        for name, address in self.backends.items():
            wait_for(lambda address=address: _can_connect(address), name)

    def start_entries(self) -> None:
        """Starts all entry instances."""
        for index, domain in enumerate(self.domains):
            platform = self.platform
            if self._delays_us is not None:
                platform = self._next_address()
            for number in range(domain.entries):
                host = f"127.0.{index + 1}.1" if self._delays_us else "127.0.0.1"
                peer = self._next_address(host)
                advertised = self._next_address() if self._delays_us else peer
                name = f"{domain.name}-{number + 1}"
                self.entries.append(
                    Entry(name, domain.name, self._next_address(), peer, advertised, platform)
                )
        if self._delays_us is not None:
            self._start_network()
        for entry in self.entries:
            self.start_entry(entry)

    def set_partitions(self, pairs: list[tuple[str, str]]) -> None:
        """Replaces the set of partitioned pairs of domains; ``platform`` may stand for a domain."""
        route_pairs = [
            ("", f"platform-{second}") if first == "platform" else (first, second)
            for first, second in pairs
        ]
        call(self.network_address, "PUT", "/cuts", {"pairs": route_pairs})

    def isolate(self, domain: str) -> None:
        """Cuts a failure domain off from the platform and from all others."""
        others = [item.name for item in self.domains if item.name != domain]
        self.set_partitions([("platform", domain), *((domain, other) for other in others)])

    def _start_network(self) -> None:
        self.network_address = self._next_address()
        sections = [f"[network]\ncontrol = {self.network_address}\n"]
        within_us, between_us = self._delays_us
        platforms = {}
        for index, domain in enumerate(self.domains):
            sections.append(f"[place {domain.name}]\nhost = 127.0.{index + 1}.1\n")
            for other in self.domains[index + 1 :]:
                delay = within_us if other.region == domain.region else between_us
                sections.append(f"[delay {domain.name} {other.name}]\none_way_us = {delay}\n")
        for entry in self.entries:
            sections.append(
                f"[route {entry.name}]\nplace = {entry.domain}\n"
                f"listen = {entry.advertised_address}\ntarget = {entry.peer_address}\n"
            )
            platforms[entry.domain] = entry.platform_address
        for domain, address in platforms.items():
            # The relay cannot identify the source of these connections: the place names the pair.
            sections.append(
                f"[route platform-{domain}]\nplace = platform-{domain}\n"
                f"listen = {address}\ntarget = {self.platform}\n"
            )
        self._spawn("network", "\n".join(sections), "caperdyke.programs.network")
        wait_for(lambda: _can_connect(self.network_address), "network")

    def start_entry(self, entry: Entry) -> None:
        """Starts or restarts one entry instance."""
        domain = next(item for item in self.domains if item.name == entry.domain)
        others = [other for other in self.entries if other is not entry]
        seeds = " ".join(other.advertised_address for other in others)
        sections = [
            f"[instance]\nname = {entry.name}\nfailure_domain = {entry.domain}",
            f"caller_address = {entry.caller_address}\npeer_address = {entry.peer_address}",
            f"advertised_peer_address = {entry.advertised_address}",
            f"[platform]\naddress = {entry.platform_address}\n[peers]\nseeds = {seeds}",
        ]
        for plan, number in _list_servers(domain):
            name = _name_backend(domain, plan, number)
            sections.append(
                f"[backend {name}]\nservice = {plan.service}\n"
                f"address = {self.backends[name]}\nslots = {plan.slots}"
            )
        sections.append(self._entry_settings)
        text = "\n".join(sections)
        entry.process = self._spawn(entry.name, text, "caperdyke.programs.entry")

    def wait_ready(self) -> None:
        """Waits until every entry is ready, holds a slice and lists all entries as usable."""
        for entry in self.entries:
            wait_for(lambda entry=entry: self._has_joined(entry), entry.name)

    def run_operator(self, *arguments: str) -> dict:
        """Runs the operators' command line and returns its JSON report."""
        done = self.try_operator(*arguments)
        if done.returncode != 0:
            raise RuntimeError(f"caperdyke {' '.join(arguments)}: {done.stderr}")
        return json.loads(done.stdout)

    def try_operator(self, *arguments: str) -> subprocess.CompletedProcess:
        """Runs the operators' command line without checking its exit status."""
        command = [sys.executable, "-m", "caperdyke.programs.operator", "--json", *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)

    def start_load(self, scenario: str, name: str = "load") -> subprocess.Popen:
        """Starts the load program; ``read_report`` returns its results."""
        path = self.folder / f"{name}.ini"
        path.write_text(scenario)
        command = [sys.executable, "-m", "caperdyke.programs.load", "run", str(path)]
        log = open(self.folder / f"{name}.log", "w")  # noqa: SIM115
        process = subprocess.Popen(
            [*command, "--report", str(self.folder / name)], stdout=log, stderr=log
        )
        self._processes.append(process)
        return process

    def read_report(self, name: str = "load") -> list[dict]:
        """Returns the results of a finished load."""
        return json.loads((self.folder / name / "results.json").read_text())

    def signal_entry(self, entry: Entry, number: signal.Signals) -> None:
        """Sends a signal to an entry instance that this fleet started."""
        os.kill(entry.process.pid, number)

    def find_entries(self, domain: str) -> list[Entry]:
        """Returns the entry instances of a failure domain."""
        return [entry for entry in self.entries if entry.domain == domain]

    def call(self, address: str, method: str, path: str, body: dict | None = None) -> dict:
        """Calls an HTTP interface and returns its JSON answer."""
        return call(address, method, path, body)

    def read_runs(self) -> dict[str, int]:
        """Returns the number of runs at the backend servers, by token of the request."""
        totals: dict[str, int] = {}
        for address in self.backends.values():
            for token, count in call(address, "GET", "/standin/runs")["runs"].items():
                totals[token] = totals.get(token, 0) + count
        return totals

    def read_starts(self) -> list[tuple[float, str, str]]:
        """Returns time, failure domain and token of every request start, in order of time."""
        starts = []
        for name, address in self.backends.items():
            domain = next(item.name for item in self.domains if name.startswith(item.name))
            for started_at, token in call(address, "GET", "/standin/runs")["starts"]:
                starts.append((started_at, domain, token))
        return sorted(starts)

    def set_backend_faults(self, name: str, **faults) -> None:
        """Sets the injected faults of one backend server."""
        call(self.backends[name], "PUT", "/standin/faults", faults)

    def set_platform_faults(self, **faults) -> None:
        """Sets the injected faults of the stand-in for the platform."""
        call(self.platform, "PUT", "/standin/faults", faults)

    def measure_memory(self, entry: Entry) -> float:
        """Returns the resident memory of an entry instance in MB."""
        status = pathlib.Path(f"/proc/{entry.process.pid}/status").read_text()
        line = next(item for item in status.splitlines() if item.startswith("VmRSS"))
        return int(line.split()[1]) / 1024

    def measure_cpu(self, entry: Entry) -> float:
        """Returns the CPU time that an entry instance has used, in seconds."""
        fields = pathlib.Path(f"/proc/{entry.process.pid}/stat").read_text().rsplit(")", 1)[1]
        user, system = fields.split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

    def close(self) -> None:
        """Kills every process that this fleet started."""
        for process in self._processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self._processes:
            process.wait(timeout=10)

    def _spawn(self, name: str, settings: str, module: str) -> subprocess.Popen:
        path = self.folder / f"{name}.ini"
        path.write_text(settings)
        log = open(self.folder / f"{name}.log", "a")  # noqa: SIM115
        command = [sys.executable, "-m", module, "--settings", str(path)]
        process = subprocess.Popen(command, stdout=log, stderr=log)
        self._processes.append(process)
        return process

    def _add_backend(self, domain: DomainPlan, plan: ServicePlan, number: int) -> str:
        name = _name_backend(domain, plan, number)
        self.backends[name] = self._next_address()
        return (
            f"[backend {name}]\nservice = {plan.service}\naddress = {self.backends[name]}\n"
            f"slots = {plan.slots}\nservice_ms = {plan.service_ms}\n"
            f"download_bytes = {plan.download_bytes}\ndownload_ms = {plan.download_ms}\n"
            f"cold_requests = {plan.cold_requests}\ncold_factor = {plan.cold_factor}\n"
        )

    def _next_address(self, host: str = "127.0.0.1") -> str:
        return f"{host}:{self._ports.pop()}"

    def _has_joined(self, entry: Entry) -> bool:
        try:
            status = call(entry.caller_address, "GET", "/status")
        except (OSError, ValueError):
            return False
        usable = sum(1 for item in status["members"] if item["is_usable"])
        return bool(status["is_ready"] and status["slices"] and usable == len(self.entries))


def call(address: str, method: str, path: str, body: dict | None = None) -> dict:
    """Calls an HTTP interface and returns its JSON answer."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    data = json.dumps(body) if body is not None else None
    connection.request(method, path, body=data)
    answer = connection.getresponse().read()
    connection.close()
    return json.loads(answer)


def _list_servers(domain: DomainPlan) -> list[tuple[ServicePlan, int]]:
    return [(plan, number) for plan in domain.services for number in range(plan.count)]


def _name_backend(domain: DomainPlan, plan: ServicePlan, number: int) -> str:
    return f"{domain.name}-{plan.service}-{number + 1}"


def _find_free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [item.getsockname()[1] for item in sockets]


def _can_connect(address: str) -> bool:
    host, port = address.split(":")
    try:
        socket.create_connection((host, int(port)), timeout=0.5).close()
    except OSError:
        return False
    return True


def wait_for(condition, name: str) -> None:
    """Waits until a condition holds, or raises RuntimeError after the start timeout."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise RuntimeError(f"{name} did not become ready in {START_TIMEOUT_S} s")
        time.sleep(0.05)
