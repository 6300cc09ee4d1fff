"""Real controllers and stand-ins: a copy of a direct command that was carried out and answered
reaches its machine once more, after the task has failed there and has moved.

Needs `cargo build --release` and Python 3. Exits with 1 if a rule was broken, 0 if all held, and 2 if
the case could not run. TROUBLE=0 delivers no copy. RESTART=owner ends the owner before the copy and
starts it again within a second; RESTART=worker does so with the machine. DELAY_S is the time in seconds
from the restart to the copy.
"""

import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "review", "lib"))

from standins import DERWENT_TYPES, CannotRun, HttpClient, World, derwent_settings, job, main

TASK = "j-000001/0"
# Time in seconds for which a restarted process is away.
AWAY_S = 0.3


def make_world(record_path):
    # The cloud has nothing to rent: the task can only move to the other machine.
    return World(derwent_settings(), DERWENT_TYPES, {}, record_path)


def keep_executed_commands(worker):
    """Keeps the bodies of the direct commands that a worker carries out."""
    worker.executed = []
    handle = worker.handle

    async def keep(method, path, query, body):
        answer = await handle(method, path, query, body)
        if path == "/do" and answer is not None and answer[0] == 200:
            worker.executed.append(json.loads(body))
        return answer

    worker.server.handler = keep


def running_on(world):
    return list(world.judge.on.get(TASK, {}))


async def deliver_copies(world, worker, commands):
    for body in commands:
        client = HttpClient(int(worker.addr.rsplit(":", 1)[1]))
        status, _, _ = await client.request("POST", "/do", body, 2.0)
        world.record("copy", rig=worker.name, baton=body["baton"], shift=body["shift"],
                     own=(worker.baton, worker.shift), status=status)
        client.close()


async def restart(world, worker):
    restarted = os.environ.get("RESTART")
    if restarted == "owner":
        owner = world.owner()
        owner.kill()
        await asyncio.sleep(AWAY_S)
        owner.start()
    elif restarted == "worker":
        await worker.restart(AWAY_S)


async def case(world, trouble):
    for _ in range(2):
        await world.cloud.add("kunanyi-medium", "hobart-depot", False)
    workers = list(world.workers.values())
    for worker in workers:
        keep_executed_commands(worker)
    for node in world.nodes:
        node.start()
    await world.wait_until_up()
    await world.wait_for(
        "both workers report to the owner",
        lambda: all(w.accepted >= 3 and w.baton > 0 for w in workers),
        40,
    )
    await world.submit(job(1, 1, 8.0, 17.0), run_s=60.0)
    await world.wait_for("the task runs", lambda: running_on(world), 15)
    first = world.workers[running_on(world)[0]]
    launches = [body for body in first.executed if any(o["verb"] == "launch" for o in body["orders"])]
    if not launches:
        raise CannotRun("the task was not started by a direct command")
    await asyncio.sleep(1.3)
    first.exit(next(key for key in first.tasks if key[0] == TASK), "error")
    await world.wait_for(
        "the task runs on the other machine and the first one has forgotten it",
        lambda: running_on(world) not in ([], [first.name]) and not first.tasks,
        40,
    )
    await restart(world, first)
    await asyncio.sleep(float(os.environ.get("DELAY_S", "0")))
    if trouble:
        await deliver_copies(world, first, launches)
    await asyncio.sleep(8.0)


main(case, make_world, os.environ.get("RECORD", "/tmp/copied-launch.txt"))
