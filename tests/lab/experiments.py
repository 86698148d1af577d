"""Small experiments for tests of the lab."""

from pepperhook import tomlfile
from pepperhook.lab import experiment
from pepperhook.lab.experiment import Experiment
from tests.test_lab import EXPERIMENT

ZONED_EXPERIMENT = EXPERIMENT.replace('name = "t"', 'name = "t"\nzones = 2')


def read_experiment(text):
    """Return the experiment of a file's text, without experiment.check."""
    return tomlfile.decode(text, Experiment)


def make_zoned_experiment(more=""):
    """Return a checked experiment with two zones, and ``more`` at the end of its file."""
    text = ZONED_EXPERIMENT + more
    parsed = read_experiment(text)
    experiment.check(parsed, text=text)
    return parsed
