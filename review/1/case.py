"""A report that is held up on its way arrives after its machine has restarted."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))

from standins import DERWENT_TYPES, CannotRun, World, derwent_settings, job, main, now


def make_world(record_path):
    # The cloud has nothing more to rent: all work runs on the two machines that are up.
    return World(derwent_settings(), DERWENT_TYPES, {}, record_path)


def runs_on(world, hand):
    return list(world.judge.on.get(hand, {}))


async def case(world, trouble):
    for _ in range(2):
        await world.cloud.add("kunanyi-medium", "hobart-depot", False)
    first, second = world.workers["m-000001"], world.workers["m-000002"]
    for node in world.nodes:
        node.start()
    await world.wait_until_up()
    await world.wait_for(
        "both workers report to the owner",
        lambda: all(w.accepted >= 3 and w.baton > 0 for w in (first, second)),
        40,
    )
    # Ordinary work, after which both machines are idle again.
    await world.submit(job(1, 14, 8.0, 17.0), run_s=0.7)
    await world.wait_for("the first job's tasks are done", lambda: len(world.judge.done_tasks) == 14, 45)
    await world.wait_for("both machines are empty", lambda: not first.tasks and not second.tasks, 15)
    await asyncio.sleep(1.0)

    held = []
    if trouble:
        # The next report of the first machine is held up in the network. The machine restarts
        # right after it has sent the report and is back within half a second.
        for proxy in first.proxies:
            held += proxy.hold_open_connections()
        tally = first.tally
        await world.wait_for("a report is on its way", lambda: first.tally > tally, 8)
        await asyncio.sleep(0.2)
        world.record("held up", rig=first.name, shift=first.shift, tally=first.tally,
                     baton=first.baton, hands=list(first.tasks))
        old_tally = first.tally
        await first.restart(0.4)
        await world.wait_for("the restarted worker's reports count", lambda: first.accepted >= 2, 20)

    # One task fills a machine. The second machine is given one that soon ends, so the job that
    # matters starts on the first machine, and then the second one is free.
    await world.submit(job(2, 1, 8.0, 17.0), run_s=6.0)
    await world.wait_for("the short task runs", lambda: runs_on(world, "j-000002/0"), 15)
    await world.submit(job(3, 1, 8.0, 17.0), run_s=30.0)
    await world.wait_for("the long task runs", lambda: runs_on(world, "j-000003/0"), 15)
    await world.wait_for("the short task is done", lambda: "j-000002/0" in world.judge.done_tasks, 15)
    if runs_on(world, "j-000003/0") != [first.name]:
        raise CannotRun("the long task runs on the other machine")
    await asyncio.sleep(1.5)
    if trouble:
        if first.tally >= old_tally:
            raise CannotRun("the restarted worker has sent as many reports as before")
        world.record("delivered now", tally=old_tally, current=(first.shift, first.tally))
        for connection in held:
            connection.open.set()
    await asyncio.sleep(10.0)


main(case, make_world, os.path.join(HERE, "record.txt"))
