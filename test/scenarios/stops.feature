Feature: A planned stop cuts no request
  Every planned stop is a graceful shutdown, and a backend server that leaves gets no new work.

  Background:
    Given a fleet of 2 entries and 2 backend servers with 4 slots each

  Scenario: An entry stops while it holds a job
    When a caller submits job "market" of 20 tasks of 200 ms to entry 1
    And 4 tasks of "market" have started
    And entry 1 is asked to stop
    Then the caller gets a complete answer
    And entry 1 ends with exit code 0

  Scenario: An agent stops while its tasks run
    When a caller submits job "market" of 20 tasks of 200 ms to entry 1
    And 8 tasks of "market" have started
    And agent 1 is asked to stop
    Then the caller gets a complete answer
    And agent 1 ends with exit code 0
    And no task of "market" has started twice

  Scenario: A backend server stops while its tasks run
    When a caller submits job "market" of 20 tasks of 200 ms to entry 1
    And 8 tasks of "market" have started
    And backend server 1 is asked to stop
    Then the caller gets a complete answer
    And backend server 1 ends with exit code 0

  Scenario: A backend server that leaves gets no new work
    When backend server 1 announces that it leaves
    And 3000 ms pass
    And a caller submits job "after" of 20 tasks of 20 ms to entry 1
    Then the caller gets a complete answer
    And backend server 1 has started no task of "after"

  Scenario: A second signal ends an entry and says what it left
    When a caller submits job "endless" of 2 tasks of 60000 ms to entry 1
    And 2 tasks of "endless" have started
    And entry 1 is asked to stop
    And entry 1 is asked to stop again
    Then entry 1 ends with exit code 1
    And entry 1 has said that it left 1 requests in progress
