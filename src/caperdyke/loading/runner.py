"""Runs the streams of a scenario concurrently, each open-loop."""

import asyncio
import time
import uuid

from caperdyke.loading import arrivals, caller, results, scenario

# Longest wait for outstanding requests after the last arrival of a stream.
COMPLETION_TIMEOUT_S = 60.0


async def run_scenario(planned: scenario.Scenario) -> list[results.StreamResult]:
    """Runs all streams and returns their results."""
    run_id = uuid.uuid4().hex[:8]
    callers = [caller.Caller(stream, planned.entries, run_id) for stream in planned.streams]
    start = time.monotonic() + 0.1
    await asyncio.gather(
        *(
            _run_stream(sender, stream, planned.seed, start)
            for sender, stream in zip(callers, planned.streams, strict=True)
        )
    )
    for sender in callers:
        await sender.close()
    return [sender.result for sender in callers]


async def _run_stream(
    sender: caller.Caller, stream: scenario.Stream, seed: int, start: float
) -> None:
    """Starts each request at its planned time, without waiting for earlier ones."""
    tasks = set()
    for number, offset in enumerate(arrivals.generate_arrivals(stream, seed)):
        planned_at = start + offset
        delay = planned_at - time.monotonic()
        if delay > 0:
            await asyncio.sleep(delay)
        task = asyncio.create_task(sender.call(number, planned_at))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks, timeout=COMPLETION_TIMEOUT_S)
