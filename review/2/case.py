"""A request says how long its caller waits, and the machine is slow: is it answered by then?"""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from case import main, started  # noqa: E402
from stand_ins import Comparer, Routers, now_ms  # noqa: E402

# The site's classes and rules; a small machine of the site's kind.
SETTINGS = {
    "services": [
        {"name": "render", "effect": "read_like", "keyTtlMs": 5000, "promiseMs": 2700, "deadlineMs": 6800,
         "worth": 1, "lateWorth": 0},
        {"name": "annotate", "effect": "non_idempotent", "keyTtlMs": 5000, "promiseMs": 820, "deadlineMs": 2700,
         "worth": 2, "lateWorth": 0},
    ],
    "projects": [{"name": "gmina-a", "share": 0.41, "allowancePerS": 57},
                 {"name": "gmina-b", "share": 0.36, "allowancePerS": 50},
                 {"name": "gmina-c", "share": 0.23, "allowancePerS": 32}],
    "contract": {"answerSlackMs": 100, "coldMs": 18000, "drainGraceMs": 2000, "fallMultiple": 8,
                 "startCapacity": 0.22, "tipAfterMs": 3000},
    "ceilings": {"retryAfter": True, "maxRetryAfterMs": 1000},
    "clients": {"marksRetry": True},
    "servers": 11, "tickMs": 5, "worthBy": "request", "overShareWorth": 0.1,
    "specifics": {
        "below": "shared", "callerIdleMs": 30000, "callsOut": 6.5, "callsOverMs": 5000, "cancelSeen": True,
        "classCalls": [True, False], "clientsTotal": 4, "cold": False, "cores": 6, "freshForMs": 0,
        "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"], "heapKb": 13000, "keyKb": 20,
        "lingerMs": 200, "passesDeadline": True, "preemption": "drop", "realChecks": False,
        "registryFollows": False, "runFactor": 4, "saidForMs": 1000, "signal": "level",
        "worthWithout": [0.6, 0],
    },
}
# How long a router waits for a try: the wanted time of the class and a little more.
BUDGET_MS = {"render": 3000, "annotate": 900}
WORK_MS = {"render": (260, 460), "annotate": (160, 270)}
# A caller that gives up tells it this late.
NEWS_LATE_MS = 1000
# Slack of the rule: 100 ms of the settings and 50 ms of the sockets.
SLACK_MS = 100 + 50
# From this share of the requests on the rule is broken.
SHARE = 3 / 1000
REQUESTS_PER_S = 10
CALM_S, SLOW_S, AFTER_S = 5, 13, 5
# While the machine is slow, its work takes this many times as long.
SLOWER = 8


async def request(world, router, answers):
    klass = "render" if random.random() < 0.59 else "annotate"
    work_ms = random.uniform(*WORK_MS[klass])
    calls = random.choice([1, 2]) if klass == "render" else 0
    body = f"{klass}-{random.getrandbits(40):010x} ms={work_ms:.1f} calls={calls}".encode()
    budget_ms, sent_ms = BUDGET_MS[klass], int(now_ms())
    rid, waiting = router.send(
        klass, body, t0=sent_ms, mem=33.0, budget=str(budget_ms), acct=random.choice(["gmina-a", "gmina-b", "gmina-c"])
    )
    number = router.last_id
    world.record.line(f"router sent rid={rid} {klass} budget={budget_ms}")
    due_ms = sent_ms + budget_ms
    # The caller gives up when its time is over, and its router tells so late.
    done, _ = await asyncio.wait([waiting], timeout=(due_ms + NEWS_LATE_MS - now_ms()) / 1000)
    if done:
        answer = waiting.result()
        late_ms = float("inf") if answer.kind == "none" else answer.at - due_ms
        world.record.line(f"router rid={rid} {answer.kind} {late_ms:+.0f} ms from its due time")
    else:
        answer, late_ms = None, float("inf")
        router.abort(number)
        world.record.line(f"router rid={rid} told that its caller had gone, no answer yet")
    world.over.add(rid)
    answers.append((klass, answer.kind if answer else "none", late_ms))


async def case(world):
    await world.services()
    address = await world.engine.listen()
    comparer = await started(Comparer(
        world.folder, world.listen, address.port, world.store.port, world.members.port, world.tmpdir,
        settings=SETTINGS, stop_ms=2700,
    ))
    routers = Routers(world.listen, 3)
    answers, tasks = [], []
    loop = asyncio.get_running_loop()
    begin = loop.time()
    while (at_s := loop.time() - begin) < CALM_S + SLOW_S + AFTER_S:
        slow = world.trouble and CALM_S <= at_s < CALM_S + SLOW_S
        if (world.engine.slower > 1) != slow:
            world.engine.slower = SLOWER if slow else 1.0
            world.record.line(f"the machine is {'slow' if slow else 'as fast as ever'}")
        tasks.append(asyncio.ensure_future(request(world, await routers.connection(), answers)))
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*tasks)
    routers.close()
    await comparer.term_then_kill(2.7)
    lost = [answer for answer in answers if answer[2] > SLACK_MS]
    for klass in WORK_MS:
        of_class = [answer for answer in answers if answer[0] == klass]
        in_time = [answer for answer in of_class if answer[2] <= SLACK_MS]
        kinds = {kind: sum(1 for answer in in_time if answer[1] == kind) for kind in ("served", "refused", "failed")}
        late = sorted(answer[2] for answer in of_class if SLACK_MS < answer[2] < float("inf"))
        never = sum(1 for answer in of_class if answer[2] == float("inf"))
        middle = f", by {late[len(late) // 2]:.0f} ms in the median" if late else ""
        world.say(f"{klass}: {len(of_class)} requests; in time {kinds}; {len(late)} answered after due time and slack"
                  f"{middle}; {never} not answered {NEWS_LATE_MS} ms after it")
    world.say(f"{len(lost)} of {len(answers)} without a final answer in their time; broken from {SHARE:.1%} on")
    return len(lost) >= SHARE * len(answers)


if __name__ == "__main__":
    main(case, FOLDER)
