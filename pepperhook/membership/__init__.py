"""Membership among balancers by the SWIM gossip protocol, without any service.

These modules do no I/O: ``messages`` has the message types, ``protocol`` the failure detector,
``view`` the merging of updates, ``members`` the member table, ``suspicion`` the suspicion timers,
``dissemination`` the buffer of pending updates, ``anti_entropy`` the exchange of records in which
two tables differ, ``fleet_position`` a balancer's position in its fleet, and ``datagram`` the wire
format. ``extension`` runs them on a socket.
"""
