"""Prints what kinds of requests and workspaces get under overload with each strategy."""

from collections.abc import Callable

from reachlink.scheduling.tests.crowd import (
    LONG_ANSWER,
    SHORT_ANSWER,
    OverloadSimulation,
    SimulatedRequest,
    ZoneQueuesStrategy,
)
from reachlink.scheduling.tests.test_queue_load import OTHERS, in_time, is_a, simulated, value


def is_small(request: SimulatedRequest) -> bool:
    """Return whether a request is not of the large workspace."""
    return request.workspace != "large"


def main() -> None:
    """Print a table with a row for each load factor and strategy."""
    print(
        "| crowding | way | worth | verdicts | summaries | large workspace | others | pushed out |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for load_factor in (1.0, 1.5, 2.5):
        for strategy in (*OTHERS, "line"):
            simulation = simulated(strategy, load_factor)
            shares = [
                value(simulation),
                in_time(simulation, is_a(SHORT_ANSWER)),
                in_time(simulation, is_a(LONG_ANSWER)),
                in_time(simulation, lambda request: not is_small(request)),
                in_time(simulation, is_small),
                simulation.preemptions / len(simulation.requests),
            ]
            print(
                f"| {load_factor} | {strategy} |",
                " | ".join(f"{share:.3f}" for share in shares),
                "|",
            )
    print()
    show_zones()


def show_zones() -> None:
    """Print what each of four zones gets, the first of which has half of the load."""
    print("| crowding | line | in time, by zone |")
    print("| --- | --- | --- |")
    for load_factor in (1.5, 2.5):
        for over_zones in (True, False):
            strategy = ZoneQueuesStrategy((3.0, 1.0, 1.0, 1.0), over_zones)
            simulation = OverloadSimulation(strategy, load_factor, seed=1).run()
            shares = [in_time(simulation, in_zone(strategy, zone)) for zone in range(4)]
            name = "one over all zones" if over_zones else "one a zone"
            print(f"| {load_factor} | {name} |", ", ".join(f"{s:.3f}" for s in shares), "|")


def in_zone(strategy: ZoneQueuesStrategy, zone: int) -> Callable[[SimulatedRequest], bool]:
    """Return a predicate for the requests of a zone."""
    return lambda request: strategy.zones[request.number] == zone


if __name__ == "__main__":
    main()
