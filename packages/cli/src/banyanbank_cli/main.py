"""Entry point of `banyanbank`."""

import fire

from banyanbank_cli import _demo


def main() -> None:
    """Runs the program."""
    fire.Fire({"demo": _demo.run_demo}, name="banyanbank")
