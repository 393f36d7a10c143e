"""Build the inputs of single rounds that plan ahead."""

import dataclasses

from cardamomcroft.scheduling import planning
from cardamomcroft.scheduling import plans
from cardamomcroft.scheduling import runs
from tests.scheduling import harness
from tests.scheduling import test_planning

NOW = test_planning.NOW
LEAD = harness.seconds(1.2)
RECLAIM = harness.seconds(3.4)


def put_at_work(
    job: runs.JobState,
    workers: list[runs.Worker],
    age_s: float,
    left_s: float | None,
) -> list[runs.Run]:
    """Put a step's tasks at work; their reports show the time left.

    Without a time left they have not reported any progress yet.
    """
    step = job.steps_by_key[0, 0]
    made = []
    for index, worker in enumerate(workers):
        run = runs.Run(
            step.key(index),
            1,
            worker.worker_id,
            step,
            runs.Phase.AT_WORK,
            NOW - harness.seconds(age_s),
        )
        if left_s is not None:
            run.first_percent = 0.0
            run.first_reported_at = run.began_at
            run.percent = 100 * age_s / (age_s + left_s)
            run.reported_at = NOW
        step.runs_by_index[index] = run
        worker.runs_by_task[run.name] = run
        made.append(run)
    step.waiting.clear()
    return made


def make_job(
    number: int,
    step,
    priority: int = 2,
    account: str = "acc",
    waited_s: float = 0.1,
) -> runs.JobState:
    """Return a job with an id of its own."""
    state = test_planning.make_job(step, priority=priority)
    state.job = dataclasses.replace(
        state.job, job_id=f"{number:016x}", account=account
    )
    state.accepted_at = NOW - harness.seconds(waited_s)
    return state


def make_inputs(
    jobs: list[runs.JobState],
    workers: list[runs.Worker],
    **fields: object,
) -> planning.RoundInputs:
    """Return the inputs of a round that plans ahead."""
    inputs = test_planning.make_inputs(jobs, workers)
    defaults = {
        "plans_ahead": True,
        "preemption_lead": LEAD,
        "reclaim": RECLAIM,
    }
    return dataclasses.replace(inputs, **(defaults | fields))


def plan(inputs: planning.RoundInputs) -> plans.Plan:
    """Plan one round; fail if a job could not be planned."""
    planned = planning.Planner(inputs).plan()
    assert not planned.failures, planned.failures
    return planned
