"""Entry point of the shipped file."""

from sassafrashook.operations import main

main()
