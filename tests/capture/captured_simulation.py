"""A random simulation whose policy is recorded to a capture."""

import shutil
from pathlib import Path

import pepperhook.policy
from pepperhook.balancer import Balancer
from pepperhook.capture import policy_build
from pepperhook.capture.recorder import Recorder
from pepperhook.container import ContainerWriter, FileMetadata
from pepperhook.units import MILLISECOND
from tests.policy.simulation import PolicySimulation

POLICY_FOLDER = Path(pepperhook.policy.__file__).parent


class CapturedSimulation(PolicySimulation):
    """A random simulation whose policy is recorded to a capture at ``path``.

    Before each step, the complete state is written with the probability ``state_probability``.
    """

    def __init__(self, seed, path, state_probability=0, make_policy=Balancer, **options):
        self.state_probability = state_probability
        self.make_recorded_policy = make_policy
        self.writer = ContainerWriter(path, FileMetadata("capture", 1))
        self.recorder = None
        super().__init__(seed, make_policy=self.make_recorder, **options)

    def make_recorder(self, settings, seed, now):
        policy = self.make_recorded_policy(settings, seed, now)
        self.recorder = Recorder(policy, settings, seed, now, self.write_record)
        return self.recorder

    def write_record(self, record, now, _request_id):
        self.writer.append(record, now)

    def step(self, duration_ns=2 * MILLISECOND):
        if self.state_probability and self.random.random() < self.state_probability:
            self.recorder.write_state(self.now)
        super().step(duration_ns)


def changed_policy(tmp_path, module, before, after):
    """Return a build with a copy of the policy package in which one text is replaced."""
    folder = tmp_path / "policy"
    shutil.rmtree(folder, ignore_errors=True)
    shutil.copytree(POLICY_FOLDER, folder, ignore=shutil.ignore_patterns("__pycache__"))
    path = folder / f"{module}.py"
    text = path.read_text(encoding="utf-8")
    assert before in text
    path.write_text(text.replace(before, after))
    return policy_build.from_folder(folder)
