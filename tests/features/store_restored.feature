Feature: The store is restored from a backup

  @each.gateway
  Scenario: A configuration is accepted after the store was restored
    # Guards against a gateway that takes newer states for older ones: a store
    # that is restored from a backup issues its revisions again.
    Given the store was backed up, and has advanced by 20 revisions
    When the store is restored from its backup
    And the operators write version 5 without the route of /safe/
    Then version 5 is active
    And a caller of /safe/answer is answered 404

  @each.gateway
  Scenario: A version that was active is lost
    # Guards against a change that is reverted until the operators write it
    # again: a revoked key would be accepted again.
    Given the store was backed up, and has advanced by 20 revisions
    And the operators wrote version 5 without the route of /safe/
    When the store is restored from its backup
    And the gateway has read it
    Then version 5 is active
    And a caller of /safe/answer is answered 404
    When the operators write version 6 with all routes
    Then version 6 is active
    And a caller of /safe/answer is answered 200

  @each.gateway
  Scenario: A drain is lost, and ended after it was written again
    # Guards against requests to a drained failure domain, and against a drain
    # that never ends.
    Given the store was backed up, and has advanced by 20 revisions
    And failure domain one was drained
    When the store is restored from its backup
    And the gateway has read it
    Then a caller of /safe/answer is answered 503
    When the operators drain domain one again, and restore it
    Then a caller of /safe/answer is answered 200 soon

  @each.gateway
  Scenario: An instance leaves, and its previous record is restored
    # Guards against requests to an instance that is shutting down, since the
    # backup lists it as ready.
    Given the store was backed up, and has advanced by 20 revisions
    And the record of u1 has reported that it shuts down
    When the store is restored from its backup
    And the gateway has read it
    Then u1 gets nothing of 20 requests

  @each.gateway
  Scenario: An instance has terminated, and its previous record is restored
    # Guards against requests to an instance that has terminated.
    Given the store was backed up, and has advanced by 20 revisions
    And the record of u1 was removed
    When the store is restored from its backup
    And the gateway has read it
    Then u1 gets nothing of 20 requests
    When u1 writes its record again
    Then u1 gets work again

  @each.gateway
  Scenario: A gateway starts before the operators have written again
    # Guards against a gateway that knows only the backup and serves what was
    # revoked.
    Given the store was backed up, and has advanced by 20 revisions
    And the operators wrote version 5 without the route of /safe/
    When the store is restored from its backup
    And the gateway has read it
    And a gateway starts before that
    Then version 5 is active there
    And a caller of /safe/answer is answered 404 there

  @each.gateway
  Scenario: The record of a gateway is lost
    # Guards against a gateway that stays unknown to the others until its lease
    # expires.
    Given the store was backed up, and has advanced by 20 revisions
    And another gateway has started and is registered
    When the store is restored from its backup
    Then the other gateway is in the store again

  @each.gateway
  Scenario: A key is compared with what was read before the restore
    # Guards against overwriting another write that was given the same revision.
    When a key is read, lost and written anew under the same revision
    Then a write that compares it with what was read is not made

  Scenario: The processes that wrote a key never write it again
    # Guards against a key that is kept permanently although no process needs
    # it.
    Then a lost key is retained for a while, and a version until the store has caught up

  Scenario Outline: A record of an instance had <number> as <field> before the restore
    # Guards against an odd record of another writer that hides for good what
    # the instance writes.
    Then what the instance writes after the restore replaces <number> as <field>

    Examples:
      | number              | field |
      | 9223372036854775807 | seq   |
      | 9223372036854775807 | born  |

  Scenario: Rights are granted before and after the store is restored
    # Guards against a holder whose commands are refused as those of an earlier
    # holder.
    Then a later grant has the higher fencing number

  Scenario: The store is written, unresponsive and restored in any order
    # Guards against a replica that keeps parts of a state that no longer
    # exists.
    When a store is written, backed up, restored and unresponsive in any order
    Then the replica matches the store after each poll that is answered

  Scenario: Gateways of both restore counts exchange updates in any order
    # Guards against a gateway that does not know that the store was restored
    # and reverts the others, and against a version that is undone.
    When the store is restored while gateways read, request and receive updates in any order
    Then each replica is a state of the store, and no version is undone

  Scenario Outline: Faulty handling of a restored store is detected
    # Guards against a check of the scenario above that cannot fail.
    When the store is restored under gateways that <fault>
    Then a replica is no state of the store, or a version is undone

    Examples:
      | fault                                |
      | order states by their revision       |
      | believe one that does not know of it |
      | take the copy at its word            |
