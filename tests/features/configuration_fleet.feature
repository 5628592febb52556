@fixture.riga
Feature: Configuration by rival operators
  An accepted change is in force everywhere and never reverts; no operator
  undoes another's work unseen.

  Scenario: Rivals change different files at the same time
    When pikselis and storefronts apply a change at the same time
    Then both are accepted and in force in every process

  Scenario: Two people change the same file
    # Both pulled the same file; the later one would undo the earlier one's
    # change without having seen it.
    When two people of pikselis apply different changes of one file
    Then the later one is told of a conflict that names pikselis

  Scenario: An operator changes another's file
    When storefronts applies a change of the file of pikselis
    Then it is refused and nothing changes

  Scenario: An operator overrides another's value in a file of its own
    When storefronts applies a file that sets the portal pool
    Then it is refused with config.E004 and nothing changes

  Scenario: The answer to an accepted change is lost
    # The platform has taken the change, its answer is lost; asking again must
    # neither fail nor apply twice.
    When the platform loses the answer to a change of pikselis
    Then the change is accepted once and in force in every process

  Scenario: The platform fails right after it has accepted a change
    # The change is accepted and the platform goes away before any watch has
    # told of it. Only the entry that took the change knows of it.
    When the platform goes down right after a change of pikselis
    Then the change is in force in every process
    When a sidecar is killed and started during the outage
    Then the change is in force in every process
    Given the platform has come back

  Scenario: A watcher is frozen when a change comes
    # Followers hold their question at a watcher that never answers.
    When all watchers of a failure domain but one are frozen during a change
    Then the change is in force in every process that runs
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
    # Every engine replaces a model by its next version; requests that need
    # the model go on.
    Given a steady load of requests
    When consortium changes the version of a model
    Then every engine carries the new version
    And every request was answered

  Scenario: The history tells who changed what
    When the history is shown
    Then it names pikselis and its files
