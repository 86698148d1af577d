"""The table ``[control]`` of the operator's file."""

import pytest

from pepperhook import operator_config, tomlfile
from pepperhook.operator_config.schema import OperatorFile
from tests.control_plane.helpers import LOG
from tests.server.balancers import make_config

OPERATOR_FILE = """version = 1
[customers]
default = { per_second = 5.0 }
[control]
address = "127.0.0.1:7400"
[[control.keys]]
id = "k1"
secret = "a long secret of the installation"
"""


def test_table_in_the_operators_file_enables_the_extension(tmp_path):
    path = tmp_path / "op.toml"
    path.write_text(OPERATOR_FILE)

    built = operator_config.build(str(path), make_config(), LOG)

    assert [type(extension).__name__ for extension in built.all] == [
        "RateLimitExtension",
        "Control",
    ]
    assert built.all[1].applier.extensions["customers"] is built.all[0]


@pytest.mark.parametrize(
    "before, after, key",
    [
        ('"127.0.0.1:7400"', '"nowhere"', "address"),
        ('[[control.keys]]\nid = "k1"\nsecret = "a long secret of the installation"', "", "keys"),
        ("a long secret of the installation", "short", "secret"),
    ],
)
def test_error_of_a_faulty_operators_file_names_the_key(before, after, key):
    with pytest.raises(tomlfile.TomlFileError, match=key):
        tomlfile.decode(OPERATOR_FILE.replace(before, after), OperatorFile)
