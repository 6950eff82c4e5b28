"""How an entry instance reaches replicas that it has lost, and relays to them for its peers."""

from collections.abc import Callable, Iterable, Mapping
from random import Random

from reachlink.membership import InstanceRecord, ReplicaDirectory
from reachlink.messaging import Bus
from reachlink.reachability import (
    RelayClient,
    RelayingDialer,
    RelayPeer,
    RelayPeers,
    RelayServer,
    RelayTarget,
)
from reachlink.upstreams import HttpClient


class ReplicaReach:
    """Joins what an instance needs to reach replicas through peers, and the reverse.

    Parameters
    ----------
    name, zone : str
        Name and availability zone of this instance.
    bus : Bus
        Message bus to the peers.
    bus_address : str
        Address of the bus as ``host:port``; peers claim relayed connections at its host.
    relay_port : int
        Port at which they do; 0 for any.
    client : HttpClient
        Client of the replicas, which uses peers from now on.
    directory : ReplicaDirectory
        Names and addresses of replicas.
    heard_at : callable
        Returns the monotonic time in seconds at which a peer was last heard.
    count : callable
        Called with ``"asked"`` or ``"relayed"`` and the outcome of each request to or from a
        peer.
    zone_regions : mapping of str to str, optional
        Region of each availability zone.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        bus: Bus,
        bus_address: str,
        relay_port: int,
        client: HttpClient,
        directory: ReplicaDirectory,
        heard_at: Callable[[str], float],
        count: Callable[[str, str], None],
        zone_regions: Mapping[str, str] | None = None,
    ) -> None:
        self._name = name
        self._directory = directory
        self._peers = RelayPeers(zone, heard_at, Random(), zone_regions)
        direct = client.dialer
        relays = RelayClient(
            bus, self._peers, self._target_at, lambda outcome: count("asked", outcome)
        )
        client.dialer = RelayingDialer(
            direct, relays, client.paths, client.abort_silent, client.probe_request
        )
        host = bus_address.rpartition(":")[0]
        self.server = RelayServer(
            bus,
            (host, relay_port),
            self._address_of,
            client.paths,
            direct,
            lambda outcome: count("relayed", outcome),
        )

    def update_peers(self, records: Iterable[InstanceRecord]) -> None:
        """Set the entry instances that are asked; this one is left out."""
        self._peers.update(
            RelayPeer(record.name, record.address, record.availability_zone)
            for record in records
            if record.name != self._name
        )

    def _target_at(self, address: str) -> RelayTarget | None:
        replica = self._directory.find(self._directory.name_at(address))
        return RelayTarget(replica.name, replica.availability_zone) if replica else None

    def _address_of(self, replica: str) -> str | None:
        found = self._directory.find(replica)
        return found.address if found is not None else None
