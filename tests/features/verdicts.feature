Feature: A test run fails if something did not run

  Scenario: A fixture that fails beside a known failure fails the run
    # Guards against a green run although a fleet could not start: behave reports
    # no scenarios for it, and the known failure explained its exit code.
    Given a feature whose fixture fails
    And a feature with a scenario that is known to fail
    When both are run
    Then 1 scenario is a known failure
    And the failed fixture is an unexpected failure

  Scenario: A fixture that fails for a scenario known to fail fails the run
    # Guards against a known failure that hides that its test no longer runs.
    Given a feature with a scenario that is known to fail and whose fixture fails
    When both are run
    Then the failed fixture is an unexpected failure

  Scenario: A cleanup that fails beside a known failure fails the run
    # Guards against a fleet that does not end, in a run that is reported green.
    Given a feature whose cleanup fails
    And a feature with a scenario that is known to fail
    When both are run
    Then 1 scenario is a known failure
    And the failed fixture is an unexpected failure

  Scenario: A known failure that raises an error is a known failure
    # Guards against a run that fails for a test that is listed.
    Given a feature with a scenario that is known to raise an error
    When both are run
    Then 1 scenario is a known failure
    And nothing else failed

  Scenario: Feature files that run at the same time have one verdict
    # Guards against a failure in one of several runs that the verdict leaves out.
    Given a feature whose fixture fails
    And a feature with a scenario that is known to fail
    When each is run in a process of its own
    Then 1 scenario is a known failure
    And the failed fixture is an unexpected failure

  Scenario: Every feature file is run
    # Guards against a file that is left out when files are shared out to processes.
    Then the features of a test run are those of the folder, each once

  Scenario: A failed scenario is followed by its log
    # Guards against a failure that cannot be traced since its log was captured and dropped.
    Given a feature with a scenario that is known to fail
    When it is run in a process of its own
    Then the output has what the scenario's hook printed
