@fixture.riga
Feature: Configuration changes by concurrent operators
  An accepted change becomes active everywhere and never reverts; no operator
  overwrites another's change without having seen it.

  Scenario: Operators change different files at the same time
    When pikselis and storefronts apply a change at the same time
    Then both are accepted and active in every process

  Scenario: Two people change the same file
    # Both have pulled the same file; the later change would undo the earlier
    # one without its author having seen it.
    When two people of pikselis apply different changes of one file
    Then the later one gets a conflict that names pikselis

  Scenario: An operator changes another's file
    When storefronts applies a change of the file of pikselis
    Then it is refused and nothing changes

  Scenario: An operator overrides another's value in a file of its own
    When storefronts applies a file that sets the portal pool
    Then it is refused with config.E004 and nothing changes

  Scenario: The response to an accepted change is lost
    # The platform has stored the change, but its response is lost; the retry
    # must neither fail nor apply the change twice.
    When the platform loses the answer to a change of pikselis
    Then the change is accepted once and active in every process

  Scenario: The platform fails right after it has accepted a change
    # The platform becomes unavailable before any watch has delivered the
    # accepted change, so only the entry that submitted it knows of it.
    When the platform goes down right after a change of pikselis
    Then the change is active in every process
    When a sidecar is killed and started during the outage
    Then the change is active in every process
    Given the platform is available again

  Scenario: A watcher is frozen when a change is made
    # Subscribers wait for a response of a watcher that never responds.
    When all watchers of a failure domain but one are frozen during a change
    Then the change is active in every process that runs
    Given all processes run

  Scenario Outline: <what> changes nothing
    When an operator sends <what>
    Then it is refused and nothing changes

    Examples:
      | what                              |
      | a file with an unknown field      |
      | a file with a key written twice   |
      | a file with a cyclic alias        |
      | a file that is too large          |
      | a file that is not UTF-8          |
      | a file without an owner           |
      | a pipeline of an undeclared pool  |
      | a change with a wrong key         |

  Scenario: A model changes while requests are served
    # Every engine replaces a model by its next version; requests that need the
    # model must continue to be served.
    Given a steady load of requests
    When consortium changes the version of a model
    Then every engine has loaded the new version
    And every request was answered

  Scenario: The history shows who changed what
    When the history is shown
    Then it names pikselis and its files
