"""Define a state machine that runs a cluster under injected faults."""

import asyncio
import collections
import dataclasses

from hypothesis import stateful
from hypothesis import strategies

from cardamomcroft.log import appender as appenders
from cardamomcroft.log import records
from cardamomcroft.ports import verdict
from cardamomcroft.requests import messages
from cardamomcroft.settings import parsing
from cardamomcroft.state import models
from tests import harness

INSTANCES = 3
HEAL_LIMIT_S = 400.0
CONFIRM_LIMIT_S = 5.0
PARTIAL_GRACE_S = 20.0  # lease, hold and self-lease, twice
RACE_PATH = "teams/shops/accounts/raced"

FAULTS: collections.Counter[str] = collections.Counter()

instances = strategies.integers(0, INSTANCES - 1)
worker_numbers = strategies.integers(0, 3)


@dataclasses.dataclass(slots=True)
class Promises:
    """Collect the outcomes reported to callers and operators."""

    accepted: set[str] = dataclasses.field(default_factory=set)
    refused: set[str] = dataclasses.field(default_factory=set)
    unknown: set[str] = dataclasses.field(default_factory=set)
    cancelled: set[str] = dataclasses.field(default_factory=set)
    requests_not_run: set[str] = dataclasses.field(default_factory=set)
    revisions: dict[str, int] = dataclasses.field(default_factory=dict)


class ClusterMachine(stateful.RuleBasedStateMachine):
    """Let anything befall a cluster and check what it promised."""

    def __init__(self) -> None:
        """Start a healthy cluster."""
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.cluster = harness.FakeCluster(INSTANCES)
        self.promises = Promises()
        self._requests = 0
        self.do(self.cluster.ready())

    def do(self, awaitable):
        """Run a coroutine to its end."""
        return self.loop.run_until_complete(awaitable)

    def _node(self, number: int):
        names = sorted(self.cluster.nodes)
        return self.cluster.nodes[names[number % len(names)]]

    @stateful.rule(
        number=instances,
        members=strategies.integers(1, 4),
        accelerators=strategies.sampled_from((1, 2, 4, 8)),
        run_s=strategies.sampled_from((1.0, 5.0, 20.0)),
    )
    def submit(self, number, members, accelerators, run_s):
        """Submit a job and remember the answer."""
        body = self.cluster.submission(
            members=members, accelerators=accelerators, run_s=run_s
        )
        result = self._confirm(number, body)
        if result.is_ok():
            assert result.ok.accepted, result.ok
            self.promises.accepted.add(body.job_id)
        elif result.error.verdict is verdict.Verdict.NOT_RUN:
            self.promises.refused.add(body.job_id)
        else:
            self.promises.unknown.add(body.job_id)

    def _confirm(self, number: int, body):
        return self.do(
            self.cluster.run(
                self._node(number).appender.confirm(
                    body,
                    appenders.Priority.OPERATOR,
                    harness.seconds(CONFIRM_LIMIT_S),
                )
            )
        )

    @stateful.rule(number=instances, pick=strategies.integers(0, 50))
    def cancel(self, number, pick):
        """Cancel an accepted job."""
        if not self.promises.accepted:
            return
        jobs = sorted(self.promises.accepted)
        job_id = jobs[pick % len(jobs)]
        body = records.JobCancelled(job_id, "tester")
        result = self._confirm(number, body)
        if result.is_error() or result.ok.accepted:
            self.promises.cancelled.add(job_id)

    @stateful.rule(
        number=instances,
        is_idempotent=strategies.booleans(),
        is_keyed=strategies.booleans(),
        fault=strategies.sampled_from(("none", "refused", "lost")),
    )
    def request(self, number, is_idempotent, is_keyed, fault):
        """Send a request and check that the answer is its own."""
        for worker in self.cluster.workers.by_id.values():
            worker.faults.refused["execute"] = int(fault == "refused")
            worker.faults.lost_answers["execute"] = int(fault == "lost")
        self._requests += 1
        request_id = f"request-{self._requests}"
        deadline = self.cluster.clock.monotonic() + harness.seconds(5)
        request = messages.Request(
            request_id,
            harness.ACCOUNT,
            "counter",
            f"body of {request_id}",
            deadline,
            f"key of {request_id}" if is_keyed else "",
            is_idempotent,
        )
        node = self._node(number)
        result = self.do(self.cluster.run(node.router.run(request)))
        executed = self._executed(request_id)
        if result.is_ok():
            assert result.ok.request_id == request_id
            assert result.ok.body.startswith(f"body of {request_id} ")
        elif result.error.verdict is verdict.Verdict.NOT_RUN:
            assert not executed, "not run, but it ran"
            self.promises.requests_not_run.add(request_id)
        if not is_idempotent:
            assert executed <= 1, "a non-idempotent request ran twice"

    def _executed(self, request_id: str) -> int:
        return sum(
            worker.executed.count(request_id)
            for worker in self.cluster.workers.by_id.values()
        )

    @stateful.rule(first=instances, second=instances)
    def race(self, first, second):
        """Let two operators change one path at once."""
        expected = max(
            (
                node.replica.state.settings[RACE_PATH].revision
                for node in self.cluster.nodes.values()
                if RACE_PATH in node.replica.state.settings
            ),
            default=-1,
        )
        document = harness.account_document(weight=1.0 + self._requests)
        content = parsing.to_json(document)
        body = records.SettingsChanged(
            "operator", (records.Edit(RACE_PATH, expected, content),)
        )
        limit = harness.seconds(CONFIRM_LIMIT_S)
        both = asyncio.gather
        results = self.do(self._race(first, second, body, limit, both))
        won = [
            result
            for result in results
            if result.is_ok() and result.ok.accepted
        ]
        assert len(won) <= 1, "two operators won one race"
        FAULTS["operators_raced"] += 1

    async def _race(self, first, second, body, limit, both):
        appends = [
            self._node(number).appender.confirm(
                body, appenders.Priority.OPERATOR, limit
            )
            for number in (first, second)
        ]
        return await self.cluster.run(both(*appends))

    @stateful.rule(number=instances, is_listed=strategies.booleans())
    def kill(self, number, is_listed):
        """End an instance without warning; the list may lag."""
        if len(self.cluster.nodes) == 1:
            return
        node = self._node(number)
        FAULTS["instance_killed"] += 1
        FAULTS["owner_killed"] += node.scheduler.holds_claim()
        self.do(
            self.cluster.kill(node.settings.instance_id, delist=not is_listed)
        )

    @stateful.rule(number=instances)
    def stop(self, number):
        """End an instance as planned."""
        if len(self.cluster.nodes) == 1:
            return
        node = self._node(number)
        FAULTS["instance_stopped"] += 1
        self.do(self.cluster.run(node.drain()))
        self.do(self.cluster.kill(node.settings.instance_id))

    @stateful.rule()
    def replace(self):
        """Start what was ended."""
        self._replace()

    def _replace(self):
        for instance_id in self.cluster.ids:
            if instance_id not in self.cluster.nodes:
                self.do(self.cluster.start_node(instance_id))

    @stateful.rule(is_down=strategies.booleans())
    def fail_log(self, is_down):
        """Take the log away or bring it back."""
        self.cluster.log.down = is_down

    @stateful.rule(
        answers=strategies.integers(0, 3),
        requests=strategies.integers(0, 3),
        delay_s=strategies.sampled_from((0.0, 0.0, 0.5, 2.5)),
    )
    def disturb_log(self, answers, requests, delay_s):
        """Lose answers or requests of the log, or slow it down."""
        self.cluster.log.lost_answers = answers
        self.cluster.log.lost_requests = requests
        self.cluster.log.delay = harness.seconds(delay_s)

    @stateful.rule(first=instances, second=instances)
    def cut(self, first, second):
        """Cut the link between two instances."""
        if first != second:
            ids = self.cluster.ids
            self.cluster.network.cut.add(
                frozenset({f"{ids[first]}:1", f"{ids[second]}:1"})
            )

    @stateful.rule()
    def mend_links(self):
        """Mend every link."""
        self.cluster.network.cut.clear()

    @stateful.rule(number=worker_numbers)
    def lose_worker(self, number):
        """Let a worker forget everything."""
        FAULTS["worker_lost"] += 1
        self.cluster.workers.by_id[f"w{number + 1}"].lose()

    @stateful.rule(number=worker_numbers, is_cut=strategies.booleans())
    def cut_worker(self, number, is_cut):
        """Make a worker unreachable or reachable."""
        self.cluster.workers.by_id[f"w{number + 1}"].cut(is_cut)

    @stateful.rule(
        number=instances,
        operation=strategies.sampled_from(
            ("reserve", "start", "stop", "renew", "execute")
        ),
        is_lost=strategies.booleans(),
        members=strategies.integers(1, 4),
        accelerators=strategies.sampled_from((4, 8)),
    )
    def submit_under_fault(
        self, number, operation, is_lost, members, accelerators
    ):
        """Submit while a command is refused or its answer is lost."""
        for worker in self.cluster.workers.by_id.values():
            faults = worker.faults
            counter = faults.lost_answers if is_lost else faults.refused
            counter[operation] += 1
        self.submit(number, members, accelerators, 5.0)
        self.do(self.cluster.advance(0.3))

    @stateful.rule(number=worker_numbers)
    def cross_answer(self, number):
        """Let a worker answer with another request's id."""
        FAULTS["answer_crossed"] += 1
        worker = self.cluster.workers.by_id[f"w{number + 1}"]
        worker.faults.crossed_answers += 1

    @stateful.rule(duration=strategies.sampled_from((0.3, 1.0, 4.0, 12.0)))
    def wait(self, duration):
        """Let time pass."""
        self.do(self.cluster.advance(duration))

    @stateful.invariant()
    def nothing_is_doubled(self):
        """Check what the workers saw so far."""
        assert self.cluster.violations() == {}, self.cluster.violations()

    @stateful.invariant()
    def settings_never_revert(self):
        """Check that no instance goes back behind what it had."""
        for node in self.cluster.nodes.values():
            entry = node.replica.state.settings.get(RACE_PATH)
            revision = entry.revision if entry else -1
            before = self.promises.revisions.get(node.incarnation, -1)
            assert revision >= before, "settings were reverted"
            self.promises.revisions[node.incarnation] = revision

    def teardown(self):
        """Heal everything; what was promised must come true."""
        try:
            self._heal()
            self._check_end()
        finally:
            FAULTS.update(self.cluster.injected())
            self.do(self.cluster.stop())
            self.loop.close()

    def _heal(self):
        self.cluster.log.down = False
        self.disturb_log(0, 0, 0.0)
        self.cluster.network.cut.clear()
        for worker in self.cluster.workers.by_id.values():
            worker.faults = type(worker.faults)()
            worker.cut(False)
        self._replace()
        self.do(self.cluster.until(self._all_ended, HEAL_LIMIT_S))

    def _all_ended(self) -> bool:
        jobs = self.cluster.node().replica.state.jobs
        return all(
            job_id in jobs and jobs[job_id].phase.is_final
            for job_id in self.promises.accepted
        )

    def _check_end(self):
        jobs = self.cluster.node().replica.state.jobs
        for job_id in self.promises.accepted:
            job = jobs[job_id]
            if job_id not in self.promises.cancelled:
                assert job.phase is models.Phase.COMPLETED, job
            self._check_runs(job)
        for job_id in self.promises.refused:
            assert job_id not in jobs, "refused, but accepted"
            assert not self.cluster.runs(job_id), "refused, but ran"
        for request_id in self.promises.requests_not_run:
            assert not self._executed(request_id), "not run, but it ran"
        assert self.cluster.violations() == {}, self._explain()

    def _explain(self) -> str:
        """Return the violations and every run of the jobs."""
        lines = [str(self.cluster.violations())]
        for job_id in sorted(self.promises.accepted):
            runs = self.cluster.runs(job_id)
            if len({run.task.attempt for run in runs}) > 1:
                lines.append(str(self.cluster.job(job_id)))
                lines.extend(map(str, runs))
        return "\n".join(lines)

    def _check_runs(self, job: models.Job):
        """Check that no part ran for long unless the whole gang did."""
        by_attempt = collections.defaultdict(list)
        for run in self.cluster.runs(job.job_id):
            by_attempt[run.task.attempt].append(run)
        for runs in by_attempt.values():
            if len({run.task.member for run in runs}) == job.spec.members:
                continue
            for run in runs:
                ran = run.ended_at - run.started_at
                assert ran.total_seconds() <= PARTIAL_GRACE_S, "partial gang"
        if job.phase is models.Phase.COMPLETED:
            # Results of a settled attempt are recorded as of one without runs.
            attempt = job.results_of or job.attempt
            finished = [run for run in by_attempt[attempt] if run.finished]
            assert len(finished) == job.spec.members, "not whole"
            assert not job.results_of or not by_attempt[job.attempt], "ran"
