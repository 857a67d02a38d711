"""An end of an evacuation, which a replica receives while it is frozen, must
not be carried out after the zone has been evacuated again."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common"))
from deployment import (  # noqa: E402
    CONTACT, EVACUATION, TROUBLE, Backend, CannotRun, Client, Deployment,
    Operator, configuration, main, route)

ZONE = "ecape-a"
FREEZE_S = 7.9
# Between the end of an evacuation and the next one of the same zone.
PAUSE_S = 7.0
WATCH_S = 6.0


async def ask(deployment, entry):
    client = Client(deployment, entry)
    while True:
        await client.request("GET", "/lepu270/2f", 2.0)
        await asyncio.sleep(0.05)


async def run(deployment):
    backends = [Backend(deployment, number, "gradebook", zone)
                for number, zone in enumerate(
                    [ZONE, ZONE, "gauteng-a", "gauteng-a"])]
    await deployment.start(configuration(
        5, {"r-1": route("gradebook", "safe", "/lepu270/")}), backends)
    for entry in deployment.entries:
        deployment.run_in_background(ask(deployment, entry))
    await asyncio.sleep(2)
    of_zone = [each for each in backends if each.zone == ZONE]
    if not any(each.arrivals for each in of_zone):
        raise CannotRun("the zone gets no requests to begin with")

    operator = Operator(deployment)
    path = "/api/evacuate/" + ZONE
    deployment.say("the zone is evacuated: %s"
                   % await operator.order("POST", path))
    await asyncio.sleep(4)

    frozen = deployment.cores[4]
    if TROUBLE:
        frozen.send(signal.SIGSTOP)
        deployment.say(frozen.name + " freezes")
    frozen_at = deployment.now()
    await asyncio.sleep(0.4)
    ended_at = deployment.now()
    deployment.say("the evacuation is ended: %s"
                   % await operator.order("DELETE", path, first=frozen))
    await asyncio.sleep(max(0.0, ended_at + PAUSE_S - deployment.now()))
    status = await operator.order("POST", path)
    acknowledged_at = deployment.now()
    deployment.say("the zone is evacuated again: %s" % status)
    if status != 200:
        raise CannotRun("the second evacuation is not acknowledged")
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - deployment.now()))
    if TROUBLE:
        frozen.send(signal.SIGCONT)
        deployment.say(frozen.name + " wakes")
    woken_at = deployment.now()

    # All machines are in touch again after Contact.
    since = max(acknowledged_at + EVACUATION, woken_at + CONTACT) + 0.2
    await asyncio.sleep(since + WATCH_S - deployment.now())
    late = [when for each in of_zone for when, _ in each.arrivals
            if when > since]
    deployment.say("requests that reached the evacuated zone between %.1f s "
                   "and %.1f s after the ack: %d"
                   % (since - acknowledged_at,
                      since + WATCH_S - acknowledged_at, len(late)))
    return len(late) > 0


async def case():
    deployment = Deployment(["ecape-a", "gauteng-a", "wcape-a"])
    try:
        return await run(deployment)
    finally:
        await deployment.end()


main(case)
