"""A job of one task whose estimate is too low by half never gets a machine."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))

from standins import SANGRE_CAPACITY, SANGRE_TYPES, World, job, main, now, sangre_settings

# The script may take 120 s in all. For the page's four minutes: WAIT_S=250 ./run.sh
WAIT_S = float(os.environ.get("WAIT_S", "100"))
RUN_S = 60.0


def make_world(record_path):
    # No machine is up at the start, and the cloud has the site's machines to give.
    return World(sangre_settings(), SANGRE_TYPES, dict(SANGRE_CAPACITY), record_path)


async def case(world, trouble):
    for node in world.nodes:
        node.start()
    await world.wait_until_up()
    await asyncio.sleep(2.0)
    estimate_s = RUN_S / 2 if trouble else RUN_S
    accepted = await world.submit(
        job(1, 1, 2.0, 6.4, crew="plataforma-00", lot="eligibility-check", reckonS=estimate_s),
        run_s=RUN_S,
    )
    hand = "j-000001/0"
    while now() < accepted + WAIT_S and hand not in world.judge.starts:
        await asyncio.sleep(5.0)
        await world.poll("j-000001")
    waited_s = round(now() - accepted, 1)
    if hand not in world.judge.starts:
        asked = [name for name in world.cloud.hires]
        world.judge.breaks("nothing_ran", job="j-000001", waited_s=waited_s, rented=asked,
                           rental_requests=world.cloud.rental_requests)


main(case, make_world, os.path.join(HERE, "record.txt"), limit_s=WAIT_S + 15)
