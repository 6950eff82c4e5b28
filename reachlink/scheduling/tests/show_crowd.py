"""Shows what each way gives each kind and workspace where there is too little room."""

from collections.abc import Callable

from reachlink.scheduling.tests.crowd import SUMMARY, VERDICT, Asked, ByZone, Crowd
from reachlink.scheduling.tests.test_queue_load import OTHERS, in_time, is_a, played, worth


def is_small(asked: Asked) -> bool:
    """Return whether a request is not of the large workspace."""
    return asked.workspace != "large"


def main() -> None:
    """Print a table row a way and crowding."""
    print(
        "| crowding | way | worth | verdicts | summaries | large workspace | others | pushed out |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for crowding in (1.0, 1.5, 2.5):
        for way in (*OTHERS, "line"):
            crowd = played(way, crowding)
            shares = [
                worth(crowd),
                in_time(crowd, is_a(VERDICT)),
                in_time(crowd, is_a(SUMMARY)),
                in_time(crowd, lambda asked: not is_small(asked)),
                in_time(crowd, is_small),
                crowd.preempted / len(crowd.asked),
            ]
            print(f"| {crowding} | {way} |", " | ".join(f"{share:.3f}" for share in shares), "|")
    print()
    show_zones()


def show_zones() -> None:
    """Print what each of four zones gets, the first with half of the load."""
    print("| crowding | line | in time, by zone |")
    print("| --- | --- | --- |")
    for crowding in (1.5, 2.5):
        for over_zones in (True, False):
            way = ByZone((3.0, 1.0, 1.0, 1.0), over_zones)
            crowd = Crowd(way, crowding, seed=1).play()
            shares = [in_time(crowd, in_zone(way, zone)) for zone in range(4)]
            name = "one over all zones" if over_zones else "one a zone"
            print(f"| {crowding} | {name} |", ", ".join(f"{s:.3f}" for s in shares), "|")


def in_zone(way: ByZone, zone: int) -> Callable[[Asked], bool]:
    """Return what tells whether a request is of a zone."""
    return lambda asked: way.zones[asked.number] == zone


if __name__ == "__main__":
    main()
