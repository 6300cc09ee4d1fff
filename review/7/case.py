"""More than 400 one-task jobs of a team are bound to a zone that has no machine. A later job of the team, free to
run anywhere, must not be left waiting beside a machine with room in another zone."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))

from kit import SANGRE_TYPES, CannotRun, World, job, main, sangre_settings

# "no job is left waiting for 90 s while a machine that fits has room and its team is under its limit"
MOST_WAIT_S = 90.0
# Four a second for two minutes are 480.
BOUND_JOBS = 440
AT_ONCE = 24


def make_world(record):
    return World(sangre_settings(), SANGRE_TYPES, {}, record)


async def submit_bound(world):
    numbers = iter(range(1000, 1000 + BOUND_JOBS))
    accepted = []

    async def user():
        for number in numbers:
            bound = job(number, "plataforma-00", 1, 4.0, 7.5, lot="slot-match", rank="high", yard="escazu-rack", reckonS=9.0)
            if await world.submit(bound, run_s=9.0) in (200, 201):
                accepted.append(number)

    await asyncio.gather(*(user() for _ in range(AT_ONCE)))
    if len(accepted) < BOUND_JOBS:
        raise CannotRun("only %d of the jobs were accepted" % len(accepted))


async def case(world, trouble):
    world.cloud.add("jaguar", "heredia-dc", False)
    for node in world.nodes:
        await node.start()
    await world.wait_until_up()
    # A long task of another team keeps half of the machine in use, so that the machine stays rented.
    await world.submit(job(1, "plataforma-01", 1, 8.0, 19.0, reckonS=200.0), run_s=250.0)
    await world.wait_for("the long task runs", lambda: world.on.get("j-000001/0"), 25)
    if trouble:
        await submit_bound(world)
        await asyncio.sleep(0.5)
    await world.submit(job(2, "plataforma-00", 1, 4.0, 7.5, reckonS=30.0), run_s=9.0)
    waited = 0.0
    while waited < MOST_WAIT_S and not world.starts.get("j-000002/0"):
        await asyncio.sleep(0.5)
        waited += 0.5
        if int(waited * 2) % 20 == 0:
            await world.poll("j-000002")
    if not world.starts.get("j-000002/0"):
        machine = next(iter(world.workers.values()))
        world.break_rule("waits beside a machine with room", job="j-000002", waited_s=waited, room=machine.room,
                         used=machine.used(), lost_leases=machine.lost_leases)
        return
    world.record("started", job="j-000002", waited_s=waited)
    await world.wait_for("the job's task is done", lambda: "j-000002/0" in world.finished, 15)


main(case, make_world, ["dealer-0", "dealer-1", "dealer-2"], ["escazu-rack", "heredia-dc"])
