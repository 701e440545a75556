"""Direct starts that were once answered too late fill a machine's places for good: nothing more runs there."""
import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standin import *

LIMIT_S = 90.0     # hunt/LATER: "no job is left waiting for 90 s while a machine that fits has room"
LATE_S = 4.5       # hunt/LATER, late_commands: "2 to 16 s late"


def make_world():
    cfg = json.loads(json.dumps(HANEUL))
    cfg["teams"].append({"name": "jeonju-edulab", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0})
    types = {"big-box": {"name": "big-box", "cores": 64.0, "gpus": 0.0, "memGb": 256.0, "cacheGb": 25.0,
                         "pullGbPerS": 0.25, "rate": 3.91, "lowPrice": 1.31, "readyS": 50.0,
                         "sites": ["seoul-rack", "daejeon-rack", "cloud-gyeonggi"]}}
    w = World(os.path.dirname(os.path.abspath(__file__)), cfg, types)
    for site in types["big-box"]["sites"]:
        w.cloud.capacity[("big-box", site, True)] = 1
    return w


async def case(w):
    await w.start([("big-box", "seoul-rack", False)])
    machine = list(w.machines.values())[0]
    machine.images = {"img-t": NOW(), "img-l": NOW(), "img-e": NOW()}      # cached since the day before
    if not await w.wait_ready(10):
        return 2
    # A transcode-batch task of 8 CPUs that keeps the machine in use.
    long = w.spec(1, workload="transcode-batch", owner="campus-support", cores=8.0, memGb=27.0, bundle="img-t",
                  expectedS=150.0, borrowed=False, _run_s=150.0)
    await w.submit(long, for_s=5)
    if not await w.until(lambda: w.on.get("req-000001/0"), 8):
        return 2
    held = []

    async def on_orders(m, q):
        starts = sum(o["verb"] == "start" for o in q["orders"])
        if len(held) >= 2 or starts < 100:
            return None
        held.append(NOW())
        w.note("direct command held up", starts=starts)

        async def later():
            await asyncio.sleep(LATE_S)
            status, _ = m.orders(q)
            w.note("direct command carried out late, unanswered", starts=starts, status=status)
        asyncio.ensure_future(later())
        return HANG

    if TROUBLE:
        machine.on_orders = on_orders
    # Two arrays of the guest team, of as many tasks as the machine has room for; tasks as in lab-archive-sweep.
    arrays = []
    for number in (2, 3):
        sweep = w.spec(number, workload="lab-archive-sweep", owner="jeonju-edulab", urgency="low", pieces=224,
                       cores=0.25, memGb=0.45, bundle="img-l", expectedS=4.0, _run_s=3.0)
        arrays.append(sweep["nameId"])
        await w.submit(sweep, for_s=5)
        if number == 2:
            await asyncio.sleep(9.0)      # until all of its tasks are done
        elif not TROUBLE:
            await w.until(lambda: len(w.jobs[sweep["nameId"]]["done"]) == 224, 8.0)
    if TROUBLE:
        if not await w.until(lambda: len(held) >= 2, 5):
            w.note("only", held=len(held))
            return 2
        await asyncio.sleep(max(0.0, held[1] + LATE_S + 0.5 - NOW()))
    w.note("trouble over", commands_held=len(held), done=[len(w.jobs[i]["done"]) for i in arrays])
    # An urgent task of 1 CPU.
    job = w.spec(4, workload="exam-rush", owner="studio-ops", urgency="urgent", cores=1.0, memGb=1.0, bundle="img-e",
                 expectedS=25.0, _run_s=3.0)
    a = await w.submit(job, for_s=5)
    if not a or a[0] not in (200, 201):
        return 2
    accepted_at, end = NOW(), NOW() + LIMIT_S + 1.5
    while NOW() < end:
        await w.poll(job["nameId"])
        started = await w.until(lambda: any(s[2] == job["nameId"] + "/0" for s in w.starts),
                                min(5.0, max(0.2, end - NOW())))
        if started:
            w.note("held: the job started", after_s=round(NOW() - accepted_at, 1))
            return 0
    free = machine.free()
    ended = sum(t.state == "ended" for t in machine.tasks.values())
    w.note("after the wait", machine=machine.name, session=machine.shift, free_cpus=free[0], free_gb=free[2],
           ended_not_cleared=ended, done_of_the_arrays=[len(w.jobs[i]["done"]) for i in arrays],
           machines=len(w.machines))
    if machine.state == "running" and machine.shift == 1 and free[0] >= 1.0 and free[2] >= 1.0:
        w.broken("left waiting", f"{job['nameId']} waits for {NOW() - accepted_at:.0f} s; {machine.name} reports and has "
                 f"{free[0]:.0f} CPUs and {free[2]:.0f} GB free; its team uses 0 of 192 CPUs")
        return 1
    return 2


run_case(case, make_world)
