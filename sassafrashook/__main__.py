"""Command line entry point: ``python -m sassafrashook``."""

from sassafrashook.operations import main

if __name__ == "__main__":
    main()
