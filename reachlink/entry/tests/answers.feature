Feature: Answers reach their callers whole, once and in order

  Scenario: A streamed answer
    When a caller streams an answer through entry-1
    Then the answer is whole and every token is what the engine generated

  Scenario: A whole answer
    When a caller asks entry-2 for a whole answer
    Then its text is what the engine generated

  Scenario: A link that repeats, skips and mixes events
    Given every engine repeats, skips and mixes events
    When 12 callers stream answers at once
    Then all answers are whole and every token is what the engine generated

  Scenario: Links to the engines are reset mid-stream
    When 10 callers stream answers at once while engine links are reset
    Then all answers are whole and every token is what the engine generated

  Scenario: A link to an engine stalls in silence
    When a caller streams an answer and its engine's link stalls for a while
    Then the answer is whole and every token is what the engine generated

  Scenario: An entry instance dies mid-stream
    When a caller streams an answer through entry-1, which is killed mid-stream
    And the caller goes on at entry-4 with the last event id
    Then the answer is whole and every token is what the engine generated

  Scenario: An entry instance freezes mid-stream
    When a caller streams an answer through entry-3, which is stopped mid-stream
    And the caller goes on at entry-5 with the last event id
    Then the answer is whole and every token is what the engine generated

  Scenario: An engine dies mid-stream
    When a caller streams an answer and its engine is killed mid-stream
    Then the stream ends with an explicit error and nothing mixed

  Scenario: An engine dies under a whole answer
    When a caller asks for a whole answer and its engine is killed
    Then its text is what the engine generated

  Scenario: An engine freezes and goes on
    When a caller streams an answer and its engine is stopped for a while
    Then the answer is whole and every token is what the engine generated

  Scenario: A caller goes away
    Given the grace to reconnect is 0.5 seconds
    When a caller leaves mid-stream
    Then its generation is cancelled at the engine

  Scenario: An entry instance dies and its caller does not come back
    Given the grace to reconnect is 0.5 seconds
    And every engine is slow
    When a caller streams an answer through entry-2, which is killed mid-stream
    Then its generation is cancelled at the engine

  Scenario: Planned stop under load
    When 8 callers stream through entry-2 and it is asked to stop
    Then all answers are whole and every token is what the engine generated
    And entry-2 ended with exit code 0

  Scenario: A leaving engine gets nothing new
    When an engine starts to leave under load
    Then it runs no request that was sent 3 seconds later or more
    And all answers are whole and every token is what the engine generated
