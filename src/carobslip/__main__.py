"""Entry point of the ``carobslip`` program."""

from carobslip import cli


def main() -> None:
    """Runs the command line."""
    cli.application()


if __name__ == '__main__':
    main()
