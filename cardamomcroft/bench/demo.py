"""Run the stand-alone and the platform path on loopback."""

import asyncio
import dataclasses
import json
import pathlib
import sys

import aiohttp
import cyclopts

from cardamomcroft.bench import checks
from cardamomcroft.bench import local
from cardamomcroft.bench import platform_demo
from cardamomcroft.cli import running
from cardamomcroft.daemon import logs
from cardamomcroft.settings import directory
from cardamomcroft.settings import instance

INSTANCE_COUNT = 3
EXPECTED_JOBS = 2  # one at the stand-alone instances, one on the platform

app = cyclopts.App(name="demo", help="Run the whole path on loopback.")


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Results of the demo, as printed."""

    jobs_completed: int
    requests_answered: int
    instances: int
    configuration_in_force_s: float
    violations: int
    gang: dict
    answer: dict
    platform: platform_demo.PlatformReport


async def _submit_gang(
    session: aiohttp.ClientSession, cluster: local.LocalCluster
) -> dict:
    job = {
        "kind": "resin-scan",
        "members": 3,
        "accelerators": 8,
        "adjacency": "rack",
        "run_s": 1.0,
        "payload": "fin box of board 7",
    }
    async with session.post(
        f"{cluster.url(1)}/v1/jobs",
        json=job,
        headers=local.headers("dahab-boards-workshop-token", "board-7"),
    ) as response:
        job_id = (await response.json())["job_id"]
    async with session.get(
        f"{cluster.url(2)}/v1/jobs/{job_id}?wait_s=20",
        headers=local.headers("dahab-boards-workshop-token"),
    ) as response:
        return await response.json()


async def _send_request(
    session: aiohttp.ClientSession, cluster: local.LocalCluster
) -> dict:
    async with session.post(
        f"{cluster.url(2)}/v1/requests",
        json={"body": "quote for a glass patch", "is_idempotent": True},
        headers=local.headers("blue-hole-counter-token"),
    ) as response:
        return await response.json()


async def run_demo(declarations: pathlib.Path) -> Report:
    """Run both paths once and return the report."""
    by_path = directory.load(declarations).ok
    cluster = local.LocalCluster(by_path, INSTANCE_COUNT, "cardamomcroft")
    await cluster.start()
    try:
        async with aiohttp.ClientSession() as session:
            await cluster.wait_serving()
            began = cluster.clock.monotonic()
            revision = await local.apply_all(
                session, cluster.url(0), cluster.by_path
            )
            await cluster.wait_in_force(revision)
            in_force_time = cluster.clock.monotonic() - began
            gang = await _submit_gang(session, cluster)
            answer = await _send_request(session, cluster)
    finally:
        await cluster.stop()
    violations = checks.count_violations(cluster.workers)
    platform_report = await platform_demo.run_platform_demo()
    completed = [gang.get("phase"), platform_report.state].count("completed")
    return Report(
        completed,
        int(answer.get("verdict") == "ran"),
        INSTANCE_COUNT,
        round(in_force_time.total_seconds(), 3),
        sum(violations.values()) + platform_report.tasks_run_twice,
        gang,
        answer,
        platform_report,
    )


@app.default
def main(
    *,
    declarations: pathlib.Path = pathlib.Path("examples/guild"),
    json_output: bool = False,
) -> None:
    """Run the demo and print what clients saw.

    Parameters
    ----------
    declarations
        The directory of declarations to apply.
    json_output
        Print one JSON object and nothing else.
    """
    logs.configure(instance.Logging(level="error"))
    report = asyncio.run(run_demo(declarations))
    if json_output:
        print(json.dumps(dataclasses.asdict(report)))
    else:
        _print_report(report)
    is_complete = (
        report.jobs_completed == EXPECTED_JOBS
        and report.requests_answered == 1
    )
    sys.exit(0 if is_complete and not report.violations else 1)


def _print_report(report: Report) -> None:
    gang, answer = report.gang, report.answer
    print(
        f"settings accepted at entry-1, in force on {report.instances} "
        f"instances after {report.configuration_in_force_s} s"
    )
    print(
        f"job {gang['job_id']} submitted at entry-2: {gang['phase']}, "
        f"{gang['members']} members on {', '.join(gang['workers'])}"
    )
    print(
        f"request {answer['request_id']} sent to entry-3: "
        f"{answer['verdict']}: {answer['answer']!r}"
    )
    print(
        f"on the platform: job {platform_demo.JOB_ID} submitted at "
        f"{platform_demo.INSTANCE_NAMES[1]}, which lacks the store: "
        f"{report.platform.state} at {platform_demo.INSTANCE_NAMES[2]}, "
        f"{report.platform.tasks_run} tasks run once"
    )
    print(f"violations: {report.violations}")


if __name__ == "__main__":
    running.run(app)
