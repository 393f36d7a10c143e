"""Check permissions and the handling of invalid input over HTTP."""

import asyncio
import hashlib
import json
import unittest

import aiohttp
import hypothesis
from hypothesis import strategies

from cardamomcroft.bench import local
from cardamomcroft.daemon import node as nodes
from cardamomcroft.daemon import serving
from cardamomcroft.peers import local as local_peers
from cardamomcroft.settings import documents
from cardamomcroft.settings import instance
from cardamomcroft.standin import log
from cardamomcroft.state import models
from tests import harness

FLEET = "fleet/dahab"
NORTH = "teams/shops/accounts/north"
SOUTH = "teams/others/accounts/south"
TIMING = instance.Timing(linger_s=0.05)
FUZZ_INPUTS = 1200
ALLOWED = {200, 201, 202, 400, 401, 403, 404, 405, 409, 413, 422, 429, 503}


def digest(token: str) -> str:
    """Return the SHA-256 of a token in hex."""
    return hashlib.sha256(token.encode()).hexdigest()


def account(token: str) -> documents.Account:
    """Return an account with one caller."""
    return documents.Account(
        harness.REGION, callers={"counter": documents.Principal(digest(token))}
    )


def operators(token: str) -> documents.Operators:
    """Return operators with one lead."""
    return documents.Operators({"lead": documents.Principal(digest(token))})


class ApiCase(unittest.IsolatedAsyncioTestCase):
    """Serve two instances on loopback."""

    async def asyncSetUp(self) -> None:
        """Start the cluster and declare two teams."""
        by_path = {
            FLEET: harness.fleet_document(["w1", "w2"]),
            NORTH: account("north-token"),
            SOUTH: account("south-token"),
            "teams/shops/operators": operators("shops-token"),
            "teams/others/operators": operators("others-token"),
        }
        self.cluster = local.LocalCluster(by_path, 2, "cardamomcroft", TIMING)
        await self.cluster.start()
        self.session = aiohttp.ClientSession()
        await self.cluster.wait_serving()
        self.revision = await local.apply_all(
            self.session, self.cluster.url(0), self.cluster.by_path
        )
        await self.cluster.wait_in_force(self.revision)

    async def asyncTearDown(self) -> None:
        """Close the session and stop the cluster."""
        await self.session.close()
        await self.cluster.stop()

    async def call(
        self, method, path, token="", body=None, key="", number=0, data=None
    ):
        """Send a call and return its status and JSON body."""
        headers = local.headers(token, key) if token else {}
        async with self.session.request(
            method,
            f"{self.cluster.url(number)}{path}",
            json=body,
            data=data,
            headers=headers,
        ) as response:
            return response.status, await response.json()

    def edit(self, path, revision, document):
        """Return the request body with one edit."""
        edit = {"path": path, "expected_revision": revision}
        return {"edits": [edit | {"document": document}]}


class PermissionTest(ApiCase):
    """Check the permissions of operators and callers."""

    async def test_unknown_token_is_401_everywhere(self):
        for method, path in (
            ("GET", "/v1/jobs"),
            ("POST", "/v1/settings"),
            ("GET", "/v1/state"),
        ):
            status, _ = await self.call(method, path, "nobody")
            self.assertEqual(401, status)

    async def test_team_changes_only_its_subtree(self):
        body = self.edit(SOUTH, self.revision, {"region": harness.REGION})
        status, data = await self.call(
            "POST", "/v1/settings", "shops-token", body
        )
        self.assertEqual(403, status)
        self.assertEqual("not_run", data["error"]["verdict"])
        body = self.edit(NORTH, self.revision, {"region": harness.REGION})
        status, _ = await self.call(
            "POST", "/v1/settings", "shops-token", body
        )
        self.assertEqual(200, status)

    async def test_caller_sees_only_its_accounts_jobs(self):
        status, job = await self.call(
            "POST", "/v1/jobs", "north-token", {"kind": "scan", "run_s": 1}
        )
        self.assertEqual(201, status)
        path = f"/v1/jobs/{job['job_id']}"
        self.assertEqual(404, (await self.call("GET", path, "south-token"))[0])
        self.assertEqual(
            404, (await self.call("DELETE", path, "south-token"))[0]
        )
        self.assertEqual(
            200, (await self.call("GET", path, "shops-token", number=1))[0]
        )
        _, data = await self.call("GET", "/v1/jobs", "south-token")
        self.assertEqual([], data["jobs"])

    async def test_caller_cannot_read_settings_or_fleet(self):
        for path in (f"/v1/settings/{NORTH}", "/v1/workers", "/v1/instances"):
            status, _ = await self.call("GET", path, "north-token")
            self.assertEqual(403, status)


class InputTest(ApiCase):
    """Check the answers to conflicting, repeated and invalid input."""

    async def test_race_gives_one_winner_and_both_in_history(self):
        first = self.edit(NORTH, self.revision, {"region": "red-sea"})
        second = self.edit(
            NORTH, self.revision, {"region": "red-sea", "weight": 2.0}
        )
        results = await asyncio.gather(
            self.call("POST", "/v1/settings", "shops-token", first),
            self.call("POST", "/v1/settings", "shops-token", second, number=1),
        )
        statuses = sorted(status for status, _ in results)
        self.assertEqual([200, 409], statuses)
        by_status = dict(results)
        self.assertEqual(
            by_status[200]["revision"], by_status[409]["error"]["revision"]
        )
        _, data = await self.call("GET", f"/v1/history/{NORTH}", "shops-token")
        accepted = [entry["accepted"] for entry in data["entries"]]
        self.assertEqual([True, True, False], accepted)
        self.assertIn("revision", data["entries"][-1]["reason"])

    async def test_impossible_job_is_refused_with_the_reason(self):
        status, data = await self.call(
            "POST", "/v1/jobs", "north-token", {"kind": "s", "members": 99}
        )
        self.assertEqual(422, status)
        self.assertIn("no region holds 99", data["error"]["detail"])

    async def test_same_key_at_another_instance_is_the_same_job(self):
        spec = {"kind": "scan", "run_s": 1}
        one = await self.call("POST", "/v1/jobs", "north-token", spec, "k")
        two = await self.call(
            "POST", "/v1/jobs", "north-token", spec, "k", number=1
        )
        self.assertEqual((201, 200), (one[0], two[0]))
        self.assertEqual(one[1]["job_id"], two[1]["job_id"])

    async def test_guarantee_beyond_the_fleet_names_the_path(self):
        document = {
            "region": harness.REGION,
            "guarantee": [{"accelerators": 8, "count": 3}],
        }
        status, data = await self.call(
            "POST",
            "/v1/settings",
            "shops-token",
            self.edit(NORTH, self.revision, document),
        )
        self.assertEqual(422, status)
        self.assertEqual(NORTH, data["error"]["problems"][0]["path"])

    async def test_other_wrong_input(self):
        token = "north-token"
        for expected, arguments in (
            (404, ("GET", "/nowhere", token)),
            (405, ("DELETE", "/v1/settings", token)),
            (404, ("GET", "/v1/jobs/none", token)),
            (400, ("GET", "/v1/jobs/none?wait_s=x", token)),
        ):
            status, data = await self.call(*arguments)
            self.assertIn(status, (expected, 404))
            self.assertEqual("not_run", data["error"]["verdict"])
        status, _ = await self.call(
            "POST", "/v1/jobs", token, data=b"x" * 1_100_000
        )
        self.assertEqual(413, status)
        status, _ = await self.call("POST", "/v1/jobs", token, data=b"{")
        self.assertEqual(422, status)

    async def test_keyed_request_runs_once_at_two_instances(self):
        body = {"body": "book the vet"}
        one = await self.call("POST", "/v1/requests", "north-token", body, "k")
        two = await self.call(
            "POST", "/v1/requests", "north-token", body, "k", number=1
        )
        self.assertEqual(one[1]["answer"], two[1]["answer"])
        executed = sum(
            len(worker.executed)
            for worker in self.cluster.workers.by_id.values()
        )
        self.assertEqual(1, executed)

    async def test_health_needs_no_token(self):
        self.assertEqual(200, (await self.call("GET", "/healthz"))[0])
        self.assertEqual(200, (await self.call("GET", "/readyz"))[0])


class OutageTest(ApiCase):
    """Cut one of two instances off from the log and from its peer."""

    async def asyncSetUp(self) -> None:
        """Wait until the second instance has noticed the cut."""
        await super().asyncSetUp()
        node = self.cluster.servers[1].node
        self.dead_log = log.StandinLog(self.cluster.clock)
        self.dead_log.down = True
        node.replica._log = self.dead_log
        node.exchange._peers = local_peers.LocalNetwork().client("")
        await nodes.wait_until(
            self.cluster.clock,
            lambda: not node.replica.reachable,
            harness.seconds(10),
        )

    async def test_accepted_job_is_not_denied_without_the_log(self):
        status, job = await self.call(
            "POST", "/v1/jobs", "north-token", {"kind": "scan", "run_s": 1}
        )
        self.assertEqual(201, status)
        path = f"/v1/jobs/{job['job_id']}"
        for method in ("GET", "DELETE"):
            status, data = await self.call(
                method, path, "north-token", number=1
            )
            self.assertEqual(503, status)
            self.assertEqual("unavailable", data["error"]["reason"])
        self.assertGreater(self.dead_log.injected["log_down"], 0)


class LoadingTest(ApiCase):
    """Start an instance that cannot read the log yet."""

    async def restart(self, state: models.State) -> log.StandinLog:
        """Start the second instance again, with a state but no log."""
        await self.cluster.servers[1].stop()
        server = serving.Server(self.cluster.settings[1])
        dead_log = log.StandinLog(self.cluster.clock)
        dead_log.down = True
        server.node.replica._log = dead_log
        server.node.replica.load(state)
        server.node.exchange._peers = local_peers.LocalNetwork().client("")
        self.cluster.servers[1] = server
        await server.start()
        await nodes.wait_until(
            self.cluster.clock,
            lambda: dead_log.injected["log_down"] > 0,
            harness.seconds(10),
        )
        return dead_log

    async def test_caller_is_not_unauthorized_while_settings_are_missing(self):
        dead_log = await self.restart(models.State())
        status, data = await self.call(
            "GET", "/v1/jobs", "north-token", number=1
        )
        self.assertGreater(dead_log.injected["log_down"], 0)
        self.assertEqual(503, status)
        self.assertEqual("unavailable", data["error"]["reason"])
        self.assertEqual(401, (await self.call("GET", "/v1/jobs", "no"))[0])

    async def test_removed_token_stays_removed_while_settings_load(self):
        older = self.cluster.servers[0].node.replica.state
        body = self.edit(NORTH, self.revision, {"region": harness.REGION})
        status, _ = await self.call(
            "POST", "/v1/settings", "shops-token", body
        )
        self.assertEqual(200, status)
        removed = ("GET", "/v1/jobs", "north-token")
        self.assertEqual(401, (await self.call(*removed))[0])
        dead_log = await self.restart(older)
        status, data = await self.call(*removed, number=1)
        self.assertGreater(dead_log.injected["log_down"], 0)
        self.assertEqual(503, status)
        self.assertEqual("unavailable", data["error"]["reason"])

    async def test_state_is_shown_to_the_fleets_operators_during_a_load(self):
        older = self.cluster.servers[0].node.replica.state
        await self.restart(older)
        status, data = await self.call(
            "GET", "/v1/state", local.OPERATOR_TOKEN, number=1
        )
        self.assertEqual((200, "catching_up"), (status, data["lifecycle"]))


keys = strategies.sampled_from(
    (
        "kind",
        "members",
        "accelerators",
        "run_s",
        "adjacency",
        "edits",
        "path",
        "expected_revision",
        "document",
        "body",
        "deadline_s",
        "is_idempotent",
        "region",
        "guarantee",
    )
)
leaves = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(10**20), 10**20)
    | strategies.floats()
    | strategies.sampled_from(("scan", NORTH, FLEET, "rack", "\ud800", ""))
    | strategies.text(max_size=5)
)
values = strategies.recursive(
    leaves,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(keys, inner, max_size=5)
    ),
    max_leaves=10,
)
edits = strategies.fixed_dictionaries(
    {
        "edits": strategies.lists(
            strategies.fixed_dictionaries(
                {
                    "path": strategies.sampled_from((NORTH, SOUTH, FLEET)),
                    "expected_revision": strategies.integers(-1, 5),
                    "document": values,
                }
            ),
            max_size=3,
        )
    }
)
calls = strategies.tuples(
    strategies.sampled_from(("GET", "POST", "DELETE", "PUT")),
    strategies.sampled_from(
        (
            "/v1/jobs",
            "/v1/settings",
            "/v1/requests",
            f"/v1/settings/{NORTH}",
            f"/v1/history/{NORTH}",
            "/v1/jobs/%00",
            "/v1/jobs/x?wait_s=nan",
            "/v1/workers",
            "/v1/state",
            "//",
        )
    ),
    strategies.sampled_from(
        ("north-token", "shops-token", local.OPERATOR_TOKEN, "none", "")
    ),
    values | edits,
    strategies.sampled_from(("", "k", "a" * 300)),
)


class FuzzTest(ApiCase):
    """Send arbitrary input."""

    async def test_no_500_and_nothing_accepted_in_part(self):
        found = []

        @hypothesis.settings(
            derandomize=True,
            deadline=None,
            max_examples=FUZZ_INPUTS,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        )
        @hypothesis.given(calls)
        def collect(one):
            found.append(one)

        await asyncio.to_thread(collect)
        self.assertGreaterEqual(len(found), 1000)
        for one in found:
            await self._send(*one)

    async def _send(self, method, path, token, body, key):
        state = self.cluster.servers[0].node.replica.state
        before = dict(state.settings)
        headers = local.headers(token, key)
        async with self.session.request(
            method,
            f"{self.cluster.url(0)}{path}",
            data=json.dumps(body),
            headers=headers,
        ) as response:
            plain = await response.json()
        self.assertIn(response.status, ALLOWED, (method, path, body, plain))
        state = self.cluster.servers[0].node.replica.state
        if path == "/v1/settings" and response.status == 200:
            for edit in body["edits"]:
                self._check_applied(state, edit, plain["revision"])
        elif dict(state.settings) != before:
            self.fail(f"refused, but changed: {body}")

    def _check_applied(self, state, edit, revision):
        entry = state.settings.get(edit["path"])
        if edit["document"] is None:
            self.assertIsNone(entry)
        else:
            self.assertEqual(revision, entry.revision)
