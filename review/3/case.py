"""A backend that has left, as acknowledged, must get no more requests after
all replicas have been killed."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common"))
from deployment import (  # noqa: E402
    CONTACT, DRAIN, TROUBLE, Backend, CannotRun, Client, Deployment,
    configuration, main, route)

# The processes are back within a second.
DOWN_S = 0.5
# How long the backend goes on serving after the ack.
SERVES_S = 16.0


async def ask(deployment, entry):
    client = Client(deployment, entry)
    while True:
        await client.request("GET", "/lepu270/2f", 2.0)
        await asyncio.sleep(0.05)


async def run(deployment):
    backends = [Backend(deployment, number, "gradebook", zone)
                for number, zone in enumerate(
                    ["wcape-a", "gauteng-a", "ecape-a"] * 2)]
    await deployment.start(configuration(
        5, {"r-1": route("gradebook", "safe", "/lepu270/")}), backends)
    for entry in deployment.entries:
        deployment.run_in_background(ask(deployment, entry))
    await asyncio.sleep(4)
    leaving = backends[0]
    if not leaving.arrivals:
        raise CannotRun("the backend gets no requests to begin with")

    if not await leaving.leave():
        raise CannotRun("the backend gets no ack")
    acknowledged_at = deployment.now()
    if TROUBLE:
        for core in deployment.cores:
            core.process.kill()
    deployment.say("%s has left, as acknowledged" % leaving.id)
    if TROUBLE:
        for core in deployment.cores:
            core.process.wait()
        deployment.say("all replicas are killed")
        await asyncio.sleep(DOWN_S)
        for core in deployment.cores:
            core.start()
        deployment.say("all replicas are started again")
    started_at = deployment.now()

    since = max(acknowledged_at + DRAIN, started_at + CONTACT) + 0.2
    await asyncio.sleep(acknowledged_at + SERVES_S - deployment.now())
    late = [when for when, _ in leaving.arrivals if when > since]
    deployment.say("requests that reached it later than %.1f s after the ack: "
                   "%d" % (since - acknowledged_at, len(late)))
    if late:
        deployment.say("the last one %.1f s after the ack"
                       % (late[-1] - acknowledged_at))
    return len(late) > 0


async def case():
    deployment = Deployment(["wcape-a", "wcape-a", "gauteng-a", "gauteng-a",
                             "ecape-a", "ecape-a"])
    try:
        return await run(deployment)
    finally:
        await deployment.end()


main(case)
