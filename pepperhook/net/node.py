"""One balancer put together: what is made here is given back here, in the reverse order."""

import dataclasses

from pepperhook import policy
from pepperhook.net.clients import Clients
from pepperhook.net.core import Core
from pepperhook.net.counters import Counters
from pepperhook.net.discovery import Discovery
from pepperhook.net.operation import Operations
from pepperhook.net.upstreams import Upstreams

ACCEPT_S = 0.5      # once told to leave, connections still come for a moment
SPARE = 24          # descriptors for the list, the log and the program's own
LEAVE_S = 0.3       # beyond the longest time limit, for the last answers to be written


class Node:
    def __init__(self, told, log):
        self.told, self.log, self.counters = told, log, Counters(log)
        self.core = Core(log, self.counters)
        # Two fifths of the descriptors are for upstreams, half for clients, the rest for a rush of these.
        usable = told.sockets - SPARE
        self.upstreams = Upstreams(self.core, log, self.counters, told.settings, usable * 2 // 5)
        self.discovery = Discovery(self.core, log, self.counters, told, self.upstreams)
        self.operations = Operations(self.core, log, self.counters)
        self.clients = Clients(self.core, log, self.counters, told, self.operations, self.discovery,
                               (usable // 2, usable * 3 // 5))

    async def start(self):
        module = policy.Balancer(self.told.settings, self.told.seed, self.core.now())
        self.core.start(module, self.upstreams, self.discovery)
        if self.told.known:
            try:
                self.discovery.take(self.told.known)
            except ValueError as problem:
                self.log.warning("known_list_unusable", error=problem)
        self.clients.open()
        self.log.info("started", name=self.told.name, listen="{}:{}".format(*self.told.listen),
                      tier=self.told.settings.get("tier", 0))

    def reload(self, told):
        """Takes what a replaced file says and can be taken while running; the rest is named in the log."""
        kept = [name for name in ("listen", "sockets", "settings") if getattr(told, name) != getattr(self.told, name)]
        if told.discovery != self.told.discovery:
            self.discovery.move(told.discovery)
        self.told = dataclasses.replace(self.told, discovery=told.discovery)
        self.log.info("reloaded", discovery="{}:{}".format(*told.discovery), **(
            {"wait_for_a_restart": ",".join(kept)} if kept else {}))

    async def leave(self, accept_s=ACCEPT_S):
        self.log.info("leaving", under_way=len(self.operations.tasks))
        await self.clients.close(accept_s, self.clients.longest_s + LEAVE_S - accept_s)
        await self.operations.close()
        self.core.close()
        await self.discovery.close()
        await self.upstreams.close()
        self.counters.show()
        self.log.info("ended")
