Feature: A task starts at most once
  A reservation that runs twice can give one item to two customers.

  Background:
    Given a fleet of 2 entries and 3 backend servers with 4 slots each

  Scenario: A job is resubmitted to the same entry while it runs
    When a caller submits job "order" of 40 tasks of 100 ms to entry 1
    And a caller submits job "order" of 40 tasks of 100 ms to entry 1
    Then all callers get the same complete answer
    And no task of "order" has started twice
    And each task of "order" has started

  Scenario: A job is resubmitted to another entry while it runs
    When a caller submits job "order" of 40 tasks of 100 ms to entry 1
    And a caller submits job "order" of 40 tasks of 100 ms to entry 2
    Then all callers get the same complete answer
    And no task of "order" has started twice

  Scenario: A job is resubmitted after it has been answered
    When a caller submits job "order" of 10 tasks of 20 ms to entry 1
    And all callers have their answers
    And a caller submits job "order" of 10 tasks of 20 ms to entry 2
    Then all callers get the same complete answer
    And no task of "order" has started twice

  Scenario: The machine beside a backend server dies while a reservation runs
    When a caller submits job "reservation" of 12 tasks of 1000 ms to entry 1
    And 12 tasks of "reservation" have started
    And agent 1 is killed
    Then the caller gets a failed answer that says "unknown" of 4 tasks
    When a caller submits job "reservation" of 12 tasks of 1000 ms to entry 1
    Then all callers get the same answer
    And no task of "reservation" has started twice

  Scenario: The count of starts finds a task that is started twice
    When task 0 of "copied" is sent twice straight to backend server 1
    Then a task of "copied" has started twice
