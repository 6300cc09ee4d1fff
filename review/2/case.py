"""A restart that the owner does not notice: the worker's lease counts from before it."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))

from standins import SANGRE_TYPES, CannotRun, World, job, main, now, sangre_settings


def make_world(record_path):
    # The cloud has nothing more to rent: all work runs on the two machines of the case.
    return World(sangre_settings(), SANGRE_TYPES, {}, record_path)


def runs_on(world, hand):
    return list(world.judge.on.get(hand, {}))


async def at(time):
    await asyncio.sleep(max(0.0, time - now()))


async def case(world, trouble):
    await world.cloud.add("jaguar", "heredia-dc", False)
    for node in world.nodes:
        node.start()
    await world.wait_until_up()
    other = world.workers["m-000001"]
    await world.wait_for("the first worker reports", lambda: other.accepted >= 2, 40)
    # Two tasks fill the first machine. One of them ends after 20 s.
    await world.submit(job(1, 1, 8.0, 16.0, crew="plataforma-00"), run_s=300.0)
    await world.wait_for("the long filler runs", lambda: runs_on(world, "j-000001/0"), 15)
    # The second machine is listed while it boots, and is up after 14 s.
    await world.cloud.add("jaguar", "heredia-dc", False, boots_in=14.0)
    machine = world.workers["m-000002"]
    await asyncio.sleep(8.0)
    await world.submit(job(2, 1, 8.0, 16.0, crew="plataforma-01"), run_s=20.0)
    await world.wait_for("the short filler runs", lambda: runs_on(world, "j-000002/0"), 15)

    # `start` is the time of the last report that is answered.
    await world.wait_for("the new machine's reports count", lambda: machine.accepted >= 2, 20)
    start = machine.lease_from
    if trouble:
        world.record("mute", rig=machine.name, tally=machine.tally)
        for proxy in machine.proxies:
            proxy.refuses = True
            proxy.reset()
        if machine.tally > 3:
            raise CannotRun("the new machine has sent more reports than the case allows for")
        await at(start + 2.2)
        await machine.restart(0.2)
    await at(start + 5.6)
    # The first machine is full, so this job starts on the second one.
    await world.submit(job(3, 1, 8.0, 16.0, crew="plataforma-02"), run_s=300.0)
    await world.wait_for("the task runs", lambda: runs_on(world, "j-000003/0"), 10)
    if runs_on(world, "j-000003/0") != [machine.name]:
        raise CannotRun("the task does not run on the new machine")
    await world.wait_for("the short filler is done", lambda: "j-000002/0" in world.judge.done_tasks, 40)
    world.cloud.is_down = trouble
    world.record("the cloud's interface is down" if trouble else "no trouble")
    await at(start + world.lease_s + 8.0)


main(case, make_world, os.path.join(HERE, "record.txt"))
