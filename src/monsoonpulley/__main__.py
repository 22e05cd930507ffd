"""Entry point of the command line."""

from __future__ import annotations


def main() -> None:
    """Run the command line."""
    from _monsoonpulley.commandline.cli import run

    run()


if __name__ == "__main__":
    main()
