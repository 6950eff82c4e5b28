Feature: Operators' settings are agreed, in force everywhere and never revert

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

  Scenario: Limits change without a restart
    When the limit of a workspace is set to 1 and two requests come at once
    Then one is refused with a time to come back, and none was run

  Scenario: The audit trail is whole
    When an operator edits through entry-2
    Then the audit trail names who, from where, what from and what to, and its chain is whole
