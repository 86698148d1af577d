"""The table of request contexts, ``[chain]``, in the operator's file."""

import pytest
from click.testing import CliRunner

from pepperhook import operator_config
from pepperhook.cli import main
from pepperhook.request_context.extension import RequestContextExtension
from pepperhook.server.extensions import listed_name
from tests.programs import write_config
from tests.server.balancers import make_config


@pytest.mark.parametrize(
    "text, message",
    [
        ("[chain]\nentry = true\n", "line 2: chain: 'service' is missing"),
        ("[chain]\nservice = 'a'\ntrust = ['here']\n", "here"),
        (
            "[chain]\nservice = 'a'\n[[chain.keys]]\nid = 'k'\nsecret = 'short'\n",
            "line 6: chain.keys[0].secret",
        ),
    ],
    ids=["no service", "malformed network", "short secret"],
)
def test_invalid_table_is_reported_in_one_line_with_exit_code_2(tmp_path, text, message):
    path, environ = tmp_path / "operator.toml", write_config(tmp_path)
    path.write_text("version = 1\n" + text)
    options = ["--config", environ["LB_CONFIG"], "--operator", str(path)]

    result = CliRunner().invoke(main, ["check", *options])

    assert result.exit_code == 2
    assert message in result.stderr
    assert len(result.stderr.splitlines()) == 1


def test_table_enables_the_extension_which_is_listed_as_chains(tmp_path):
    class Log:
        def info(self, event, **pairs):
            self.line = (event, pairs["parts"])

    path, log = tmp_path / "operator.toml", Log()
    path.write_text("version = 1\n[chain]\nservice = 'a'\n")

    (extension,) = operator_config.build(str(path), make_config(), log).all

    assert isinstance(extension, RequestContextExtension)
    assert listed_name(extension) == "chains"
    assert log.line == ("operator_file", "chains")
