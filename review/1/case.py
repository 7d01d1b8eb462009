"""The link to the engine breaks now and then: does each call of a run get its own reply?"""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from case import main, started  # noqa: E402
from stand_ins import SETTINGS, Answer, Comparer, Routers  # noqa: E402

# Work on a standard core, and the speed of this machine's cores.
WORK_MS = (240, 410)
SPEED = 0.85
CALLS = 2
REQUESTS_PER_S = 12
SECONDS = 90
# The mean number of broken links a second, and how late the engine reads a command. What it has not read
# when the link breaks is lost.
BREAKS_PER_S = 1.0
READ_LATE_MS = 40


async def request(world, router, answers):
    work_ms = random.uniform(*WORK_MS)
    body = f"report-{random.getrandbits(40):010x} ms={work_ms:.1f} calls={CALLS}".encode()
    rid, waiting = router.send("report-view", body, est=work_ms, mem=45.0)
    world.record.line(f"router sent rid={rid} {body!r}")
    # The class's deadline is 9.4 s. What has no answer after 11 s gets none.
    done, _ = await asyncio.wait([waiting], timeout=11)
    answer = waiting.result() if done else Answer("none")
    world.over.add(rid)
    world.record.line(f"router rid={rid} {answer!r}")
    answers[rid] = answer


async def break_links(world, address, broken):
    while True:
        await asyncio.sleep(random.expovariate(BREAKS_PER_S))
        if address.break_link():
            broken.append(address)
            world.record.line("the link to the engine breaks")


async def case(world):
    await world.services(store_ms=5)
    world.engine.slower = 1 / SPEED
    address = await world.engine.listen()
    address.read_late_ms = READ_LATE_MS
    comparer = await started(Comparer(
        world.folder, world.listen, address.port, world.store.port, world.members.port, world.tmpdir,
        settings=SETTINGS,
    ))
    routers = Routers(world.listen, 3)
    answers, tasks, broken = {}, [], []
    breaking = asyncio.ensure_future(break_links(world, address, broken)) if world.trouble else None
    loop = asyncio.get_running_loop()
    begin = loop.time()
    while loop.time() - begin < SECONDS:
        tasks.append(asyncio.ensure_future(request(world, await routers.connection(), answers)))
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    if breaking:
        breaking.cancel()
    await asyncio.gather(*tasks)
    routers.close()
    await comparer.term_then_kill(3.2)
    wrong = set()
    for run in world.engine.history:
        for asked, reply in zip(run.asked, run.replies):
            if reply not in (b"reply to " + asked, b"skipped"):
                wrong.add(run.rid)
                kind = answers[run.rid].kind
                world.say(f"rid={run.rid} was fed {reply!r} as the reply to {asked!r}; its caller was {kind}")
    kinds = {kind: sum(1 for answer in answers.values() if answer.kind == kind)
             for kind in ("served", "refused", "failed", "none")}
    world.say(f"{len(answers)} requests {kinds}; {world.store.calls} calls; {len(broken)} broken links; "
              f"{len(wrong)} requests whose run got the reply of another call")
    return bool(wrong)


if __name__ == "__main__":
    main(case, FOLDER)
