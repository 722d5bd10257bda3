"""Settings of a gateway: the deployed template, invalid values, and reloads."""

import asyncio
import pathlib
import re
import tempfile

import testtools
from parameterized import parameterized

from caperdyke import errors
from caperdyke.protocol import gateway_files
from caperdyke.state import gateway_settings
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
    """Returns the template rendered as by the platform, with one failure domain.

    :param changes: values by name; sections of names without a value are left out.
    """
    values = TEMPLATE_VALUES | changes
    text = TEMPLATE.read_text()
    text = re.sub(r"{{#zones}}(.*?){{/zones}}", r"\1", text, flags=re.DOTALL)
    text = re.sub(
        r"{{#([a-zA-Z._]+)}}\n(.*?){{/\1}}\n",
        lambda match: match[2] if match[1] in values else "",
        text,
        flags=re.DOTALL,
    )
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
        read = gateway_files.read_gateway(write_settings(fill_template()))
        self.assertEqual({"only-hall": "alone"}, read.domains)
        self.assertEqual((), read.seeds)
        self.assertEqual(
            (0.05, 7.0, 3.0, 1.0, 0.0, 0.9, 1.0, 20.0),
            (
                read.bounds.retry_ratio,
                read.bounds.retry_allowance,
                read.bounds.retry_window,
                read.bounds.cold_factor,
                read.bounds.cold_allowance,
                read.bounds.leaving_seconds,
                read.bounds.lookup_seconds,
                read.bounds.stop_seconds,
            ),
        )

    @parameterized.expand(
        [
            ("absent", {}, gateway_settings.QuotaTolerance(5.0, 0.1, 20.0)),
            (
                "given",
                {
                    "bounds.quotaWindowS": "2",
                    "bounds.quotaOverrun": "0.2",
                    "bounds.quotaSlack": "3",
                },
                gateway_settings.QuotaTolerance(2.0, 0.2, 3.0),
            ),
        ]
    )
    def test_quota_tolerance(self, _name, changes, expected) -> None:
        """Guards against a platform without quotas, whose template lacks the values."""
        read = gateway_files.read_gateway(write_settings(fill_template(**changes)))
        self.assertEqual(expected, read.quota_tolerance)

    @parameterized.expand(
        [
            ("absent", {}, False, 5.0),
            ("lenient", {"bounds.strictRevocation": "false"}, False, 5.0),
            ("strict", {"bounds.strictRevocation": "true"}, True, 5.0),
            ("time_only", {"bounds.revokeMs": "900"}, False, 0.9),
            ("both", {"bounds.strictRevocation": "true", "bounds.revokeMs": "2000"}, True, 2.0),
        ]
    )
    def test_revocation(self, _name, values, is_strict, seconds) -> None:
        teams = gateway_files.read_gateway(write_settings(fill_template(**values))).teams
        self.assertEqual((is_strict, seconds), (teams.is_revocation_strict, teams.revoke_seconds))

    def test_settings_without_the_section_of_teams_are_read(self) -> None:
        """Guards against settings of the previous template that are rejected at an upgrade."""
        teams = gateway_files.read_gateway(
            write_settings(fill_template().replace("[teams]\n", ""))
        ).teams
        self.assertEqual((False, 5.0), (teams.is_revocation_strict, teams.revoke_seconds))

    @parameterized.expand(
        [
            ("bounds.strictRevocation", "maybe", "strict_revocation"),
            ("bounds.revokeMs", "-5", "revoke_ms"),
            ("listen.front", "nowhere", "requests"),
            ("bounds.quotaSlack", "-1", "slack"),
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

    @parameterized.expand(
        [
            ("absent", "", gateway_settings.LoadModel.REPORTED),
            ("reported", "load_model = reported", gateway_settings.LoadModel.REPORTED),
            ("blended", "load_model = blended", gateway_settings.LoadModel.BLENDED),
        ]
    )
    def test_load_model(self, _name, line, expected) -> None:
        path = write_settings(f"{fill_template()}\n[placing]\n{line}\n")
        self.assertEqual(expected, gateway_files.read_gateway(path).load_model)

    def test_unknown_load_model_is_rejected(self) -> None:
        path = write_settings(f"{fill_template()}\n[placing]\nload_model = guessed\n")
        error = self.assertRaises(errors.SettingsError, gateway_files.read_gateway, path)
        self.assertEqual("load_model", error.key)

    @parameterized.expand(
        [
            ("defaults", "", (16, 4 * 1024 * 1024)),
            ("given", "pipelined_max = 1\npipelined_bytes = 65536\n", (1, 65536)),
        ]
    )
    def test_pipelining(self, _name, lines, expected) -> None:
        text = fill_template().replace("[callers]\n", "[callers]\n" + lines)
        settings = gateway_files.read_gateway(write_settings(text))
        self.assertEqual(expected, (settings.pipelined_max, settings.pipelined_bytes))

    @parameterized.expand(
        [("pipelined_max", "0"), ("pipelined_max", "many"), ("pipelined_bytes", "65535")]
    )
    def test_wrong_limit_of_pipelining_is_named(self, key, value) -> None:
        text = fill_template().replace("[callers]\n", f"[callers]\n{key} = {value}\n")
        error = self.assertRaises(
            errors.SettingsError, gateway_files.read_gateway, write_settings(text)
        )
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
