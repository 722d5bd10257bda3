"""Settings of a gateway: the deployed template, invalid values, and reloads."""

import asyncio
import pathlib
import re
import tempfile

import testtools
from parameterized import parameterized

from caperdyke import errors
from caperdyke.protocol import gateway_files
from caperdyke.transport.gateway import reload
from testing.platform import harness

TEMPLATE = pathlib.Path(__file__).resolve().parent.parent.parent / "deploy" / "gateway.ini"
# Deliberately match none of the real sites.
TEMPLATE_VALUES = {
    "node": "front-1",
    "zone": "only-hall",
    "region": "alone",
    "listen.front": "10.0.0.1:1",
    "listen.ready": "10.0.0.1:2",
    "listen.directory": "10.0.0.1:3",
    "listen.control": "10.0.0.1:4",
    "seeds": "",
    "ipAddress": "10.0.0.1",
    "platform.address": "10.9.9.9:5",
    "bounds.retryBudgetRatio": "0.05",
    "bounds.retryBudgetSlack": "7",
    "bounds.budgetWindowS": "3",
    "bounds.coldLoadFactor": "1",
    "bounds.coldSlack": "0",
    "bounds.drainMs": "900",
    "bounds.ttl_max_s": "1",
    "bounds.graceS": "20",
}


def fill_template(**changes) -> str:
    """Returns the template rendered as by the platform, with one failure domain."""
    values = TEMPLATE_VALUES | changes
    text = TEMPLATE.read_text()
    text = re.sub(r"{{#zones}}(.*?){{/zones}}", r"\1", text, flags=re.DOTALL)
    text = text.replace("{{@}}", values["zone"]).replace("{{.}}", values["region"])
    return re.sub(r"{{([a-zA-Z._]+)}}", lambda match: values[match[1]], text)


def write_settings(text: str) -> str:
    """Writes a settings file and returns its path."""
    with tempfile.NamedTemporaryFile("w", suffix=".ini", delete=False) as file:
        file.write(text)
    return file.name


class GatewayFilesTest(testtools.TestCase):
    """Reading of settings files."""

    def test_template(self) -> None:
        gateway_settings = gateway_files.read_gateway(write_settings(fill_template()))
        self.assertEqual({"only-hall": "alone"}, gateway_settings.domains)
        self.assertEqual((), gateway_settings.seeds)
        self.assertEqual(
            (0.05, 7.0, 3.0, 1.0, 0.0, 0.9, 1.0, 20.0),
            (
                gateway_settings.bounds.retry_ratio,
                gateway_settings.bounds.retry_allowance,
                gateway_settings.bounds.retry_window,
                gateway_settings.bounds.cold_factor,
                gateway_settings.bounds.cold_allowance,
                gateway_settings.bounds.leaving_seconds,
                gateway_settings.bounds.lookup_seconds,
                gateway_settings.bounds.stop_seconds,
            ),
        )

    @parameterized.expand(
        [
            ("listen.front", "nowhere", "requests"),
            ("bounds.graceS", "soon", "stop_s"),
            ("bounds.drainMs", "nan", "leaving_ms"),
            ("bounds.retryBudgetRatio", "-1", "retry_ratio"),
            ("seeds", "10.0.0.1", "seeds"),
        ]
    )
    def test_wrong_value_is_named(self, name, value, key) -> None:
        path = write_settings(fill_template(**{name: value}))
        error = self.assertRaises(errors.SettingsError, gateway_files.read_gateway, path)
        self.assertEqual(key, error.key)


class ReloadTest(harness.AsyncTestCase):
    """Changes of the settings file while the gateway runs."""

    @parameterized.expand([("new bound", "bounds.drainMs", 0.5), ("unreadable", "seeds", 0.9)])
    def test_reload(self, _name, changed, expected) -> None:
        async def scenario() -> None:
            async with harness.start_gateway() as env:
                path = write_settings(fill_template())
                reloader = reload.Reloader(env.gateway.node, path)
                reloader.reload()
                self.assertEqual(0.9, env.gateway.node.settings.bounds.leaving_seconds)
                caller_address = env.gateway.node.settings.caller_address
                pathlib.Path(path).write_text(fill_template(**{changed: "500"}))
                reloader.reload()
                settings = env.gateway.node.settings
                self.assertEqual(expected, settings.bounds.leaving_seconds)
                self.assertEqual(caller_address, settings.caller_address)
                self.assertEqual(200, (await env.send_request())[0])

        self.run_async(scenario)

    def test_size_of_the_waiting_queue(self) -> None:
        """Requests wait only where a deployment asks for it, and it may be switched on any time."""

        async def scenario() -> None:
            async with harness.start_gateway() as env:
                path = write_settings(fill_template())
                reloader = reload.Reloader(env.gateway.node, path)
                sizes = []
                for text in (
                    "",
                    "\n[placing]\nwaiting_max = 64\n",
                    "\n[placing]\nwaiting_max = -1",
                ):
                    pathlib.Path(path).write_text(fill_template() + text)
                    reloader.reload()
                    sizes.append(env.gateway.node.settings.waiting_max)
                self.assertEqual([0, 64, 64], sizes)

        self.run_async(scenario)

    def test_change_without_a_signal(self) -> None:
        self.patch(reload, "WATCH_SECONDS", 0.01)

        async def scenario() -> None:
            async with harness.start_gateway() as env:
                path = write_settings(fill_template())
                watching = asyncio.create_task(reload.Reloader(env.gateway.node, path).watch())
                await asyncio.sleep(0)
                pathlib.Path(path).write_text(fill_template(**{"bounds.drainMs": "500"}))
                node = env.gateway.node
                await env.wait_until(lambda: node.settings.bounds.leaving_seconds == 0.5)
                watching.cancel()

        self.run_async(scenario)
