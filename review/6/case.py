"""A grade that a streamed version makes binding is still deduplicated by its old window."""

import asyncio

from world import (
    BROKEN,
    HELD,
    HOST,
    OK,
    CaseNotRunError,
    Process,
    Server,
    World,
    free_port,
    play,
    settings,
)

CONTROL = '.venv/bin/python -c "from pepperhook.command_line import main; main()" control'
OPERATOR = """
version = 1
[repeats]
binding_s = 600.0
[control]
address = "{address}"
keys = [{{ id = "k1", secret = "{secret}" }}]
"""
DOCUMENT = """
version = 1
[grades.pump-hold]
effect = "at_most_once"
"""
HOLDS = 10
APPLIED_S = 10.0
COMMAND_S = 20.0
RESEND_AFTER_S = 3.0  # the window of the settings, 2 s, is over; that of binding_s is not


async def control(world: World, address: str, *arguments: str) -> str:
    """Run an operator's command and return what it prints."""
    started = await world.start_program(
        "control",
        " ".join(["exec", CONTROL, *arguments]),
        {"PEPPERHOOK_CONTROL": address, "PEPPERHOOK_KEYS": str(world.temporary / "keys")},
    )
    code = await started.ended(COMMAND_S)
    output = started.log.read_text(encoding="utf-8")
    if code:
        raise CaseNotRunError(f"control {arguments[0]} ended with {code}: {output[:200]}")
    return output


async def wait_for_log(started: Process, text: str) -> None:
    """Wait until a process has logged a text."""
    async with asyncio.timeout(APPLIED_S):
        while text not in started.log.read_text(encoding="utf-8"):
            await asyncio.sleep(0.05)


async def case(world: World) -> int:
    """Make a grade binding by a streamed version, then repeat requests with their keys."""
    first, second = Server("s-1", world), Server("s-2", world)
    await world.open(first, second)
    address = f"{HOST}:{free_port()}"
    key_line = await control(world, address, "new-key", "k1")
    world.write("keys", key_line)
    secret = key_line.split()[-1]
    service = await world.start_program(
        "control-service",
        f"exec {CONTROL} serve --listen {address} --store {world.temporary / 'control.db'}",
        {"PEPPERHOOK_KEYS": str(world.temporary / "keys")},
    )
    await wait_for_log(service, "listening on")
    config = settings()
    if not world.has_trouble:
        config["serviceGrades"][2]["effect"] = "at_most_once"
    port = free_port()
    operator = OPERATOR.format(address=address, secret=secret)
    balancer = await world.start_balancer("n0", port, config, operator)
    if not await world.wait_ready(balancer, port):
        raise CaseNotRunError("the balancer did not start")
    if world.has_trouble:
        document = world.write("binding.toml", DOCUMENT)
        await control(world, address, "propose", str(document), "--reason", "holds-are-binding")
        await control(world, address, "rollout", "1", "--steps", "100%:1")
        await wait_for_log(balancer, "event=version_applied version=1")
        world.record("the balancer has applied version 1: pump-hold is at_most_once")
    keys = [f"hold-{number}" for number in range(HOLDS)]
    for key in keys:
        status, _, _ = await world.request(port, "/pump-hold", key)
        if status != OK:
            raise CaseNotRunError(f"the first request of {key} got {status}")
    await asyncio.sleep(RESEND_AFTER_S)
    for key in keys:
        await world.request(port, "/pump-hold", key)
    runs = [run.key for server in (first, second) for run in server.ran]
    twice = [key for key in keys if runs.count(key) > 1]
    world.record(f"{len(twice)} of {HOLDS} binding holds ran more than once")
    return BROKEN if twice else HELD


play(__file__, case)
