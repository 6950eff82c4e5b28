Feature: Calls that may not be repeated run at most once

  Scenario: A key sent twice gets the first answer
    When a reading is submitted twice under one key through different instances
    Then both callers got the same answer and it ran once

  Scenario: A key with another body is refused
    When a key is used again with another body
    Then it is refused with status 422 and did not run

  Scenario: The service dies after running
    When a submission breaks after it ran
    Then its caller is told that the outcome is unknown
    And a retry with the same key does not run it again

  Scenario: Many callers race one key
    When 12 callers race one key through all instances
    Then it ran once

  Scenario: A kept-alive connection dies under a PUT
    Given kept-alive connections to the service exist
    When links to the service are reset while 30 PUT calls are sent
    Then no call ran twice, and every one told as not run did not run

  Scenario: A zone that cannot claim refuses
    Given sal-en has no control majority
    When a reading is submitted through entry-1 under a key
    Then it is refused as not run and did not run

  Scenario: A leaving service instance gets nothing new
    When readings-1 starts to leave
    Then calls succeed elsewhere
