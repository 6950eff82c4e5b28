Feature: Operators' settings are agreed, durable, in force everywhere and never revert

  Scenario: An edit is in force everywhere
    When an operator edits through entry-2
    Then the edit is in force at every entry instance

  Scenario: The leader is killed under edits
    When 40 edits are sent while the leader is killed
    Then every accepted edit is in the history, in one line, and none twice
    And the newest settings are in force at every entry instance

  Scenario: The leader is stopped in silence and wakes up
    When 40 edits are sent while the leader is stopped and later goes on
    Then every accepted edit is in the history, in one line, and none twice
    And the newest settings are in force at every entry instance

  Scenario: Three operators race
    When three operators race 60 edits through different instances
    Then each revision was won once and every loser was shown a winner
    And every accepted edit is in the history, in one line, and none twice

  Scenario: A resend after a lost answer
    When an edit is sent, everything is killed and started, and the edit is sent again elsewhere
    Then both answers are the same and the edit took effect once

  Scenario: An availability zone is cut off and healed
    When sal-tre is cut off, settings change, and sal-tre is healed
    Then sal-tre went on with what it had
    And the newest settings are in force at every entry instance

  Scenario: A diskless instance restarts inside a cut-off zone
    Given sal-en is cut off after an edit
    When entry-1 is killed and started
    Then entry-1 serves with the newest revision of its zone

  Scenario: An instance that finds no newest settings is not ready
    Given sal-tre is cut off after an edit
    When every entry instance of sal-tre is killed and one is started
    Then it is not ready and says why

  Scenario: A voter loses its disk, then a second one dies
    When control-3 loses its disk and is replaced, and then another voter is killed
    Then an edit is accepted and no accepted one is lost

  Scenario: A restart after hundreds of changes
    When 450 edits are accepted and control-2 and entry-5 are restarted
    Then entry-5 has every change
    And control-2 has every change and a bounded disk

  Scenario: Limits change without a restart
    When the limit of a workspace is set to 1 and two requests come at once
    Then one is refused with a time to come back, and none was run

  Scenario: The audit trail is whole
    When an operator edits through entry-2
    Then the audit trail names who, from where, what from and what to, and its chain is whole
