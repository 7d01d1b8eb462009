"""A request that is written over two seconds, on a connection that has another request open: what becomes of
the requests that the router writes behind it."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import kit

# DAYS.md: "requests come ..., some over 2 s".
SLOW_MS = 2000
PARTS = 8
# The run of a read whose caller waits 9.4 s: longer than usual, as on a slow comparer.
LONG_RUN_MS = 3000
ROUNDS = 4
SLOW_ROUTERS = 3
STEADY_ROUTERS = 3


async def round_of_slow_router(world, name, routers):
    """One connection: a read that runs for 3 s, a request whose bytes come over 2 s, and five written at
    once, all of them before the read is answered."""
    router = await world.router(name)
    routers.append(router)
    router.send("report-view", kit.work(f"{name} long", LONG_RUN_MS), est=f"{LONG_RUN_MS}")
    await asyncio.sleep(0.2)
    slow, data = router.request("quick-match", kit.work(f"{name} slow", 20))
    pieces = [data[at : at + len(data) // PARTS + 1] for at in range(0, len(data), len(data) // PARTS + 1)]
    if not kit.is_trouble():
        await asyncio.sleep(SLOW_MS / 1000)
        pieces = [data]
    for index, piece in enumerate(pieces):
        if index > 0:
            await asyncio.sleep(SLOW_MS / 1000 / (len(pieces) - 1))
        router.write(piece)
    router.note_written(slow)
    for index in range(5):
        await asyncio.sleep(0.05)
        router.send("quick-match", kit.work(f"{name} later {index}", 20))
    await asyncio.sleep(2.0)


async def slow_router(world, number, routers):
    await asyncio.sleep(number * 0.7)
    for index in range(ROUNDS):
        await round_of_slow_router(world, f"slow{number}.{index}", routers)


async def steady_router(world, number, routers, stop):
    router = await world.router(f"steady{number}")
    routers.append(router)
    index = 0
    while not stop.is_set():
        index += 1
        router.send("quick-match", kit.work(f"steady{number} {index}", 20))
        await asyncio.sleep(0.25)


def judge(routers):
    """The requests without a final answer in time, and the number of all that count."""
    lost, counted = [], 0
    for router in routers:
        for number, sent in router.sent.items():
            written_ms = sent["written_ms"]
            if router.goaway_ms is not None and written_ms > router.goaway_ms - kit.CROSSING_MS:
                continue
            if router.ended is not None and written_ms > router.ended[0] - kit.CROSSING_MS:
                continue
            counted += 1
            answers = router.answers.get(number, [])
            what = f"{router.name}: request {number}, {sent['body'].decode()}"
            if not answers:
                lost.append(f"{what}: written whole, never answered, connection {router.ended and router.ended[1]}")
            elif answers[0][0] > written_ms + kit.deadline_ms(sent["method"]) + kit.SLACK_MS:
                lost.append(f"{what}: answered late")
    return lost, counted


async def case(world):
    await world.open()
    comparer = await kit.Comparer(world, world.config).start()
    await comparer.wait_ready()
    routers, stop = [], asyncio.Event()
    steady = [asyncio.ensure_future(steady_router(world, n, routers, stop)) for n in range(STEADY_ROUTERS)]
    await asyncio.gather(*(slow_router(world, n, routers) for n in range(SLOW_ROUTERS)))
    stop.set()
    await asyncio.gather(*steady)
    await asyncio.sleep(10)
    if not comparer.is_alive():
        raise kit.CannotRun("the program ended")
    lost, counted = judge(routers)
    print(f"{len(lost)} of {counted} requests without a final answer in their time")
    return lost if len(lost) > kit.ALLOWED_SHARE * counted else []


kit.main(FOLDER, case)
