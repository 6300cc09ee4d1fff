"""A job that was submitted with a mistake fails on the only machine. Jobs of other teams must not wait beside that
machine until the user cancels the faulty job."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))

from kit import SANGRE_TYPES, World, job, main, sangre_settings

# "no job is left waiting for 90 s while a machine that fits has room and its team is under its limit"
MOST_WAIT_S = 90.0


def make_world(record):
    return World(sangre_settings(), SANGRE_TYPES, {}, record)


async def case(world, trouble):
    world.cloud.add("jaguar", "heredia-dc", False)
    for node in world.nodes:
        await node.start()
    await world.wait_until_up()
    # Half of the machine is in use by a task of a class that runs for up to 250 s.
    await world.submit(job(1, "plataforma-00", 1, 8.0, 19.0, reckonS=200.0), run_s=250.0)
    await world.wait_for("the long task runs", lambda: world.on.get("j-000001/0"), 25)
    if trouble:
        world.mistaken.add("j-000002")
    await world.submit(job(2, "plataforma-01", 5, 4.0, 7.5, lot="slot-match", rank="high", reckonS=9.0),
                       run_s=0.4 if trouble else 9.0)
    await asyncio.sleep(2.0)
    # 8 + 4 of 32 guaranteed cores: both jobs of the team fit within its guarantee.
    await world.submit(job(3, "plataforma-00", 1, 4.0, 7.5, lot="slot-match", rank="high", reckonS=9.0), run_s=9.0)
    waited = 0.0
    while waited < MOST_WAIT_S and not world.starts.get("j-000003/0"):
        await asyncio.sleep(0.5)
        waited += 0.5
        if int(waited * 2) % 20 == 0:
            await world.poll("j-000003")
    machine = next(iter(world.workers.values()))
    if not world.starts.get("j-000003/0"):
        world.break_rule("waits beside a machine with room", job="j-000003", waited_s=waited, room=machine.room,
                         used=machine.used(), lost_leases=machine.lost_leases,
                         starts_of_the_faulty_job=sum(n for t, n in world.starts.items() if t.startswith("j-000002/")))
        return
    world.record("started", job="j-000003", waited_s=waited)
    await world.wait_for("the job's task is done", lambda: "j-000003/0" in world.finished, 15)


main(case, make_world, ["dealer-0", "dealer-1", "dealer-2"], ["escazu-rack", "heredia-dc"])
