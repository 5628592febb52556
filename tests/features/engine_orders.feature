@fixture.riga
Feature: Orders to engines
  One orderer for each engine, for engines that check fencing numbers and for
  those that ignore them.

  Scenario: A paused orderer wakes up before an engine that ignores fencing
    # A sidecar was paused with an order in hand, its successor has begun, and
    # the engine takes the late order: it serves an old version to callers.
    Given every engine of lm-pool carries its models
    When an engine that ignores fencing gets a late order for an old version
    Then the engine soon carries its models again

  Scenario: The loads of a whole pool stay within the weight store's rate
    When the weight store's log is read
    Then each engine has loaded each model about once and none was refused

  Scenario: A killed sidecar's successor goes on ordering
    # The sidecar dies, its lease is still alive, and its engine has lost its
    # models in a restart of its own.
    Given every engine of lm-pool carries its models
    When the sidecar of lm-pool-1 is killed, its engine emptied and it is started
    Then the engine soon carries its models again
    And its orders carry a higher fencing number than before
