"""Acceptance scenarios by name, run by ``pepperhook lab prove NAME``; one module per subject."""

from pepperhook.lab.proofs.amplification import AmplificationProof
from pepperhook.lab.proofs.auditor import AuditorProof
from pepperhook.lab.proofs.chain import ChainProof
from pepperhook.lab.proofs.control import ControlProof
from pepperhook.lab.proofs.customers import NoisyTenantProof
from pepperhook.lab.proofs.discovery_faults import DiscoveryFaultsProof
from pepperhook.lab.proofs.discovery_overload import DiscoveryOverloadProof
from pepperhook.lab.proofs.h2 import H2Proof
from pepperhook.lab.proofs.mass import MassProof
from pepperhook.lab.proofs.membership import MembershipProof
from pepperhook.lab.proofs.repeats import RepeatsProof
from pepperhook.lab.proofs.replay import ReplayProof
from pepperhook.lab.proofs.trace import TraceProof

PROOFS = {
    proof.name: proof
    for proof in (
        AuditorProof,
        AmplificationProof,
        NoisyTenantProof,
        ChainProof,
        H2Proof,
        RepeatsProof,
        ReplayProof,
        TraceProof,
        MassProof,
        ControlProof,
        MembershipProof,
        DiscoveryOverloadProof,
        DiscoveryFaultsProof,
    )
}
