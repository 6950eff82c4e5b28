"""The fleet and the steps that the scenarios about operators' settings share."""

import pytest
from pytest_bdd import parsers, then, when

from reachlink.conftest import small_scenario
from reachlink.control import check_chain
from reachlink.control.tests.story import Story
from reachlink.testing import Fleet


@pytest.fixture(scope="package")
def control_fleet(run, tmp_path_factory):
    """A fleet of its own: these scenarios replace voters and wipe disks."""
    fleet = Fleet(small_scenario(), tmp_path_factory.mktemp("control-fleet"))
    run(fleet.__aenter__())
    yield fleet
    run(fleet.close())


@pytest.fixture
def story(run, control_fleet):
    yield Story(control_fleet)
    run(control_fleet.restore())


@when(parsers.parse("an operator edits through {entry}"))
def edit_once(run, story, entry):
    run(story.edit(entry))


@then("the edit is in force at every entry instance")
@then("the newest settings are in force at every entry instance")
def in_force(run, story):
    run(story.everywhere(max(story.accepted)))


@then("every accepted edit is in the history, in one line, and none twice")
def check_history(run, story):
    records = run(story.audit())
    accepted = [r for r in records if r.action == "edit" and r.accepted]
    revisions = [r.revision for r in accepted]
    assert revisions == list(range(revisions[0], revisions[0] + len(revisions)))
    ids = [r.edit_id for r in accepted]
    assert len(ids) == len(set(ids))
    by_revision = {r.revision: r.edit_id for r in accepted}
    for revision, edit_id in story.accepted.items():
        assert by_revision[revision] == edit_id
    assert check_chain(records) is None
