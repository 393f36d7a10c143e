"""Check the commands of the pages under docs/operators and the README."""

import asyncio
import contextlib
import io
import json
import os
import pathlib
import re
import shlex
import shutil
import tempfile
import unittest
import unittest.mock

from cardamomcroft.bench import local
from cardamomcroft.bench import threads
from cardamomcroft.cli import client
from cardamomcroft.cli import main
from cardamomcroft.daemon import logs
from cardamomcroft.daemon import main as daemon
from cardamomcroft.settings import directory
from cardamomcroft.settings import instance

ROOT = pathlib.Path(__file__).parents[2]
PAGES = [*sorted(ROOT.glob("docs/operators/*.md")), ROOT / "README.md"]
TOKENS = {
    "ROOT_TOKEN": local.OPERATOR_TOKEN,
    "CALLER_TOKEN": "blue-hole-counter-token",
    "LEAD_TOKEN": "north-shops-lead-token",
}


def commands(page: pathlib.Path) -> list[str]:
    """Return the commands of a page's console blocks."""
    text = page.read_text(encoding="utf-8")
    return [
        line.removeprefix("$ ")
        for block in re.findall(r"```console\n(.*?)```", text, re.DOTALL)
        for line in block.splitlines()
        if line.startswith("$ ")
    ]


class ClusterThread:
    """Cluster on a thread of its own, so that commands may block."""

    def __init__(self) -> None:
        """Start the cluster with the declarations of examples/guild."""
        self._thread = threads.LoopThread()
        by_path = directory.load(ROOT / "examples" / "guild").ok
        self.cluster = self._thread.call(self._start(by_path))

    async def _start(self, by_path) -> local.LocalCluster:
        cluster = local.LocalCluster(
            by_path, 2, "cardamomcroft", instance.Timing(linger_s=0.05)
        )
        await cluster.start()
        await cluster.wait_serving()
        return cluster

    def stop(self) -> None:
        """Stop the cluster and the thread."""
        self._thread.call(self.cluster.stop())
        self._thread.stop()


def run(tokens: list[str]) -> tuple[int, str]:
    """Run a command line and return exit code and output."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        try:
            main.app(tokens, exit_on_error=False)
        except SystemExit as error:
            return int(error.code or 0), output.getvalue()
    return 0, output.getvalue()


class CommandTest(unittest.TestCase):
    """Run commands against a cluster on loopback."""

    @classmethod
    def setUpClass(cls) -> None:
        """Start the cluster and point the commands at it."""
        logs.configure(instance.Logging(level="error"))
        cls.cluster_thread = ClusterThread()
        cls.addClassCleanup(cls.cluster_thread.stop)
        servers = ",".join(
            cls.cluster_thread.cluster.url(number) for number in range(2)
        )
        variables = {"CARDAMOMCROFT_SERVER": servers, **TOKENS}
        patch = unittest.mock.patch.dict(os.environ, variables)
        patch.start()
        cls.addClassCleanup(patch.stop)
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.addClassCleanup(os.chdir, os.getcwd())
        os.chdir(folder.name)
        cls._copy_examples(pathlib.Path(folder.name) / "examples")

    @classmethod
    def _copy_examples(cls, folder: pathlib.Path) -> None:
        """Copy the examples, with the stand-in's address for the workers."""
        shutil.copytree(ROOT / "examples", folder)
        address = cls.cluster_thread.cluster.workers_address
        for file in folder.rglob("fleet/*.yaml"):
            text = file.read_text(encoding="utf-8")
            text = text.replace("127.0.0.1:7300", address)
            file.write_text(text, encoding="utf-8")

    def _run_as_root(self, *tokens: str) -> tuple[int, str]:
        return run([*tokens, "--token", local.OPERATOR_TOKEN])

    def test_every_command_of_the_pages(self):
        count = 0
        for page in PAGES:
            for command in commands(page):
                with self.subTest(page=page.name, command=command):
                    self._run_command(command)
                    count += 1
        self.assertGreater(count, 15)

    def _run_command(self, command: str) -> None:
        is_background = command.endswith("&")
        words = shlex.split(os.path.expandvars(command.rstrip("& ")))
        program, *tokens = words
        app = {"cardamomcroft": main.app, "cardamomcroftd": daemon.app}
        if is_background:
            app[program].parse_args(tokens, exit_on_error=False)
            return
        code, output = run(tokens)
        self.assertEqual(0, code, output)

    def test_race_gives_exit_code_for_conflict(self):
        path = "teams/north-shops/accounts/blue-hole"
        self._run_as_root("apply", "examples/guild")
        _, output = self._run_as_root("get", path, "--json")
        revision = json.loads(output)["entries"][path]["revision"]
        target = client.Target(
            (self.cluster_thread.cluster.url(0),), local.OPERATOR_TOKEN
        )
        body = {
            "edits": [
                {
                    "path": path,
                    "expected_revision": revision - 1,
                    "document": {"region": "red-sea"},
                }
            ]
        }
        result = asyncio.run(client.call(target, "POST", "/v1/settings", body))
        self.assertEqual(client.ExitCode.CONFLICT, result.error.exit_code)

    def test_wrong_use_and_unreachable_server_have_their_codes(self):
        code, _ = run(["validate", "nowhere"])
        self.assertEqual(client.ExitCode.WRONG_USE, code)
        code, _ = run(
            ["status", "--server", "http://127.0.0.1:9", "--token", "x"]
        )
        self.assertEqual(client.ExitCode.TRY_LATER, code)

    def test_job_can_be_submitted_cancelled_and_shown_as_json(self):
        self._run_as_root("apply", "examples/guild")
        token = ["--token", TOKENS["CALLER_TOKEN"], "--json"]
        code, output = run(
            ["submit", "examples/jobs/scan.yaml", "--key", "k", *token]
        )
        self.assertEqual(0, code)
        job_id = json.loads(output)["job_id"]
        code, output = run(["status", job_id, *token])
        self.assertEqual(job_id, json.loads(output)["job_id"])
        code, _ = run(["cancel", job_id, *token])
        self.assertIn(code, (0, client.ExitCode.CONFLICT))
