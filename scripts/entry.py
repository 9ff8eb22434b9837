"""Entry point of the program in the distribution file."""

from sassafrashook.operations import main

main()
