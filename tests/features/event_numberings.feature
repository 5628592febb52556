Feature: The store tells which software numbers events without gaps
  A gateway that starts cannot tell a missing event from a number that software
  leaves out until it knows how earlier streams were numbered.

  Scenario Outline: Two gateways have learnt different numberings: <order>
    # Guards against gaps that are forgotten, so that sound streams are broken
    # off at every gateway.
    Given an empty record, and gateways that have learnt <order>
    When they write what they know, one after the other
    Then all of them and the record know gaps, and nothing is left to write

    Examples:
      | order                              |
      | consecutive, with_gaps             |
      | with_gaps, consecutive             |
      | consecutive, consecutive, with_gaps |
      | with_gaps, consecutive, consecutive |

  Scenario: Versions that a pool no longer has
    # Guards against records that grow with each release.
    Given a record of version v1, and a gateway that has learnt v2
    Then nothing is written for other versions or routes
    And the record of v2 replaces that of v1 once v1 has gone

  Scenario: The record of a pool is full
    # Guards against records that grow without limit.
    Given a record that is full, and a gateway that has learnt v2
    Then nothing is written for any version

  @fixture.gateway
  Scenario: Streams are relayed after their numbering is recorded
    # Guards against a write for each stream.
    Given the numbering of the pool's streams was recorded
    When 20 more streams are relayed, and the list is read 5 times
    Then the store has got no further write, and the record is short

  @fixture.gateway
  Scenario: Software begins to leave numbers out after it was recorded
    # Guards against a record that keeps what the first streams have shown, and
    # against writes that are repeated until the gateway has read the last one.
    Given the numbering of the pool's streams was recorded
    When a stream with gaps is relayed
    Then the record changes to with_gaps, with 2 writes in all

  @fixture.gateway
  @fixture.log_lines
  Scenario Outline: The record of numberings cannot be read: <junk>
    # Guards against a gateway that ends, or never records again, because of a
    # record that another writer left.
    Given the numbering of the pool's streams was recorded
    When another writer replaces the record by <junk>
    Then the gateway writes consecutive again, after one error

    Examples:
      | junk                  |
      | a deeply nested value |
      | an unknown numbering  |
      | too many numberings   |

  @fixture.gateway
  Scenario: A store that was restored has lost the record
    # Guards against a missing event that gateways do not notice if all of them
    # are replaced after a restoration.
    Given a backup of the store from before the numbering was recorded
    When the store is restored
    Then the gateway writes consecutive again
