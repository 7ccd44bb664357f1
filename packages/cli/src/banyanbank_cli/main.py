"""Entry point of the program."""


def main() -> None:
    """Runs the program."""
    raise SystemExit("not built yet")
