"""The group of all commands, and shell completion."""

from importlib.metadata import PackageNotFoundError, version

import click

from pepperhook.cli import balancer, control, explain, gossip, lab, record, trace


def _installed_version() -> str:
    try:
        return version("pepperhook")
    except PackageNotFoundError:
        return "0, from a checkout that is not installed"


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(_installed_version(), prog_name="pepperhook")
def main() -> None:
    """A load balancer for services that call services.

    Exit codes: 0 success; 1 the command failed, or the system rejected something; 2 the input
    cannot be used, with the reason in one line on standard error.
    """


@main.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print a completion script for a shell.

    Load it in bash with: eval "$(pepperhook completion bash)"
    """
    from click.shell_completion import get_completion_class

    completion_class = get_completion_class(shell)
    assert completion_class is not None  # click supports all of the choices
    click.echo(completion_class(main, {}, "pepperhook", "_PEPPERHOOK_COMPLETE").source())


for _command in (
    balancer.run,
    balancer.check,
    balancer.config,
    control.control,
    explain.explain,
    gossip.gossip,
    lab.lab,
    lab.demo,
    record.record,
    trace.trace,
):
    main.add_command(_command)
