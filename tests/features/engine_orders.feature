@fixture.riga
Feature: Orders to engines
  Each engine has a single orderer, whether the engine checks fencing numbers
  or ignores them.

  Scenario: A paused orderer resumes before an engine that ignores fencing
    # A sidecar is paused with an order in progress and its successor has begun.
    # The engine accepts the late order and serves an old version to callers.
    Given every engine of lm-pool has loaded its models
    When an engine that ignores fencing gets a late order for an old version
    Then the engine has soon loaded its models again

  Scenario: The loads of a whole pool stay within the weight store's rate
    When the weight store's log is read
    Then each engine has loaded each model about once and none was refused

  Scenario: A killed sidecar's successor continues to send orders
    # The sidecar is killed while its lease is still valid, and its engine has
    # lost its models in a restart of its own.
    Given every engine of lm-pool has loaded its models
    When the sidecar of lm-pool-1 is killed, its engine emptied and it is started
    Then the engine has soon loaded its models again
    And its orders carry a higher fencing number than before
