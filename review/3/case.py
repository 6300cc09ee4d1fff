"""A machine that failed every task for a few seconds is never used again while it is in use."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))

from standins import DERWENT_TYPES, CannotRun, World, derwent_settings, job, main, now

# "no job is left waiting for 90 s while a machine that fits has room"
BOUND_S = 90.0


def make_world(record_path):
    # Two machines are up, and the cloud has no more to give.
    return World(derwent_settings(), DERWENT_TYPES, {}, record_path)


def runs_on(world, hand):
    return list(world.judge.on.get(hand, {}))


async def case(world, trouble):
    for _ in range(2):
        await world.cloud.add("kunanyi-large", "hobart-depot", False)
    for node in world.nodes:
        node.start()
    await world.wait_until_up()
    workers = list(world.workers.values())
    await world.wait_for(
        "both workers report to the owner", lambda: all(w.accepted >= 2 for w in workers), 40
    )
    # A long task fills one machine. Another one takes half of the other machine.
    await world.submit(job(1, 1, 16.0, 34.0), run_s=300.0)
    await world.wait_for("the large task runs", lambda: runs_on(world, "j-000001/0"), 10)
    await world.submit(job(2, 1, 8.0, 17.0), run_s=300.0)
    await world.wait_for("the other task runs", lambda: runs_on(world, "j-000002/0"), 10)
    machine = world.workers[runs_on(world, "j-000002/0")[0]]

    # For a few seconds, the machine fails every task that it starts.
    machine.faulty = trouble
    world.record("faulty" if trouble else "no trouble", rig=machine.name)
    for number, team in ((3, 1), (4, 2)):
        await world.submit(
            job(number, 1, 2.0, 4.0, crew=f"network-analytics-{team:02d}"), run_s=2.0
        )
    started = lambda hand: hand in world.judge.starts
    await world.wait_for(
        "both small tasks were started", lambda: started("j-000003/0") and started("j-000004/0"), 10
    )
    await asyncio.sleep(2.0)
    machine.faulty = False
    world.record("the trouble is over", rig=machine.name)

    # The machine works again, has half of its room free, and the team of this job uses nothing.
    hand = "j-000005/0"
    accepted = await world.submit(job(5, 1, 2.0, 4.0, crew="network-analytics-03"), run_s=2.0)
    until = accepted + BOUND_S
    while now() < until and not started(hand):
        cores, memory = machine.free()
        if cores < 2.0 or memory < 4.0 or machine.name not in world.cloud.machines:
            raise CannotRun("the machine has no room any more")
        await asyncio.sleep(0.1)
    if not started(hand):
        world.judge.breaks(
            "left_waiting", job="j-000005", waited_s=round(now() - accepted, 1),
            rig=machine.name, free=machine.free(),
        )


main(case, make_world, os.path.join(HERE, "record.txt"))
