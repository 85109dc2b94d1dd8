Feature: Answers are whole, and refusals are true
  Each caller gets the whole answer to its own request, or an honest failure.

  Background:
    Given a fleet of 2 entries and 2 backend servers with 4 slots each

  Scenario: One task of a job fails
    Given backend server 1 fails everything it starts
    When a caller submits job "lookup" of 16 tasks of 20 ms to entry 1
    Then the caller gets a failed answer
    And the answer states an outcome for each of 16 tasks and carries no results

  Scenario: Many callers whose answers come out of order
    When 30 callers submit jobs of 4 tasks at once, the longest first, to both entries
    Then each caller gets the complete answer to its own job

  Scenario: A service that no backend server offers
    When a caller submits job "nowhere" for service "unheard-of" to entry 1
    Then the caller gets a refusal with code "unknown-service"
    And no task of "nowhere" has started after 500 ms

  Scenario: A deadline that passes before there is a free slot
    Given job "long" of 8 tasks of 1500 ms runs on all slots
    When a caller submits job "late" of 2 tasks of 20 ms with a deadline of 200 ms to entry 1
    Then the caller gets an answer in which no task has run
    And no task of "late" has started after 2000 ms

  Scenario: A job is cancelled before its tasks start
    Given job "long" of 8 tasks of 1500 ms runs on all slots
    When a caller submits job "withdrawn" of 4 tasks of 20 ms to entry 1
    And job "withdrawn" is cancelled at entry 1
    Then the caller gets an answer in which no task has run
    And no task of "withdrawn" has started after 2000 ms
