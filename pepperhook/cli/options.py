"""Options and arguments that several commands share."""

import click

FILES_ARGUMENT = click.argument("files", nargs=-1, required=True, type=click.Path())
JSON_OPTION = click.option(
    "--json", "as_json", is_flag=True, help="Print one line of JSON for programs."
)
