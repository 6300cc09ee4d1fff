"""An idle job that only the largest machine type fits waits. An urgent job of another team, within its team's
guarantee, must not stay off a machine of that type that has room."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))

from kit import DERWENT_TYPES, World, derwent_settings, job, main

# "no job is left waiting for 90 s while a machine that fits has room and its team is under its limit"
MOST_WAIT_S = 90.0


def make_world(record):
    return World(derwent_settings(), DERWENT_TYPES, {}, record)


async def case(world, trouble):
    world.cloud.add("kunanyi-large", "hobart-depot", False)
    for node in world.nodes:
        await node.start()
    await world.wait_until_up()
    # Half of the machine is in use by a task of another team.
    await world.submit(job(1, "network-analytics-00", 1, 8.0, 17.0, lot="meter-reconcile", reckonS=200.0), run_s=200.0)
    await world.wait_for("the long task runs", lambda: world.on.get("j-000001/0"), 25)
    if trouble:
        await world.submit(job(2, "network-analytics-01", 1, 12.0, 25.0, lot="archive-compact", rank="idle", reckonS=25.0),
                           run_s=25.0)
        await asyncio.sleep(1.5)
    # 4 of 32 guaranteed cores, the team's only job, rank high, with a deadline in five minutes.
    await world.submit(job(3, "network-analytics-02", 1, 4.0, 7.5, lot="gauge-alerts", rank="high", reckonS=9.0,
                           dueS=300.0), run_s=9.0)
    waited = 0.0
    while waited < MOST_WAIT_S and not world.starts.get("j-000003/0"):
        await asyncio.sleep(0.5)
        waited += 0.5
        if int(waited * 2) % 20 == 0:
            await world.poll("j-000003")
    if not world.starts.get("j-000003/0"):
        machine = next(iter(world.workers.values()))
        world.break_rule("waits beside a machine with room", job="j-000003", waited_s=waited, room=machine.room,
                         used=machine.used(), lost_leases=machine.lost_leases)
        return
    world.record("started", job="j-000003", waited_s=waited)
    await world.wait_for("the job's task is done", lambda: "j-000003/0" in world.finished, 15)


main(case, make_world, ["dealer-0", "dealer-1", "dealer-2"], ["hobart-depot", "new-norfolk"])
