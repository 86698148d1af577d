"""Edge balancers with the same member list, for tests."""

import socket
from dataclasses import dataclass

from pepperhook.idempotency.keys import key_digest
from pepperhook.idempotency.ownership import Member, owner_of
from pepperhook.idempotency.peers import Peers
from pepperhook.server.field_value import FieldValue
from tests.idempotency.balancers import make_extension, make_log, running_balancer

LOOK, PAY, HOLD = 0, 1, 2  # service classes by number
WINDOW_S = 0.4


class Edges:
    """Two edge balancers with the same member list."""

    names = ("e0", "e1")

    def __init__(self, directory):
        self.directory = directory
        self.ports = self.free_ports()
        self.path = directory / "peers.toml"
        self.write_list(1, self.names)

    def free_ports(self):
        sockets = [socket.create_server(("127.0.0.1", 0)) for _ in self.names]
        ports = {
            name: listener.getsockname()[1]
            for name, listener in zip(self.names, sockets, strict=True)
        }
        for listener in sockets:
            listener.close()
        return ports

    def write_list(self, epoch, names, dead=()):
        members = "".join(
            f'[[members]]\nname = "{name}"\naddress = "127.0.0.1:{self.ports[name]}"\n'
            for name in names
        )
        self.path.write_text(f"version = 1\nepoch = {epoch}\ndead = {list(dead)}\n{members}")

    def make(self, name, peer, window_s=WINDOW_S, path=None):
        """Return an edge balancer that is not started yet; ``path``: its own copy of the list."""
        extension = make_extension(
            Peers(str(path or self.path), name, make_log()),
            window_s={"pay": window_s},
            journal=str(self.directory / name),
        )
        return Edge(running_balancer(peer, extension, owns_event_loop=False), extension)

    def key_of(self, name, service_class=PAY):
        """Return a key, by default of /pay, that the member ``name`` owns."""
        members = [Member(member, "") for member in self.names]

        def owner_name(key):
            return owner_of(key_digest(service_class, None, FieldValue.ascii(key)), members).name

        keys = (f"k{number}" for number in range(999))
        return next(key for key in keys if owner_name(key) == name)


@dataclass
class Edge:
    balancer: object
    extension: object

    @property
    def store(self):
        return self.extension.store

    @property
    def ownership(self):
        return self.extension.peers.ownership

    @property
    def counters(self):
        return self.extension.peers.counters
