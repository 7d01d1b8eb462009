"""Runs one case: its exit status is 10 if the rule was broken, 0 if it held, and 2 if the case could not run. `run.sh` of
the case turns 10 into 1 and all others than 0 into 2."""

import asyncio
import os
import random
import shutil
import signal
import sys
import tempfile
import traceback
from pathlib import Path

from stand_ins import Engine, Members, Record, ROOT, Store, end_all, free_port

LIMIT_S = 115
BROKEN = 10


class CannotRun(Exception):
    """The case could not run."""


class World:
    """The folder of a run, its record, and the services around the comparer."""

    def __init__(self, record, folder, trouble):
        self.record, self.folder, self.trouble = record, Path(folder), trouble
        self.tmpdir = self.folder / "tmp"
        self.tmpdir.mkdir()
        self.listen = free_port()
        self.over = set()

    async def services(self, cores=6, store_ms=5):
        self.engine = Engine(self.record, cores=cores, is_over=lambda rid: rid in self.over)
        self.store, self.members = Store(delay_ms=store_ms), Members()
        await self.store.listen()
        await self.members.listen()

    def say(self, text):
        print(text)
        self.record.line(text)


async def started(comparer):
    """Starts a comparer and waits until it is ready."""
    await comparer.start()
    if not await comparer.ready():
        raise CannotRun(f"{comparer.label} did not get ready:\n{comparer.log()}")
    return comparer


def main(case, folder):
    """Runs `case(world)`, which returns whether the rule was broken, in a temporary folder."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    random.seed(os.environ.get("SEED", "1"))
    record = Record(Path(folder) / "record.txt")
    record.line(f"TROUBLE={int(trouble)}")
    temporary = tempfile.mkdtemp(prefix="review-")

    async def run():
        # A run that is told to end still ends what it started.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            if not (ROOT / "target/release/pinepoint").exists():
                raise CannotRun("target/release/pinepoint is not built")
            return await asyncio.wait_for(case(World(record, temporary, trouble)), LIMIT_S)
        finally:
            await end_all()

    try:
        broken = asyncio.run(run())
        status = BROKEN if broken else 0
    except CannotRun as error:
        record.line(f"cannot run: {error}")
        print(f"cannot run: {error}")
        status = 2
    except (Exception, asyncio.CancelledError):
        record.line(traceback.format_exc())
        traceback.print_exc()
        status = 2
    shutil.rmtree(temporary, ignore_errors=True)
    text = {0: "the rule held", BROKEN: "the rule was broken", 2: "the case could not run"}[status]
    record.line(text)
    print(text)
    sys.exit(status)
