"""A machine stops and is back within a fraction of a second. A copy of a direct command that it carried out before
arrives again, while the task that the command launched runs on another machine."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))

from kit import DERWENT_TYPES, CannotRun, Client, World, derwent_settings, job, main

TASK = "j-000001/0"
# "a process or machine may be back within a fraction of a second"
AWAY_S = 0.4


def make_world(record):
    return World(derwent_settings(), DERWENT_TYPES, {}, record)


def keep_commands(worker):
    """Keeps the bodies of the direct commands that a worker carries out."""
    worker.carried_out = []
    handle = worker.handle

    async def keep(method, path, query, body):
        answer = await handle(method, path, query, body)
        if path == "/do" and answer is not None and answer[0] == 200:
            worker.carried_out.append(json.loads(body))
        return answer

    worker.handle = keep
    worker.server.handler = keep


async def deliver_again(world, worker, commands):
    """Delivers direct commands that the machine carried out before once more, as the network does."""
    for body in commands:
        client = Client(worker.server.port)
        status, _, _ = await client.request("POST", "/do", body, 2.0)
        world.record("copy", rig=worker.name, baton=body["baton"], shift=body["shift"], status=status)
        client.close()


async def cancelled(world, first, launches, trouble):
    """The variant of the second entry: the copy arrives more than `cancel_s` after the job was cancelled."""
    status, body = await world.nodes[0].ask("POST", "/v1/jobs/j-000001/abort", {}, 5.0)
    told = asyncio.get_running_loop().time()
    if status != 200 or body["standing"] != "cancelled":
        raise CannotRun("not cancelled: %s" % status)
    await world.wait_for("the worker has forgotten the task", lambda: not first.hands, 30)
    await asyncio.sleep(told + world.settings["workers"]["cancel_s"] + 2.0 - asyncio.get_running_loop().time())
    starts = world.starts[TASK]
    await first.restart(AWAY_S)
    if trouble:
        await deliver_again(world, first, launches)
    await asyncio.sleep(8.0)
    if world.starts[TASK] > starts:
        world.break_rule("ran_cancelled", hand=TASK)


async def case(world, trouble):
    for _ in range(2):
        world.cloud.add("kunanyi-medium", "hobart-depot", False)
    for node in world.nodes:
        await node.start()
    await world.wait_until_up()
    await world.wait_for("both machines are up", lambda: len(world.workers) == 2, 20)
    for worker in world.workers.values():
        keep_commands(worker)
    await world.wait_for("both workers report to the holder",
                         lambda: all(w.accepted >= 3 and w.baton > 0 for w in world.workers.values()), 40)
    await world.submit(job(1, "network-analytics-00", 1, 8.0, 17.0, lot="meter-reconcile", reckonS=60.0), run_s=60.0)
    await world.wait_for("the task runs", lambda: world.on.get(TASK), 20)
    first = world.workers[next(iter(world.on[TASK]))]
    launches = [body for body in first.carried_out if any(o["verb"] == "launch" for o in body["orders"])]
    if not launches:
        raise CannotRun("the task was not started by a direct command")
    await asyncio.sleep(1.3)
    if os.environ.get("VARIANT") == "cancelled":
        await cancelled(world, first, launches, trouble)
        return
    # The task fails on this machine, and the owner starts it on the other one.
    first.exit(next(key for key in first.hands if key[0] == TASK), "error")
    await world.wait_for("the task runs on the other machine, and the first one has forgotten it",
                         lambda: world.on[TASK] and first.name not in world.on[TASK] and not first.hands, 40)
    await first.restart(AWAY_S)
    if trouble:
        await deliver_again(world, first, launches)
    await asyncio.sleep(10.0)
    await world.poll("j-000001")


main(case, make_world, ["dealer-0", "dealer-1", "dealer-2"], ["hobart-depot", "new-norfolk"])
